//! Tests of the platform's client: its decisions without I/O, and the client against a stand-in for
//! the platform over TCP.

mod apply;
mod client;
mod fixture;
mod limit;
mod liveness;
mod retry;
mod revisions;
