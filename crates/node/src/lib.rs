//! The balancer daemon as a library: settings, sockets and threads around the decision crates.
//!
//! One thread holds control state and publishes immutable snapshots; traffic threads read the
//! latest snapshot and never wait for control.

pub mod admin;
pub mod clock;
pub mod control;
pub mod cookie;
pub mod counter;
pub mod daemon;
pub mod journal;
pub mod ledger;
pub mod load;
pub mod message;
pub mod metrics;
pub mod settings;
pub mod traffic;
pub mod view;
