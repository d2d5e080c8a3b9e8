//! The key-value service's state, without input, output or clock.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use acacia_platform::store::{Entry, Lease, MAX_VALUE, Outcome, Refusal, Swap};

/// Keys and leases.
#[derive(Debug, Default)]
pub struct Store {
    revision: u64,
    keys: BTreeMap<Arc<str>, Key>,
    leases: BTreeMap<Lease, Term>,
    granted: u64,
}

/// A key's value, and the one before it for the fault of answering old values.
#[derive(Debug)]
struct Key {
    now: Entry,
    before: Entry,
    lease: Option<Lease>,
}

/// How long a lease lasts.
#[derive(Debug, Clone, Copy)]
struct Term {
    ttl: Duration,
    ends: Duration,
}

impl Store {
    /// What a key holds.
    #[must_use]
    pub fn get(&self, key: &str) -> Entry {
        self.keys.get(key).map_or(Entry::ABSENT, |k| k.now.clone())
    }

    /// What a key held before its last write.
    #[must_use]
    pub fn get_before(&self, key: &str) -> Entry {
        self.keys
            .get(key)
            .map_or(Entry::ABSENT, |k| k.before.clone())
    }

    /// Compares and swaps.
    ///
    /// # Errors
    /// When the value is too large or the lease is gone.
    ///
    /// ```
    /// use acacia_platform::store::{Outcome, Swap};
    /// let mut store = acacia_stand::platform::store::Store::default();
    /// let swap = Swap { key: "k".into(), expected: 0, value: Some("v".into()), lease: None };
    /// assert_eq!(store.swap(swap.clone()), Ok(Outcome::Written { revision: 1 }));
    /// assert_eq!(store.swap(swap), Ok(Outcome::Conflict { revision: 1 }));
    /// ```
    pub fn swap(&mut self, swap: Swap) -> Result<Outcome, Refusal> {
        if swap.value.as_ref().is_some_and(|v| v.len() > MAX_VALUE) {
            return Err(Refusal::TooLarge);
        }
        if swap.lease.is_some_and(|l| !self.leases.contains_key(&l)) {
            return Err(Refusal::LeaseGone);
        }
        let before = self.get(&swap.key);
        if before.revision != swap.expected {
            let revision = before.revision;
            return Ok(Outcome::Conflict { revision });
        }
        let revision = self.write(swap.key, before, swap.value, swap.lease);
        Ok(Outcome::Written { revision })
    }

    /// Puts a backup in place of the store: every key holds what it held before its last write,
    /// and revisions count on from there.
    pub fn restore(&mut self) {
        for key in self.keys.values_mut() {
            key.now = key.before.clone();
        }
        let newest = self.keys.values().map(|key| key.now.revision).max();
        self.revision = newest.unwrap_or(0);
    }

    fn write(
        &mut self,
        key: Arc<str>,
        before: Entry,
        value: Option<Arc<str>>,
        lease: Option<Lease>,
    ) -> u64 {
        self.revision += 1;
        let revision = self.revision;
        let now = Entry { revision, value };
        self.keys.insert(key, Key { now, before, lease });
        revision
    }

    /// Grants a lease at the time `now`.
    pub fn grant(&mut self, ttl: Duration, now: Duration) -> Lease {
        self.granted += 1;
        let lease = Lease(self.granted);
        let ends = now + ttl;
        self.leases.insert(lease, Term { ttl, ends });
        lease
    }

    /// Starts a lease's time anew.
    ///
    /// # Errors
    /// When it is gone.
    pub fn keep_alive(&mut self, lease: Lease, now: Duration) -> Result<(), Refusal> {
        let term = self.leases.get_mut(&lease).ok_or(Refusal::LeaseGone)?;
        term.ends = now + term.ttl;
        Ok(())
    }

    /// Ends a lease and removes its keys.
    ///
    /// # Errors
    /// When it is gone already.
    pub fn revoke(&mut self, lease: Lease) -> Result<(), Refusal> {
        self.leases.remove(&lease).ok_or(Refusal::LeaseGone)?;
        let bound: Vec<_> = self
            .keys
            .iter()
            .filter(|(_, key)| key.lease == Some(lease))
            .map(|(name, key)| (Arc::clone(name), key.now.clone()))
            .collect();
        for (name, before) in bound {
            self.write(name, before, None, None);
        }
        Ok(())
    }

    /// Ends every lease whose time is over at `now`; true if there was one.
    pub fn expire(&mut self, now: Duration) -> bool {
        let over: Vec<_> = self
            .leases
            .iter()
            .filter(|(_, term)| term.ends <= now)
            .map(|(lease, _)| *lease)
            .collect();
        over.iter().any(|lease| self.revoke(*lease).is_ok())
    }

    /// When the next lease ends.
    #[must_use]
    pub fn next_expiry(&self) -> Option<Duration> {
        self.leases.values().map(|term| term.ends).min()
    }
}
