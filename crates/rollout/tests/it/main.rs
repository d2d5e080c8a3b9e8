//! Tests of the rollout: the core alone, and several cores with a small fake of store, heartbeats
//! and fetches between them.

mod core;
mod faults;
mod fixture;
mod store;
mod world;
