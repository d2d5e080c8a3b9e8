//! The highest revision seen of each key: what an answer is worth.

use std::{collections::BTreeMap, sync::Arc};

/// What an answer is, compared with those before it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
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
pub struct Seen {
    highest: BTreeMap<Arc<str>, u64>,
}

impl Seen {
    /// Judges an answer and remembers its revision.
    ///
    /// ```
    /// use acacia_platform::seen::{Seen, Verdict};
    /// let mut seen = Seen::default();
    /// let key = "config".into();
    /// assert_eq!(seen.judge(&key, 5), Verdict::Current);
    /// assert_eq!(seen.judge(&key, 4), Verdict::Stale { seen: 5 });
    /// ```
    pub fn judge(&mut self, key: &Arc<str>, revision: u64) -> Verdict {
        let highest = self.highest.entry(Arc::clone(key)).or_default();
        if revision < *highest {
            return Verdict::Stale { seen: *highest };
        }
        *highest = revision;
        Verdict::Current
    }

    /// The highest revision seen of a key; 0 if none was.
    ///
    /// ```
    /// use acacia_platform::seen::Seen;
    /// let mut seen = Seen::default();
    /// seen.judge(&"config".into(), 5);
    /// seen.judge(&"config".into(), 4);
    /// assert_eq!(seen.highest("config"), 5);
    /// ```
    #[must_use]
    pub fn highest(&self, key: &str) -> u64 {
        self.highest.get(key).copied().unwrap_or(0)
    }
}
