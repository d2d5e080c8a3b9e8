//! Control traffic between balancers, as frames over TCP.
//!
//! A [`Mesh`] listens on one socket and keeps one outgoing connection to each peer, all in one
//! thread. [`Mesh::send`] never blocks: it puts the message into a bounded queue, and the thread
//! sends it within the budget for control bytes. Received frames are authenticated and decoded.
//! Forged, truncated, replayed and misaddressed frames are dropped and counted; the messages of all
//! others go to the application.
//!
//! Every frame carries an echo, which identifies the last frame that its sender received from its
//! receiver. When a peer's echo doesn't advance although we send to it, our connection to it counts
//! as silent, even if TCP still reports it as open, and is replaced by a new one.
//! [`Detector`] decides when.
//!
//! [`Detector`], [`Bucket`], [`Queue`] and [`Filter`] use neither sockets nor clocks.

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
pub use filter::Filter;
pub use mesh::{Mesh, Received};
pub use payload::{Echo, Payload};
pub use queue::{Class, Queue};
pub use settings::Settings;
pub use silence::Detector;
pub use stats::{Stats, Traffic};
