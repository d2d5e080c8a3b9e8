use std::time::Duration;

use crate::Group;

/// A point in the order of our heartbeats: every heartbeat generated from here on carries the
/// change it was taken for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Mark {
    number: u64,
    incarnation: u64,
    at: Duration,
}

impl Mark {
    /// Whether a heartbeat with this number, of the same incarnation, carries the change.
    #[must_use]
    pub fn is_carried_by(&self, number: u64) -> bool {
        number >= self.number
    }
}

impl Group {
    /// Marks a change that the payload of every heartbeat from now on carries.
    ///
    /// ```
    /// use std::time::Duration;
    /// use acacia_member::{Contact, Group, Settings};
    /// # let contact = Contact { id: 1, address: "127.0.0.1:7000".parse().unwrap(), data_centre: "hervanta".into() };
    /// let now = Duration::ZERO;
    /// let group = Group::new(Settings::default(), contact, 1, now);
    /// assert!(group.is_settled(&group.mark(now), now), "alone, nobody has to know");
    /// ```
    #[must_use]
    pub fn mark(&self, now: Duration) -> Mark {
        Mark {
            number: self.number + 1,
            incarnation: self.incarnation,
            at: now,
        }
    }

    /// Whether each member either has acknowledged a heartbeat with the marked change, or can no
    /// longer trust one without it, or is dead.
    ///
    /// The second follows from how freshness is measured. A member trusts us only while our last
    /// heartbeat echoes one that it sent within its bound, so that heartbeat was generated within
    /// its bound; when the bound has passed since the mark, it carries the change. A member that
    /// never acknowledged this incarnation may not know of us at all, and has to do so first.
    #[must_use]
    pub fn is_settled(&self, mark: &Mark, now: Duration) -> bool {
        let expired = now.saturating_sub(mark.at) >= self.settings.settle_timeout();
        mark.incarnation == self.incarnation
            && self.living().all(|record| {
                record.acknowledged >= mark.number || (expired && record.acknowledged > 0)
            })
    }
}
