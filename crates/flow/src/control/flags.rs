use acacia_wire::collections::{Map, Set};

use super::{Tables, is_off_base};
use crate::{
    bitmap::Bitmap,
    snapshot::{Address, Service},
};

/// The buckets that this balancer wants flagged, and since when all others have known.
#[derive(Debug)]
pub(super) struct Flags {
    /// Increases with every change of the wanted flags. Starts at 1, because a peer that
    /// acknowledges version 0 has received no flags.
    pub(super) version: u32,
    services: Map<Address, Buckets>,
    guarded: Map<Address, Option<u64>>,
    /// Buckets whose base changed, with the table version that every balancer must have before the
    /// entry is cleared.
    moves: Map<Address, (u64, Bitmap)>,
    /// Services whose policy may place flows off base in any bucket.
    off_base_everywhere: Set<Address>,
    acknowledged: u32,
}

#[derive(Debug, Default)]
struct Buckets {
    wanted: Bitmap,
    /// Buckets with pins, as of the last complete pass over all shards or added since.
    pinned: Bitmap,
    /// Buckets with pins found so far in the current pass.
    found: Bitmap,
    /// Per bucket, when all balancers had acknowledged its flag; 0 until they have.
    flagged_since: Vec<u64>,
    /// Per bucket, when there was last a reason to place flows off its base; 0 for never.
    last_needed_at: Vec<u64>,
    /// Buckets that currently have such a reason.
    needs_off_base: Bitmap,
}

impl Default for Flags {
    fn default() -> Self {
        Flags {
            version: 1,
            services: Map::default(),
            guarded: Map::default(),
            moves: Map::default(),
            off_base_everywhere: Set::default(),
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

    /// Buckets in which flows may be placed off their base: those that need it and have been
    /// flagged everywhere for `settle` milliseconds.
    pub(super) fn off_base(&self, address: &Address, now: u64, settle: u64) -> Bitmap {
        let mut open = Bitmap::default();
        if let Some(buckets) = self.services.get(address) {
            let since = |bucket: usize| buckets.flagged_since.get(bucket).copied().unwrap_or(0);
            buckets
                .needs_off_base
                .iter()
                .filter(|&bucket| since(bucket) > 0 && now >= since(bucket) + settle)
                .for_each(|bucket| open.insert(bucket));
        }
        open
    }

    /// Whether flows may be placed off their base in every bucket that needs it, see
    /// [`Flags::off_base`].
    pub(super) fn all_off_base(&self, now: u64, settle: u64) -> bool {
        self.services.values().all(|buckets| {
            let since = |bucket: usize| buckets.flagged_since.get(bucket).copied().unwrap_or(0);
            let mut needs = buckets.needs_off_base.iter();
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

    /// Records the buckets whose base differs between two tables. Until every balancer has the new
    /// tables, a flow on the new base needs a pin as if it were off base.
    pub(super) fn record_moves(&mut self, old: &Tables, new: &Tables) {
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

    /// Clears the moves that every balancer knows. `known` is the lowest table version in use.
    pub(super) fn clear_moves(&mut self, known: u64) {
        self.moves.retain(|_, (version, _)| *version > known);
    }

    pub(super) fn record_pin(&mut self, service: &Service, bucket: usize) {
        let buckets = self.services.entry(service.address).or_default();
        buckets.found.insert(bucket);
        buckets.pinned.insert(bucket);
    }

    /// Completes a pass over all shards: buckets in which it found no pin have none.
    pub(super) fn finish_pass(&mut self) {
        for buckets in self.services.values_mut() {
            buckets.pinned = std::mem::take(&mut buckets.found);
        }
    }

    /// Sets whether flows of a service may be placed off their base in every bucket.
    pub(super) fn allow_off_base(&mut self, address: Address, allowed: bool) {
        if allowed {
            self.off_base_everywhere.insert(address);
        } else {
            self.off_base_everywhere.remove(&address);
        }
    }

    /// Recomputes the wanted flags from tables and pins; returns whether they changed.
    ///
    /// While `is_partitioned`, no flow can be placed off its base, and unreachable owners can't be
    /// asked about a flow. Flagging a bucket then would block the flows that were opened on its
    /// base without a pin until the partition ends: callers inside a partitioned data centre waited
    /// 15 s and more. A bucket that would only be flagged to give a choice of servers is therefore
    /// flagged after all balancers have returned or been removed. Flags that protect against
    /// packets of another service, or to an old base, are not delayed.
    ///
    /// A bucket stays flagged for `linger` milliseconds after new flows go to its base again,
    /// because a traffic thread with an older snapshot may still create pins, and the next pass
    /// over the shards has yet to find them.
    pub(super) fn refresh(
        &mut self,
        tables: &Tables,
        now: u64,
        linger: u64,
        is_partitioned: bool,
    ) -> bool {
        let mut changed = false;
        let listed: Set<Address> = tables
            .services
            .iter()
            .map(|service| service.address)
            .collect();
        self.services.retain(|address, _| listed.contains(address));
        for service in &tables.services {
            let moved = self.moved(&service.address);
            let everywhere = self.off_base_everywhere.contains(&service.address);
            let buckets = self.services.entry(service.address).or_default();
            buckets.flagged_since.resize(service.base.len(), 0);
            buckets.last_needed_at.resize(service.base.len(), 0);
            let mut needs = moved;
            for bucket in 0..service.base.len() {
                let has_choice = everywhere || is_off_base(service, bucket);
                let is_delayed = is_partitioned && !buckets.wanted.contains(bucket);
                if service.strict || (has_choice && !is_delayed) {
                    needs.insert(bucket);
                }
            }
            needs
                .iter()
                .for_each(|bucket| buckets.last_needed_at[bucket] = now);
            let mut wanted = Bitmap::new(service.base.len());
            for (bucket, &last_needed_at) in buckets.last_needed_at.iter().enumerate() {
                if last_needed_at > 0 && now <= last_needed_at + linger {
                    wanted.insert(bucket);
                }
            }
            wanted.union(&buckets.pinned);
            wanted.union(&buckets.found);
            buckets.needs_off_base = needs;
            if wanted != buckets.wanted {
                for (bucket, since) in buckets.flagged_since.iter_mut().enumerate() {
                    *since = if wanted.contains(bucket) { *since } else { 0 };
                }
                buckets.wanted = wanted;
                changed = true;
            }
        }
        self.version += u32::from(changed);
        changed
    }

    /// Records that every balancer has acknowledged the current flags.
    pub(super) fn acknowledge(&mut self, now: u64) {
        if self.acknowledged == self.version {
            return;
        }
        self.acknowledged = self.version;
        for buckets in self.services.values_mut() {
            for bucket in buckets.wanted.iter() {
                if let Some(since) = buckets
                    .flagged_since
                    .get_mut(bucket)
                    .filter(|since| **since == 0)
                {
                    *since = now.max(1);
                }
            }
        }
        for since in self.guarded.values_mut().filter(|since| since.is_none()) {
            *since = Some(now);
        }
    }
}
