//! The balancer daemon as a library: settings, sockets and threads around the crates that decide
//! about packets, members and load.
//!
//! The control thread owns the control state and publishes immutable snapshots. Traffic threads
//! read the latest snapshot and never block on the control thread.

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
