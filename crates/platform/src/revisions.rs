//! Detects stale answers by the highest revision seen for each key.

use std::{collections::BTreeMap, sync::Arc};

/// How recent an answer is, compared with earlier ones.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Freshness {
    /// At least as new as every earlier answer.
    Current,
    /// Older than an earlier answer. It came from a lagging replica or a restored backup, or was
    /// delayed in the network. Using it would revert the configuration in force.
    Stale {
        /// The highest revision seen before.
        seen: u64,
    },
}

/// The highest revision seen for each key. It is unbounded, as the project reads only a few keys,
/// all of them its own.
#[derive(Debug, Clone, Default)]
pub struct Highest {
    highest: BTreeMap<Arc<str>, u64>,
}

impl Highest {
    /// Compares an answer's revision with the highest one seen, and records it if it is not lower.
    ///
    /// ```
    /// use acacia_platform::revisions::{Freshness, Highest};
    /// let mut revisions = Highest::default();
    /// let key = "config".into();
    /// assert_eq!(revisions.check(&key, 5), Freshness::Current);
    /// assert_eq!(revisions.check(&key, 4), Freshness::Stale { seen: 5 });
    /// ```
    pub fn check(&mut self, key: &Arc<str>, revision: u64) -> Freshness {
        let highest = self.highest.entry(Arc::clone(key)).or_default();
        if revision < *highest {
            return Freshness::Stale { seen: *highest };
        }
        *highest = revision;
        Freshness::Current
    }

    /// The highest revision seen for a key; 0 if there was none.
    ///
    /// ```
    /// use acacia_platform::revisions::Highest;
    /// let mut revisions = Highest::default();
    /// revisions.check(&"config".into(), 5);
    /// revisions.check(&"config".into(), 4);
    /// assert_eq!(revisions.highest("config"), 5);
    /// ```
    #[must_use]
    pub fn highest(&self, key: &str) -> u64 {
        self.highest.get(key).copied().unwrap_or(0)
    }
}
