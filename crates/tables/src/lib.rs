//! The agreed bucket tables: their stored form, their construction, and who writes them when.
//!
//! All balancers send a flow by the same tables. A [`Document`] in the platform's store holds them
//! with a version that only rises. [`next_document`] makes the next document from the one before and the
//! operators' configuration, [`Writer`] decides which balancer writes it and when, and
//! [`tables`] and [`Lookup`] give what a balancer has in force. docs/DESIGN.md, section 7, gives
//! the rules.
//!
//! Nothing here opens a socket, reads a clock or draws a random number.

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
pub use number::{MAX_RELEASED, MAX_RETIRED, Released, Retired, RetiredSummary};
pub use update::{NOMINAL_WEIGHT, UpdateContext, next_document};
pub use writer::Writer;
