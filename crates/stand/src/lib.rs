//! Stand-ins for the systems around the balancers, for the demo and for tests that run real
//! processes: the fabric that spreads packets over the balancers, backend servers and callers that
//! speak real TCP, the network between the balancers, and the platform.
//!
//! Each stand-in is a subcommand of one program, so that a test can run the ones it needs as
//! separate processes. Backend servers and callers use the TCP implementation of smoltcp, which
//! sends and receives its IP packets through a UDP socket. This needs no privileges, and the
//! packets that balancers see are those of a real TCP connection.

pub mod admin;
pub mod backend;
pub mod caller;
pub mod fabric;
pub mod platform;
pub mod protocol;
pub mod relay;
pub mod stack;
pub mod stop;
