//! Small stand-ins for the outside, for the demo and the tests with real processes: the fabric that
//! sprays packets over the balancers, backend servers and callers that speak real TCP, and the
//! platform.
//!
//! They are one program with a subcommand each, so that a test starts what it needs as separate
//! processes. TCP is smoltcp's, over a device that is an encapsulated UDP socket: no privileges
//! are needed, and every packet is real bytes.

pub mod admin;
pub mod backend;
pub mod caller;
pub mod fabric;
pub mod platform;
pub mod protocol;
pub mod relay;
pub mod stack;
pub mod stop;
