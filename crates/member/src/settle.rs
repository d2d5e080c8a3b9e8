use std::time::Duration;

use crate::Group;

/// A position in the sequence of our heartbeats, taken when a change was made: every heartbeat
/// generated from there on carries the change.
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
    /// Marks a change that the payloads of all further heartbeats carry.
    ///
    /// ```
    /// use std::time::Duration;
    /// use acacia_member::{Contact, Group, Settings};
    /// # let contact = Contact { id: 1, address: "127.0.0.1:7000".parse().unwrap(), data_centre: "hervanta".into() };
    /// let now = Duration::ZERO;
    /// let group = Group::new(Settings::default(), contact, 1, now);
    /// assert!(group.is_settled(&group.mark(now), now), "there is no other member");
    /// ```
    #[must_use]
    pub fn mark(&self, now: Duration) -> Mark {
        Mark {
            number: self.number + 1,
            incarnation: self.incarnation,
            at: now,
        }
    }

    /// Whether every member has acknowledged a heartbeat with the marked change, or no longer trusts
    /// a heartbeat without it, or is dead.
    ///
    /// The second case follows from how freshness is measured. A member trusts us only while our
    /// last heartbeat echoes one that the member sent within its freshness timeout, so our heartbeat
    /// was generated within that timeout too. Once the timeout has passed since the mark, any
    /// heartbeat that the member still trusts carries the change. A member that has never
    /// acknowledged this incarnation may not know of us at all, so time alone doesn't settle the
    /// change for it.
    #[must_use]
    pub fn is_settled(&self, mark: &Mark, now: Duration) -> bool {
        let expired = now.saturating_sub(mark.at) >= self.settings.settle_timeout();
        mark.incarnation == self.incarnation
            && self.living().all(|record| {
                record.acknowledged >= mark.number || (expired && record.acknowledged > 0)
            })
    }
}
