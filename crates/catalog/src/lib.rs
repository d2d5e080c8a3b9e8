//! What every balancer must know where flows carry a cookie: the operators' routes, the backend servers
//! and the data centres under evacuation, all with the revisions of the store they come from.
//!
//! A [`Catalog`] takes [`Change`]s in any order, from the store and from peers, and never goes back
//! to an older one. [`spread`] decides who reads the store and who is told; [`member`] keeps the
//! list of balancers. Nothing here opens a socket or reads a clock.

mod catalog;
mod entries;
pub mod member;
pub mod route;
pub mod server;
pub mod spread;

pub use catalog::{Catalog, Change, Item};
