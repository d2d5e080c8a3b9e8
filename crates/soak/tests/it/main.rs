//! Real balancers before stand-ins of the users' platform.

mod explain;
mod gone;
mod ip;
mod metrics;
mod operators;
mod output;
mod path;
mod seeds;
mod watch;
