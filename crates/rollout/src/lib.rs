//! How an accepted configuration reaches every balancer and never reverts.
//!
//! [`Rollout`] is the decision core of one balancer. It takes [`Event`]s with the time and gives
//! [`Action`]s; sockets and clocks are its caller's. Of each data centre a few balancers watch the
//! platform's store. All tell their version in their heartbeats, and whoever hears of a newer one
//! fetches it from a peer, so that the store may be down or slow for long.
//!
//! Three rules keep a configuration from reverting: versions are totally ordered and a balancer
//! takes only newer ones; a balancer that has just started serves only once it has asked the store
//! and its peers and holds the highest; and what says nothing new changes nothing, whoever says it.

mod event;
mod fetch;
mod join;
mod peers;
mod rollout;
mod version;
mod watch;

pub use event::{Action, Event, Peer, StoreEntry};
pub use rollout::{ActiveConfig, Options, Rollout};
pub use version::Version;
pub use watch::WATCHERS;
