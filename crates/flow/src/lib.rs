//! Resolves any packet, at any balancer, to the backend server of its flow.
//!
//! Every balancer must send a flow to the same backend server, with only a few kilobytes per second
//! of control traffic between balancers. A flow's hash selects a bucket, and each bucket has a
//! *base* server. A flow on its base server needs no state. Any other flow has a *pin* at its
//! *owners*, the two balancers that rank highest for it. Buckets that may contain pinned flows are
//! *flagged*, and every balancer knows of a flag before the first pin in the bucket is created.
//! docs/DESIGN.md, section 1, gives the rules and the alternatives considered.
//!
//! This crate opens no sockets, reads no clock and draws no random numbers. The control thread owns
//! a [`Control`] and publishes a [`Snapshot`]; traffic threads lock one [`Shard`] at a time and
//! call [`resolve`]. Times are milliseconds of a monotonic clock that keeps running while the
//! process is suspended (`CLOCK_BOOTTIME`).

/// Bucket sets and their compact encoding.
pub mod bitmap;
/// Detection of flows whose path to the server is broken.
mod broken_path;
/// State of the control thread: peers, bucket flags, ownership and pin handover.
pub mod control;
/// Pins and their timeouts.
pub mod pin;
/// Placement of new flows when no load signal is available.
pub mod place;
/// Selection of the balancers that own a flow.
pub mod rank;
/// Per-packet forwarding decision.
mod resolve;
/// Per-flow state of the traffic threads.
pub mod shard;
/// Immutable view that the control thread publishes to traffic threads.
pub mod snapshot;
/// Construction of bucket tables.
pub mod table;
/// Outcome of a decision: what to do with a packet.
pub mod verdict;

pub use control::Control;
pub use resolve::resolve;
pub use shard::{Shard, Shards};
pub use snapshot::Snapshot;
pub use verdict::Verdict;
