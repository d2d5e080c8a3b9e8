//! Tests of the daemon's library.

mod settings;
mod status;
mod traffic;
