use serde::{Deserialize, Serialize};

/// Whether a caller is on trial or paying.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Mark {
    /// On trial.
    Trial,
    /// Paying.
    Paying,
}

impl Mark {
    /// The name shown.
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

/// How flows ended, in numbers of flows.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Count {
    /// Served as they should be.
    pub good: u64,
    /// Served, but slower than the objective asks.
    pub slow: u64,
    /// Refused before anything ran.
    pub refused: u64,
    /// Cut off while established.
    pub broken: u64,
}

impl Count {
    /// All flows.
    ///
    /// ```
    /// let count = acacia_burn::Count { good: 5, broken: 1, ..Default::default() };
    /// assert_eq!(count.total(), 6);
    /// ```
    #[must_use]
    pub fn total(&self) -> u64 {
        self.good + self.slow + self.refused + self.broken
    }

    fn zip(self, other: Count, f: impl Fn(u64, u64) -> u64) -> Count {
        Count {
            good: f(self.good, other.good),
            slow: f(self.slow, other.slow),
            refused: f(self.refused, other.refused),
            broken: f(self.broken, other.broken),
        }
    }

    /// Both together.
    #[must_use]
    pub fn plus(self, other: Count) -> Count {
        self.zip(other, u64::saturating_add)
    }

    /// The larger of each. Two snapshots of one counter that only rises differ by age alone.
    #[must_use]
    pub fn max(self, other: Count) -> Count {
        self.zip(other, u64::max)
    }
}
