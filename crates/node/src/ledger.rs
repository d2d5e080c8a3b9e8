//! Counts of how flows ended on this balancer, by service and mark, for the report on how fast the
//! error budgets of services burn.

use std::sync::{Arc, Mutex, PoisonError};

use acacia_burn::{Count, Mark, Source};

use crate::clock;

/// The flow counts of this process, shared by its threads.
#[derive(Debug)]
pub struct Ledger {
    source: Source,
    counts: Mutex<acacia_burn::Ledger>,
}

impl Ledger {
    /// Creates empty counts for balancer `id`, starting now.
    ///
    /// ```
    /// use acacia_burn::{Count, Mark};
    /// let ledger = acacia_node::ledger::Ledger::new(3);
    /// ledger.add(&"live".into(), Mark::Paying, Count { good: 2, ..Count::default() });
    /// assert_eq!(ledger.snapshot().keys(), [("live".into(), Mark::Paying)]);
    /// ```
    #[must_use]
    pub fn new(id: u16) -> Self {
        let now = clock::time_of_day();
        let source = Source {
            balancer: id,
            incarnation: now.as_millis() as u64,
        };
        Ledger {
            source,
            counts: Mutex::new(acacia_burn::Ledger::new(source, now.as_secs())),
        }
    }

    /// Adds flows of a service that have just ended or been refused. Holds a lock for about a
    /// microsecond, so threads accumulate their counts and add them about once a second.
    pub fn add(&self, service: &Arc<str>, mark: Mark, count: Count) {
        let now = clock::time_of_day().as_secs();
        let mut counts = self.counts.lock().unwrap_or_else(PoisonError::into_inner);
        counts.add(self.source, now, service, mark, count);
    }

    /// Returns all counts up to now.
    #[must_use]
    pub fn snapshot(&self) -> acacia_burn::Ledger {
        let now = clock::time_of_day().as_secs();
        let mut counts = self.counts.lock().unwrap_or_else(PoisonError::into_inner);
        counts.touch(self.source, now);
        counts.clone()
    }
}
