//! Tests of flow resolution: several cores joined by queues that delay, lose, repeat and reorder.

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
