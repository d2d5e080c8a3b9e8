//! Integration tests of the daemon's library.

mod admin;
mod cookie;
mod freeze;
mod metrics;
mod platform;
mod settings;
mod status;
mod traffic;
