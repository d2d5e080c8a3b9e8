//! Tests of the balancer for packets that carry a cookie.

mod compaction;
mod core;
mod cut;
mod demand;
mod evacuation;
mod examine;
mod exchange;
mod failing;
mod fixture;
mod flows;
mod outage;
mod overlong;
mod permit;
mod priming;
mod reader;
mod refused;
mod reports;
mod settings;
mod shared;
mod speed;
mod store;
