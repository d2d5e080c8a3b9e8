//! The highest revision seen of each key: what an answer is worth.

use std::{collections::BTreeMap, sync::Arc};

/// What an answer is, compared with those before it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Freshness {
    /// As new as any before, or newer.
    Current,
    /// Older than one before. A replica that lags, a restored backup or an answer that was held
    /// up on its way; taking it would revert what is in force.
    Stale {
        /// The highest revision seen before.
        seen: u64,
    },
}

/// The highest revision seen of each key. A few keys, all ours.
#[derive(Debug, Clone, Default)]
pub struct HighestRevisions {
    highest: BTreeMap<Arc<str>, u64>,
}

impl HighestRevisions {
    /// Judges an answer and remembers its revision.
    ///
    /// ```
    /// use acacia_platform::revisions::{Freshness, HighestRevisions};
    /// let mut revisions = HighestRevisions::default();
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

    /// The highest revision seen of a key; 0 if none was.
    ///
    /// ```
    /// use acacia_platform::revisions::HighestRevisions;
    /// let mut revisions = HighestRevisions::default();
    /// revisions.check(&"config".into(), 5);
    /// revisions.check(&"config".into(), 4);
    /// assert_eq!(revisions.highest("config"), 5);
    /// ```
    #[must_use]
    pub fn highest(&self, key: &str) -> u64 {
        self.highest.get(key).copied().unwrap_or(0)
    }
}
