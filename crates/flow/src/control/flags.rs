use acacia_wire::collections::{Map, Set};

use super::{Tables, is_off_base};
use crate::{
    bitmap::Bitmap,
    snapshot::{Address, Service},
};

/// Which buckets this balancer wants flagged, and since when all others know.
#[derive(Debug)]
pub(super) struct Flags {
    /// Rises with every change of what is wanted. From 1: a peer that acknowledges 0 knows nothing.
    pub(super) version: u32,
    services: Map<Address, Buckets>,
    guarded: Map<Address, Option<u64>>,
    /// Moves of base buckets that wait until all balancers have the tables: version, buckets.
    moves: Map<Address, (u64, Bitmap)>,
    /// Services whose policy may place flows off base in any bucket.
    loose: Set<Address>,
    acknowledged: u32,
}

#[derive(Debug, Default)]
struct Buckets {
    wanted: Bitmap,
    /// Buckets of pins, as of the last complete pass over all shards.
    pinned: Bitmap,
    /// Buckets of pins met in the pass under way.
    noted: Bitmap,
    /// Per bucket, when all balancers had acknowledged its flag; 0 while they have not.
    since: Vec<u64>,
    /// Per bucket, when flows last had reason to be placed off its base; 0 for never.
    needed: Vec<u64>,
    /// Buckets in which they have now.
    needs: Bitmap,
}

impl Default for Flags {
    fn default() -> Self {
        Flags {
            version: 1,
            services: Map::default(),
            guarded: Map::default(),
            moves: Map::default(),
            loose: Set::default(),
            acknowledged: 0,
        }
    }
}

impl Flags {
    pub(super) fn wanted(&self, address: &Address) -> Bitmap {
        let buckets = self.services.get(address);
        buckets
            .map(|buckets| buckets.wanted.clone())
            .unwrap_or_default()
    }

    pub(super) fn all(&self) -> impl Iterator<Item = (Address, &Bitmap)> {
        let services = self.services.iter();
        services.map(|(&address, buckets)| (address, &buckets.wanted))
    }

    pub(super) fn moved(&self, address: &Address) -> Bitmap {
        self.moves
            .get(address)
            .map(|(_, moved)| moved.clone())
            .unwrap_or_default()
    }

    /// Buckets that need flows off their base, flagged everywhere for `settle` milliseconds.
    pub(super) fn open(&self, address: &Address, now: u64, settle: u64) -> Bitmap {
        let mut open = Bitmap::default();
        if let Some(buckets) = self.services.get(address) {
            let since = |bucket: usize| buckets.since.get(bucket).copied().unwrap_or(0);
            buckets
                .needs
                .iter()
                .filter(|&bucket| since(bucket) > 0 && now >= since(bucket) + settle)
                .for_each(|bucket| open.insert(bucket));
        }
        open
    }

    /// Whether every bucket that needs flows off its base is open for them, see [`Flags::open`].
    pub(super) fn all_open(&self, now: u64, settle: u64) -> bool {
        self.services.values().all(|buckets| {
            let since = |bucket: usize| buckets.since.get(bucket).copied().unwrap_or(0);
            let mut needs = buckets.needs.iter();
            needs.all(|bucket| since(bucket) > 0 && now >= since(bucket) + settle)
        })
    }

    pub(super) fn is_guarded(&self, address: &Address) -> bool {
        self.guarded.contains_key(address)
    }

    pub(super) fn is_guard_settled(&self, address: &Address, now: u64, settle: u64) -> bool {
        let since = self.guarded.get(address).copied().flatten();
        since.is_some_and(|since| now >= since + settle)
    }

    pub(super) fn guard(&mut self, address: Address, guarded: bool) -> bool {
        let changed = guarded != self.guarded.contains_key(&address);
        if changed && guarded {
            self.guarded.insert(address, None);
        } else if changed {
            self.guarded.remove(&address);
        }
        self.version += u32::from(changed);
        changed
    }

    /// Notes buckets whose base differs between two tables: until every balancer has the new
    /// ones, a flow on the new base needs a pin as if it were off base.
    pub(super) fn note_moves(&mut self, old: &Tables, new: &Tables) {
        for service in &new.services {
            let before = old
                .services
                .iter()
                .find(|old| old.address == service.address && old.since == service.since);
            let Some(before) = before else { continue };
            let entry = self.moves.entry(service.address);
            let (version, moved) = entry.or_insert_with(|| (0, Bitmap::default()));
            let pairs = before.base.iter().zip(service.base.iter()).enumerate();
            for (bucket, _) in pairs.filter(|(_, (old, new))| old != new) {
                moved.insert(bucket);
                *version = new.version;
            }
            if moved.is_empty() {
                self.moves.remove(&service.address);
            }
        }
    }

    /// Ends the moves that every balancer knows of: `known` is the least version of tables.
    pub(super) fn settle_moves(&mut self, known: u64) {
        self.moves.retain(|_, (version, _)| *version > known);
    }

    pub(super) fn note_pin(&mut self, service: &Service, bucket: usize) {
        let buckets = self.services.entry(service.address).or_default();
        buckets.noted.insert(bucket);
        buckets.pinned.insert(bucket);
    }

    /// A pass over all shards is complete: what it has not met holds no pins.
    pub(super) fn finish_pass(&mut self) {
        for buckets in self.services.values_mut() {
            buckets.pinned = std::mem::take(&mut buckets.noted);
        }
    }

    /// Gives the policy a choice of servers in every bucket of a service, or ends that.
    pub(super) fn allow_off_base(&mut self, address: Address, loose: bool) {
        if loose {
            self.loose.insert(address);
        } else {
            self.loose.remove(&address);
        }
    }

    /// Brings what is wanted in line with tables and pins; gives whether it changed.
    ///
    /// While a balancer is `apart`, nothing can be placed off its base, and the owners that are out
    /// of hearing can't be asked about a flow. A bucket flagged then would stop the flows that were
    /// opened on its base without a pin, until the cut is over: callers inside a data centre that
    /// was cut off waited 15 s and more. So a mere choice of servers waits until all are back or
    /// gone. What guards against packets of another service, or to an old base, does not wait.
    ///
    /// A bucket stays flagged for `linger` milliseconds after new flows go to its base again: a
    /// traffic thread with an older snapshot may still be pinning, and the next pass over the
    /// shards has yet to meet those pins.
    pub(super) fn refresh(&mut self, tables: &Tables, now: u64, linger: u64, apart: bool) -> bool {
        let mut changed = false;
        let listed: Set<Address> = tables
            .services
            .iter()
            .map(|service| service.address)
            .collect();
        self.services.retain(|address, _| listed.contains(address));
        for service in &tables.services {
            let moved = self.moved(&service.address);
            let loose = self.loose.contains(&service.address);
            let buckets = self.services.entry(service.address).or_default();
            buckets.since.resize(service.base.len(), 0);
            buckets.needed.resize(service.base.len(), 0);
            let mut needs = moved;
            for bucket in 0..service.base.len() {
                let chosen = loose || is_off_base(service, bucket);
                let waits = apart && !buckets.wanted.contains(bucket);
                if service.strict || (chosen && !waits) {
                    needs.insert(bucket);
                }
            }
            needs.iter().for_each(|bucket| buckets.needed[bucket] = now);
            let mut wanted = Bitmap::new(service.base.len());
            for (bucket, &needed) in buckets.needed.iter().enumerate() {
                if needed > 0 && now <= needed + linger {
                    wanted.insert(bucket);
                }
            }
            wanted.union(&buckets.pinned);
            wanted.union(&buckets.noted);
            buckets.needs = needs;
            if wanted != buckets.wanted {
                for (bucket, since) in buckets.since.iter_mut().enumerate() {
                    *since = if wanted.contains(bucket) { *since } else { 0 };
                }
                buckets.wanted = wanted;
                changed = true;
            }
        }
        self.version += u32::from(changed);
        changed
    }

    /// Every balancer has acknowledged the flags as they are now.
    pub(super) fn acknowledge(&mut self, now: u64) {
        if self.acknowledged == self.version {
            return;
        }
        self.acknowledged = self.version;
        for buckets in self.services.values_mut() {
            for bucket in buckets.wanted.iter() {
                if let Some(since) = buckets.since.get_mut(bucket).filter(|since| **since == 0) {
                    *since = now.max(1);
                }
            }
        }
        for since in self.guarded.values_mut().filter(|since| since.is_none()) {
            *since = Some(now);
        }
    }
}
