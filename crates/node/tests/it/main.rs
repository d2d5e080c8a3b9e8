//! Tests of the daemon's library.

mod admin;
mod cookie;
mod metrics;
mod settings;
mod status;
mod traffic;
