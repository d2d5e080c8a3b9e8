//! Tests of real balancers against a simulated platform.

mod explain;
mod foreign;
mod gone;
mod ip;
mod load;
mod metrics;
mod operators;
mod output;
mod overlong;
mod path;
mod priming;
mod seeds;
mod shared;
mod watch;
