use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::Count;

/// Seconds of a fine slot.
pub(crate) const MINUTE: u64 = 60;
/// Seconds of a coarse slot.
pub(crate) const HOUR: u64 = 3600;
/// Fine slots kept: 6 h and the one that has just begun.
const MINUTES: u64 = 361;
/// Coarse slots kept: 3 days and the one that has just begun.
const HOURS: u64 = 73;

/// One service's counts at one balancer, in slots of wall-clock time: by the minute for 6 hours
/// and by the hour for 3 days. At most 434 slots, about 17 KB; slots without flows take nothing.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TimeSeries {
    minutes: BTreeMap<u64, Count>,
    hours: BTreeMap<u64, Count>,
}

impl TimeSeries {
    /// Adds flows that ended at `now`, in seconds since 1970. Those from before the kept time are
    /// dropped: only a clock that was set back gives them.
    ///
    /// ```
    /// use acacia_burn::{Count, TimeSeries};
    /// let mut tape = TimeSeries::default();
    /// tape.add(1_000_000, Count { good: 3, ..Count::default() });
    /// assert_eq!(tape.sum(1_000_030, 300).good, 3);
    /// assert_eq!(tape.sum(1_000_600, 300).good, 0);
    /// ```
    pub fn add(&mut self, now: u64, count: Count) {
        for (slots, width) in [(&mut self.minutes, MINUTE), (&mut self.hours, HOUR)] {
            let slot = slots.entry(now / width).or_default();
            *slot = slot.plus(count);
        }
        self.trim();
    }

    /// The counts of the `window` seconds before `now`, to the next full slot: of a minute for
    /// windows up to 6 h, of an hour for longer ones.
    #[must_use]
    pub fn sum(&self, now: u64, window: u64) -> Count {
        let fine = window < MINUTES * MINUTE;
        let (slots, width) = if fine {
            (&self.minutes, MINUTE)
        } else {
            (&self.hours, HOUR)
        };
        let last = now / width;
        let first = (last + 1).saturating_sub(window.div_ceil(width));
        let counts = slots.range(first..=last).map(|(_, count)| *count);
        counts.fold(Count::default(), Count::plus)
    }

    /// Takes in another snapshot of the same counts: per slot the larger, for each only rises.
    pub fn merge(&mut self, other: &TimeSeries) {
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
        for (slots, most) in [(&mut self.minutes, MINUTES), (&mut self.hours, HOURS)] {
            if let Some((last, _)) = slots.last_key_value() {
                *slots = slots.split_off(&(last + 1).saturating_sub(most));
            }
        }
    }

    /// How many slots are held.
    #[must_use]
    pub fn len(&self) -> usize {
        self.minutes.len() + self.hours.len()
    }

    /// Whether nothing was counted.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.hours.is_empty()
    }
}
