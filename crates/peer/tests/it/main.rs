//! Tests of the control transport.

mod limits;
mod mesh;
mod relay;
mod restart;
mod watch;
