//! Flow resolution where the transport carries 32 bits of the balancer's with every packet.
//!
//! The cookie names the flow's server, so any balancer resolves any packet from the packet and the
//! list of servers alone: no pins, owners or handovers. What a [`Resolver`] remembers of flows
//! makes it faster to notice a silent server; losing it breaks nothing.
//!
//! Nothing here opens a socket or reads a clock.

pub mod cold;
pub mod cookie;
pub mod failing;
pub mod flow;
pub mod place;
pub mod resolver;
pub mod roster;
pub mod silence;
pub mod snapshot;
pub mod speed;
pub mod trial;

pub use resolver::{Action, EndedFlow, FlowRefusal, Notice, Resolver, Timing};
pub use roster::Roster;
pub use snapshot::Snapshot;
