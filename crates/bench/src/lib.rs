//! The measuring program: each subcommand prints one line of `key=value` pairs per case and
//! policy, so that figures of one run can be set beside each other.

pub mod balance;
pub mod control;
pub mod flows;
pub mod speed;
