//! Tests of the control transport.

mod connections;
mod frame;
mod limits;
mod mesh;
mod relay;
mod restart;
mod silence;
