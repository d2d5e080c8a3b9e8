//! Control traffic between balancers, over nng.
//!
//! A [`Mesh`] listens on one socket and keeps one connection to each peer. [`Mesh::send`] never
//! blocks: it puts the message into a bounded queue, from which a thread sends it within the
//! budget for control bytes. Another thread opens what arrives, drops and counts what is forged,
//! cut short, replayed or meant for another balancer, and hands the rest on.
//!
//! Every frame echoes the last one that was received from its receiver. When the echo of what we
//! send does not advance, the connection has gone silent, whatever TCP thinks of it, and is
//! replaced by a fresh one; [`Watch`] decides when.
//!
//! [`Watch`], [`Bucket`], [`Queue`] and [`Filter`] decide without sockets or clocks.

mod bucket;
mod error;
mod filter;
mod mesh;
mod parcel;
mod queue;
mod receive;
mod send;
mod settings;
mod state;
mod stats;
mod watch;

pub use bucket::Bucket;
pub use error::Error;
pub use filter::Filter;
pub use mesh::{Mesh, Received};
pub use parcel::{Echo, Parcel};
pub use queue::{Class, Queue};
pub use settings::Settings;
pub use stats::{Stats, Traffic};
pub use watch::Watch;
