//! In-memory stand-in for the platform: serves its key-value store and its list of VMs over TCP,
//! and injects faults on command.
//!
//! [`Stand`] runs it inside the calling process; [`control::Control`] controls one that runs in
//! another process.

pub mod control;
pub mod fault;
mod serve;
mod state;
pub mod store;

pub use serve::Stand;
