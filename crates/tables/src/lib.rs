//! The bucket tables that all balancers share: their stored format, how they are built, and which
//! balancer writes them when.
//!
//! Every balancer selects the server of a flow from the same tables. They are stored as a
//! [`Document`] in the platform's store, under a version that only increases. [`next_document`]
//! builds the next document from the previous one and the operators' configuration, [`Writer`]
//! decides which balancer writes it and when, and [`tables`] and [`Lookup`] convert a document to
//! what flow resolution needs. docs/DESIGN.md, section 7, gives the rules.
//!
//! This crate does no I/O: it opens no socket, reads no clock and draws no random number.

mod compare;
mod document;
mod error;
mod lookup;
mod number;
mod pack;
mod update;
pub mod writer;

pub use compare::{Unserved, unserved, withdrawn_servers};
pub use document::{BUCKETS, Document, FORMAT, KEY, MAX_SIZE, NO_SERVER, Server, Service, State};
pub use error::Error;
pub use lookup::{Lookup, tables};
pub use number::{MAX_RELEASED, MAX_RETIRED, Released, Retired, Summary};
pub use update::{Context, NOMINAL_WEIGHT, next_document};
pub use writer::Writer;
