//! Faults that the stand-in brings about on command.

use serde::{Deserialize, Serialize};

/// The faults in force. The default is none.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Faults {
    /// Every connection is closed, open ones and new ones.
    pub down: bool,
    /// Connections are accepted and calls read, but nothing takes effect and nothing is answered.
    pub silent: bool,
    /// Every answer is this late, in milliseconds. The call takes effect at once.
    pub slow_ms: u64,
    /// So many of the next writes take effect without being answered.
    pub lose_writes: u32,
    /// Reads answer the value before the last write.
    pub stale: bool,
    /// The list of VMs is this late, in milliseconds.
    pub machines_late_ms: u64,
}

/// Calls taken since the start, also those that were not answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Counts {
    /// Reads.
    pub get: u64,
    /// Compare-and-swaps.
    pub swap: u64,
    /// Watches, one for each that waits.
    pub watch: u64,
    /// Leases granted, kept alive and revoked.
    pub lease: u64,
    /// Reads of the list of VMs.
    pub machines: u64,
}

impl Counts {
    /// Calls of any kind.
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
