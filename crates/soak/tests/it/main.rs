//! Real balancers before stand-ins of the users' platform.

mod path;
mod seeds;
mod watch;
