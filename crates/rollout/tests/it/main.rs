//! Tests of the rollout: a single state machine, and several of them with a simulated store,
//! heartbeats and fetches.

mod core;
mod faults;
mod fixture;
mod simulation;
mod store;
