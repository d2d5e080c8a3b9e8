//! Tests of the control transport.

mod frame;
mod limits;
mod mesh;
mod relay;
mod restart;
mod silence;
mod strangers;
