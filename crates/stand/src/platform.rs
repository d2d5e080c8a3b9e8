//! Stand-in for the platform: its key-value service and its list of VMs, in memory, over TCP,
//! with faults on command.
//!
//! [`Stand`] starts it inside a process; [`control::Control`] steers one that runs elsewhere.

pub mod control;
pub mod fault;
mod serve;
mod state;
pub mod store;

pub use serve::Stand;
