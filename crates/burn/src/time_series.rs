use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::Count;

/// Length of a minute slot, in seconds.
pub(crate) const MINUTE: u64 = 60;
/// Length of an hour slot, in seconds.
pub(crate) const HOUR: u64 = 3600;
/// Maximum number of minute slots: 6 hours and the current minute.
const MINUTE_SLOTS: u64 = 361;
/// Maximum number of hour slots: 3 days and the current hour.
const HOUR_SLOTS: u64 = 73;

/// The counts of one service and mark at one balancer, in slots of wall-clock time: by minute for
/// 6 hours and by hour for 3 days.
///
/// There are at most 434 slots, which take about 17 KB. Slots without flows take no memory.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Series {
    minutes: BTreeMap<u64, Count>,
    hours: BTreeMap<u64, Count>,
}

impl Series {
    /// Adds flows that ended at `now`, in seconds since the Unix epoch. Flows that are older than
    /// the oldest slot are dropped, which happens only if the clock was set back.
    ///
    /// ```
    /// use acacia_burn::{Count, Series};
    /// let mut series = Series::default();
    /// series.add(1_000_000, Count { good: 3, ..Count::default() });
    /// assert_eq!(series.sum(1_000_030, 300).good, 3);
    /// assert_eq!(series.sum(1_000_600, 300).good, 0);
    /// ```
    pub fn add(&mut self, now: u64, count: Count) {
        for (slots, width) in [(&mut self.minutes, MINUTE), (&mut self.hours, HOUR)] {
            let slot = slots.entry(now / width).or_default();
            *slot = slot.plus(count);
        }
        self.trim();
    }

    /// Returns the counts of the `window` seconds before `now`, in whole slots: minutes for windows
    /// up to 6 hours, hours for longer ones.
    #[must_use]
    pub fn sum(&self, now: u64, window: u64) -> Count {
        let use_minutes = window < MINUTE_SLOTS * MINUTE;
        let (slots, width) = if use_minutes {
            (&self.minutes, MINUTE)
        } else {
            (&self.hours, HOUR)
        };
        let last = now / width;
        let first = (last + 1).saturating_sub(window.div_ceil(width));
        let counts = slots.range(first..=last).map(|(_, count)| *count);
        counts.fold(Count::default(), Count::plus)
    }

    /// Merges another snapshot of the same time series. Counts in a slot only increase, so the
    /// maximum of each slot is kept.
    pub fn merge(&mut self, other: &Series) {
        let pairs = [
            (&mut self.minutes, &other.minutes),
            (&mut self.hours, &other.hours),
        ];
        for (own, others) in pairs {
            for (slot, count) in others {
                let kept = own.entry(*slot).or_default();
                *kept = kept.max(*count);
            }
        }
        self.trim();
    }

    fn trim(&mut self) {
        for (slots, max) in [
            (&mut self.minutes, MINUTE_SLOTS),
            (&mut self.hours, HOUR_SLOTS),
        ] {
            if let Some((last, _)) = slots.last_key_value() {
                *slots = slots.split_off(&(last + 1).saturating_sub(max));
            }
        }
    }

    /// Returns the number of slots.
    #[must_use]
    pub fn len(&self) -> usize {
        self.minutes.len() + self.hours.len()
    }

    /// Returns whether the series has no counts.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.hours.is_empty()
    }
}
