//! The data that every balancer needs where flows carry a cookie: the operators' routes, the backend
//! servers and the data centres under evacuation, each with the store's revision of its last change.
//!
//! A [`Catalog`] applies [`Change`]s from the store and from peers in any order, and never reverts to
//! an older one. [`spread`] decides which balancers read the store and to whom they pass changes on;
//! [`member`] keeps the list of balancers. Nothing here opens a socket or reads a clock.

mod catalog;
mod entries;
pub mod member;
pub mod route;
pub mod server;
pub mod spread;

pub use catalog::{Catalog, Change, Item, Mark, Position};
