//! Tests of the daemon's library.

mod admin;
mod cookie;
mod freeze;
mod metrics;
mod settings;
mod status;
mod traffic;
