//! Tests of the platform's client: its decisions without sockets, and the client against the
//! stand-in over real TCP.

mod apply;
mod client;
mod fixture;
mod limit;
mod liveness;
mod retry;
mod revisions;
