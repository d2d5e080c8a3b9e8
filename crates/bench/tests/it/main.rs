//! Tests of the calculations and simulations behind the benchmarks.

mod control;
mod members;
mod speed;
