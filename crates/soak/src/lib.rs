//! Real balancers as separate processes on loopback, under faults drawn from a seed, while the
//! promises are checked from what callers and backend servers see.
//!
//! [`fleet::Fleet`] is the deployment, [`fault`] draws and carries out what goes wrong, [`watch`]
//! judges what callers and servers have seen, and [`run`] plays a seed. [`ip`] plays one where packets
//! are IP.

pub mod fault;
pub mod fleet;
pub mod ip;
pub mod mesh;
pub mod proxy;
pub mod run;
pub mod watch;
