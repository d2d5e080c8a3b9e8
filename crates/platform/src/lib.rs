//! Client of the platform: its small key-value service and its eventually consistent list of VMs.
//!
//! [`Client`] makes the calls. Its decisions are made without I/O and without reading a clock:
//! [`retry`] schedules retries, [`revisions`] detects stale answers, [`limit`] bounds the rate of
//! calls, and [`liveness`] detects silent connections.
//!
//! The protocol is pluggable through [`transport::Transport`]. The project's own is
//! [`service::Platform`], a tarpc service with JSON over TCP. [`server`] serves any tarpc service
//! on an accepted connection.

pub mod answer;
pub mod apply;
mod client;
mod error;
pub mod limit;
pub mod liveness;
pub mod machine;
pub mod retry;
pub mod revisions;
pub mod server;
pub mod service;
pub mod store;
pub mod transport;

pub use client::{Client, Options};
pub use error::Error;
