//! Client of the platform: its small key-value service and its lagging list of VMs.
//!
//! [`Client`] makes the calls. What it decides (when to try again, what an answer means, when a
//! watch or a connection has gone silent) lives in [`retry`], [`revisions`], [`limit`] and [`liveness`],
//! which know no sockets and read no clocks.
//!
//! How a call travels is plugged in as a [`transport::Transport`]. The project's own is
//! [`service::Platform`], a tarpc trait carried as JSON over TCP. [`server`] runs such a trait on an accepted connection.

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
