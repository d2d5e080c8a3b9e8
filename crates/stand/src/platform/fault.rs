//! Faults that the stand-in injects on command, and its call counters.

use serde::{Deserialize, Serialize};

/// The faults in force. By default there are none.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Faults {
    /// Whether open connections are closed, and new ones as soon as they are accepted.
    pub down: bool,
    /// Whether calls are read but neither applied nor answered. Connections are still accepted.
    pub silent: bool,
    /// Delay of every answer, in milliseconds. The call itself is applied at once.
    pub slow_ms: u64,
    /// How many of the next writes are applied but not answered.
    pub lose_writes: u32,
    /// Whether reads return the value from before the last write.
    pub stale: bool,
    /// How long a change to the list of VMs stays invisible, in milliseconds.
    pub machines_late_ms: u64,
}

/// Calls received since the start, including those that were not answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Counts {
    /// Reads.
    pub get: u64,
    /// Compare-and-swaps.
    pub swap: u64,
    /// Watches: one per call, however often it wakes while it waits.
    pub watch: u64,
    /// Calls that grant, keep alive or revoke a lease.
    pub lease: u64,
    /// Reads of the list of VMs.
    pub machines: u64,
}

impl Counts {
    /// Returns the number of calls of any kind.
    ///
    /// ```
    /// let counts = acacia_stand::platform::fault::Counts { get: 2, watch: 1, ..Default::default() };
    /// assert_eq!(counts.total(), 3);
    /// ```
    #[must_use]
    pub const fn total(&self) -> u64 {
        self.get + self.swap + self.watch + self.lease + self.machines
    }
}
