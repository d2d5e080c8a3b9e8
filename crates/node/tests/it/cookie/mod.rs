//! Tests of the balancer where packets carry a cookie.

mod core;
mod cut;
mod examine;
mod exchange;
mod failing;
mod fixture;
mod settings;
mod speed;
