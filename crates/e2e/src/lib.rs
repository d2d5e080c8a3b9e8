//! Small deployments of separate processes on loopback, for the demo and the tests.
//!
//! Processes are started by this crate only, never by the programs of the product.

pub mod demo;
pub mod deployment;
pub mod fault;
mod layout;
pub mod net;
pub mod operator;
pub mod process;
