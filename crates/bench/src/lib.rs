//! Benchmarks: each subcommand prints one line of `key=value` pairs per case and policy, so that the
//! results of a run can be compared.

pub mod balance;
pub mod control;
pub mod flows;
pub mod members;
pub mod speed;
