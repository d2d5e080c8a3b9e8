//! Distributes an accepted configuration to every balancer, and keeps balancers from reverting to
//! an older one.
//!
//! [`Rollout`] is the state machine of one balancer. It takes [`Event`]s with the current time and
//! returns [`Action`]s; the caller does the I/O and reads the clock. In each data centre, a few
//! balancers watch the platform's store. All balancers announce their version in heartbeats, and
//! fetch a newer version from a peer that announces it, so that changes spread even while the store
//! is down or slow.
//!
//! Three rules keep a balancer from reverting:
//!
//! - Versions are totally ordered, and a balancer accepts only newer ones.
//! - A balancer that has just started serves only after it has asked the store and its peers, and
//!   has the highest version among their answers.
//! - A document that is not newer changes nothing, whatever its source.

mod event;
mod fetch;
mod join;
mod peers;
mod rollout;
mod version;
mod watch;

pub use event::{Action, Entry, Event, Peer};
pub use rollout::{ActiveConfig, Options, Rollout};
pub use version::Version;
pub use watch::WATCHERS;
