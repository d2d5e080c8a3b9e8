//! Remote control of a stand-in that runs in another process.

use acacia_platform::machine::Machine;

use super::fault::{Counts, Faults};

/// Calls that control a stand-in. They are served on a separate address, which no fault affects.
#[tarpc::service]
pub trait Control {
    /// Replaces the faults in force.
    async fn faults(faults: Faults);
    /// Leaves every connection that is open now unanswered for good; later connections work.
    async fn silence_open();
    /// Expires every lease at once.
    async fn lapse_leases();
    /// Restores the store from a backup that lacks the last write of each key.
    async fn restore();
    /// Replaces the list of VMs.
    async fn machines(machines: Vec<Machine>);
    /// Returns the number of calls received so far, by kind.
    async fn counts() -> Counts;
}
