//! Control traffic between balancers, as frames over TCP.
//!
//! A [`Mesh`] listens on one socket and keeps one connection to each peer, all in one thread.
//! [`Mesh::send`] never blocks: it puts the message into a bounded queue, from which it is sent within
//! the budget for control bytes. What arrives is opened; what is forged, cut short, replayed or meant
//! for another balancer is dropped and counted, and the rest is handed on.
//!
//! Every frame echoes the last one that was received from its receiver. When the echo of what we
//! send does not advance, the connection has gone silent, whatever TCP thinks of it, and is
//! replaced by a fresh one; [`SilenceDetector`] decides when.
//!
//! [`SilenceDetector`], [`Bucket`], [`Queue`] and [`ReplayFilter`] decide without sockets or clocks.

mod bucket;
mod error;
mod filter;
mod frame;
mod mesh;
mod payload;
mod queue;
mod receive;
mod send;
mod settings;
mod shared;
mod silence;
mod state;
mod stats;

pub use bucket::Bucket;
pub use error::Error;
pub use filter::ReplayFilter;
pub use mesh::{Mesh, Received};
pub use payload::{Echo, FramePayload};
pub use queue::{Class, Queue};
pub use settings::Settings;
pub use silence::SilenceDetector;
pub use stats::{PeerStats, Stats};
