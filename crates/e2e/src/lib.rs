//! Deployments in small, of separate processes on loopback, for the demo and the tests.
//!
//! Only this crate starts processes; none of the product's programs does.

pub mod demo;
pub mod deployment;
pub mod fault;
mod layout;
pub mod net;
pub mod operator;
pub mod process;
