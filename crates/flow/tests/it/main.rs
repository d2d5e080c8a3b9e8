//! Tests of flow resolution with several balancers, connected by simulated queues that delay, drop,
//! duplicate and reorder messages.

mod bounds;
mod datagrams;
mod faults;
mod fleet;
mod handover;
mod openings;
mod plan;
mod planned;
mod services;
mod silent;
