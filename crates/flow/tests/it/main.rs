//! Tests of flow resolution with several balancers, connected by simulated queues that delay, drop,
//! duplicate and reorder messages.

mod bounds;
mod broken_path;
mod datagrams;
mod faults;
mod fixture;
mod fleet;
mod handover;
mod openings;
mod planned;
mod services;
