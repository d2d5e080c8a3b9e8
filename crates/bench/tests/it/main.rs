//! Tests of what the measuring program computes.

mod control;
mod speed;
