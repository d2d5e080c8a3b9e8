//! Flow resolution by cookies: 32 bits set by the balancer that callers send in every packet.
//!
//! The cookie names the flow's server, so any balancer resolves any packet from the packet and the
//! list of servers alone, without flow tables shared, owned or handed over between balancers. A
//! [`Resolver`] keeps state of recent flows to detect unresponsive servers sooner; losing that state
//! breaks no flow.
//!
//! This crate does no I/O and reads no clock: the current time is an argument.

pub mod cold;
pub mod cookie;
pub mod failing;
pub mod flow;
pub mod path;
pub mod place;
pub mod probe;
pub mod resolver;
pub mod ring;
pub mod roster;
pub mod silence;
pub mod snapshot;
pub mod speed;

pub use resolver::{Action, Notice, Refusal, Reset, Resolver, Selection, Timing};
pub use roster::Roster;
pub use snapshot::Snapshot;
