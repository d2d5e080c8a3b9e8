//! Steers a stand-in that runs in another process.

use acacia_platform::machine::Machine;

use super::fault::{Counts, Faults};

/// What a stand-in can be told. It answers on an address of its own, which no fault touches.
#[tarpc::service]
pub trait Control {
    /// Puts these faults in force in place of those before.
    async fn faults(faults: Faults);
    /// The connections that are open now go silent for good; new ones work.
    async fn silence_open();
    /// Every lease lapses at once.
    async fn lapse_leases();
    /// Puts a backup in place of the store, without the last write of each key.
    async fn restore();
    /// Replaces the list of VMs.
    async fn machines(machines: Vec<Machine>);
    /// Calls taken so far.
    async fn counts() -> Counts;
}
