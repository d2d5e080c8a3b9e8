//! Resolution of any packet at any balancer to the backend server of its flow.
//!
//! Every balancer must send a flow to the same backend server, with only a few kilobytes a second
//! of control traffic between them. A flow on the *base* server of its bucket needs no state. One
//! that is not has a *pin* at its *owners*, the balancers that rank first for it. Buckets in which
//! pins may exist are *flagged*, and every balancer knows of a flag before the first pin is made.
//! docs/DESIGN.md, section 1, gives the rules and the ways weighed.
//!
//! Nothing here opens a socket, reads a clock or draws a random number. The control thread owns a
//! [`Control`] and publishes a [`Snapshot`]; traffic threads lock one [`Shard`] at a time and call
//! [`resolve`]. Times are milliseconds of a monotonic clock that goes on while the process is
//! frozen (`CLOCK_BOOTTIME`).

/// Sets of buckets and their compact encoding.
pub mod bitmap;
/// The control thread's part: peers, flags, ownership, handover of pins.
pub mod control;
/// Pins and the limits of their lives.
pub mod pin;
/// Placement of new flows where no load signal decides.
pub mod place;
/// Which balancers own a flow.
pub mod rank;
/// The decision for one packet.
mod resolve;
/// The state that traffic threads keep.
pub mod shard;
/// Detection of flows whose path to their server is lost.
mod silent;
/// What the control thread publishes to traffic threads.
pub mod snapshot;
/// Construction of bucket tables.
pub mod table;
/// What is to be done with a packet.
pub mod verdict;

pub use control::Control;
pub use resolve::resolve;
pub use shard::{Shard, Shards};
pub use snapshot::Snapshot;
pub use verdict::Verdict;
