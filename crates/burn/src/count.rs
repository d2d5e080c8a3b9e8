use serde::{Deserialize, Serialize};

/// Whether a caller belongs to a trial or a paying customer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Mark {
    /// A trial customer.
    Trial,
    /// A paying customer.
    Paying,
}

impl Mark {
    /// Returns the name for display.
    ///
    /// ```
    /// assert_eq!(acacia_burn::Mark::Paying.label(), "paying");
    /// ```
    #[must_use]
    pub const fn label(self) -> &'static str {
        match self {
            Mark::Trial => "trial",
            Mark::Paying => "paying",
        }
    }
}

/// Numbers of flows by outcome.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Count {
    /// Flows served within the objective.
    pub good: u64,
    /// Flows served, but more slowly than the objective allows.
    pub slow: u64,
    /// Flows refused before any request ran.
    pub refused: u64,
    /// Established flows that were interrupted.
    pub broken: u64,
}

impl Count {
    /// Returns the number of all flows.
    ///
    /// ```
    /// let count = acacia_burn::Count { good: 5, broken: 1, ..Default::default() };
    /// assert_eq!(count.total(), 6);
    /// ```
    #[must_use]
    pub fn total(&self) -> u64 {
        self.good + self.slow + self.refused + self.broken
    }

    fn zip_with(self, other: Count, f: impl Fn(u64, u64) -> u64) -> Count {
        Count {
            good: f(self.good, other.good),
            slow: f(self.slow, other.slow),
            refused: f(self.refused, other.refused),
            broken: f(self.broken, other.broken),
        }
    }

    /// Returns the sum of both counts, by outcome.
    #[must_use]
    pub fn plus(self, other: Count) -> Count {
        self.zip_with(other, u64::saturating_add)
    }

    /// Returns the maximum of both counts, by outcome. For two snapshots of counters that only
    /// increase, this is the later one.
    #[must_use]
    pub fn max(self, other: Count) -> Count {
        self.zip_with(other, u64::max)
    }
}
