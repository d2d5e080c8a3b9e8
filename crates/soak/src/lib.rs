//! Randomized fault injection against real balancers, which run as separate processes on loopback.
//! The guarantees are checked against what callers and backend servers observe.
//!
//! [`fleet::Fleet`] is the deployment, [`fault`] generates faults from a seed and injects them,
//! [`watch`] checks the observations, and [`run`] runs one seed with the cookie transport. [`ip`]
//! runs one seed with the IP transport on a deployment of its own.

pub mod fault;
pub mod fleet;
pub mod ip;
pub mod mesh;
pub mod proxy;
pub mod run;
pub mod watch;
