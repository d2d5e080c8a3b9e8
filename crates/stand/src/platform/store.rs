//! State of the key-value store, without I/O. The caller passes the time.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use acacia_platform::store::{Entry, Lease, MAX_VALUE, Outcome, Refusal, Swap};

/// The keys and leases of a key-value store.
#[derive(Debug, Default)]
pub struct Store {
    revision: u64,
    keys: BTreeMap<Arc<str>, Key>,
    leases: BTreeMap<Lease, LeaseTerm>,
    granted: u64,
}

/// A key's current value, and its previous one for stale reads and restores.
#[derive(Debug)]
struct Key {
    current: Entry,
    previous: Entry,
    lease: Option<Lease>,
}

/// Duration and expiry time of a lease.
#[derive(Debug, Clone, Copy)]
struct LeaseTerm {
    ttl: Duration,
    expires: Duration,
}

impl Store {
    /// Returns the current entry of a key.
    #[must_use]
    pub fn get(&self, key: &str) -> Entry {
        self.keys
            .get(key)
            .map_or(Entry::ABSENT, |k| k.current.clone())
    }

    /// Returns the entry that a key held before its last write.
    #[must_use]
    pub fn get_previous(&self, key: &str) -> Entry {
        self.keys
            .get(key)
            .map_or(Entry::ABSENT, |k| k.previous.clone())
    }

    /// Replaces the value of a key if its revision is the expected one.
    ///
    /// # Errors
    /// Fails if the value is too large or the lease doesn't exist.
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
        let previous = self.get(&swap.key);
        if previous.revision != swap.expected {
            let revision = previous.revision;
            return Ok(Outcome::Conflict { revision });
        }
        let revision = self.write(swap.key, previous, swap.value, swap.lease);
        Ok(Outcome::Written { revision })
    }

    /// Restores the store from a backup that lacks the last write of each key. Revisions continue
    /// from the highest one in the backup.
    pub fn restore(&mut self) {
        for key in self.keys.values_mut() {
            key.current = key.previous.clone();
        }
        let newest = self.keys.values().map(|key| key.current.revision).max();
        self.revision = newest.unwrap_or(0);
    }

    fn write(
        &mut self,
        key: Arc<str>,
        previous: Entry,
        value: Option<Arc<str>>,
        lease: Option<Lease>,
    ) -> u64 {
        self.revision += 1;
        let revision = self.revision;
        let current = Entry { revision, value };
        self.keys.insert(
            key,
            Key {
                current,
                previous,
                lease,
            },
        );
        revision
    }

    /// Grants a lease that expires `ttl` after `now`.
    pub fn grant(&mut self, ttl: Duration, now: Duration) -> Lease {
        self.granted += 1;
        let lease = Lease(self.granted);
        let expires = now + ttl;
        self.leases.insert(lease, LeaseTerm { ttl, expires });
        lease
    }

    /// Renews a lease for its whole duration from `now` on.
    ///
    /// # Errors
    /// Fails if the lease doesn't exist.
    pub fn keep_alive(&mut self, lease: Lease, now: Duration) -> Result<(), Refusal> {
        let term = self.leases.get_mut(&lease).ok_or(Refusal::LeaseGone)?;
        term.expires = now + term.ttl;
        Ok(())
    }

    /// Revokes a lease and removes the keys bound to it.
    ///
    /// # Errors
    /// Fails if the lease doesn't exist.
    pub fn revoke(&mut self, lease: Lease) -> Result<(), Refusal> {
        self.leases.remove(&lease).ok_or(Refusal::LeaseGone)?;
        let bound: Vec<_> = self
            .keys
            .iter()
            .filter(|(_, key)| key.lease == Some(lease))
            .map(|(name, key)| (Arc::clone(name), key.current.clone()))
            .collect();
        for (name, previous) in bound {
            self.write(name, previous, None, None);
        }
        Ok(())
    }

    /// Revokes the leases that have expired at `now`. Returns whether there was one.
    pub fn expire(&mut self, now: Duration) -> bool {
        let expired: Vec<_> = self
            .leases
            .iter()
            .filter(|(_, term)| term.expires <= now)
            .map(|(lease, _)| *lease)
            .collect();
        expired.iter().any(|lease| self.revoke(*lease).is_ok())
    }

    /// Returns when the next lease expires.
    #[must_use]
    pub fn next_expiry(&self) -> Option<Duration> {
        self.leases.values().map(|term| term.expires).min()
    }
}
