use std::sync::{Mutex, MutexGuard, PoisonError};

use acacia_wire::{collections::Map, flow::Key};

use crate::{
    broken_path::Detector,
    pin::{HINT_TTL, Phase, Pin},
};

/// Limits of one [`Shard`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Maximum number of pins. The default holds 400,000 pinned flows over 16 shards with room to
    /// spare, at 33 to 66 bytes per pin.
    pub pins: usize,
    /// Maximum number of pins in [`Phase::Opening`]. Limits a flood of openings, so that it leaves
    /// room for established flows and evicts none of their pins.
    pub openings: usize,
    /// Maximum number of cached hints. Beyond it packets are redirected, which only adds latency.
    pub cache: usize,
    /// Bytes per second for hints to peers.
    pub hints: u32,
}

impl Default for Limits {
    fn default() -> Self {
        Limits {
            pins: 40_000,
            openings: 10_000,
            cache: 8_192,
            hints: 30,
        }
    }
}

/// Bytes of one hint on the wire, with its frame, UDP and IP headers.
pub(crate) const HINT_BYTES: u32 = 90;
/// Number of counters for packets redirected to this balancer.
const COUNTERS: usize = 1_024;
/// Redirected packets of one flow within [`COUNTER_WINDOW`] after which a hint is sent.
const HINT_THRESHOLD: u8 = 4;
/// Milliseconds over which redirected packets are counted.
const COUNTER_WINDOW: u64 = 1_000;

/// The state of one partition of the flows. Traffic threads lock one shard at a time.
#[derive(Debug)]
pub struct Shard {
    limits: Limits,
    pins: Map<Key, Pin>,
    openings: usize,
    cache: Map<Key, (u16, u64)>,
    counters: Box<[u8]>,
    counted_since: u64,
    hint_tokens: u32,
    pub(crate) broken_paths: Detector,
}

impl Shard {
    /// Creates an empty shard.
    #[must_use]
    pub fn new(limits: Limits) -> Self {
        Shard {
            limits,
            pins: Map::default(),
            openings: 0,
            cache: Map::default(),
            counters: vec![0; COUNTERS].into(),
            counted_since: 0,
            hint_tokens: HINT_BYTES,
            broken_paths: Detector::new(),
        }
    }

    /// Returns the pin of a flow, if any.
    #[must_use]
    pub fn pin(&self, key: &Key) -> Option<Pin> {
        self.pins.get(key).copied()
    }

    /// Number of pins.
    #[must_use]
    pub fn len(&self) -> usize {
        self.pins.len()
    }

    /// Whether there are no pins.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.pins.is_empty()
    }

    /// Approximate memory use in bytes.
    #[must_use]
    pub fn bytes(&self) -> usize {
        let slot = size_of::<(Key, Pin)>() + 1;
        let cached = size_of::<(Key, (u16, u64))>() + 1;
        // A hash table of capacity c has c * 8 / 7 slots.
        let tables = self.pins.capacity() * 8 / 7 * slot + self.cache.capacity() * 8 / 7 * cached;
        tables + COUNTERS + self.broken_paths.bytes()
    }

    /// Whether there is room for the pin of a new flow.
    #[must_use]
    pub fn has_room(&self) -> bool {
        self.pins.len() < self.limits.pins && self.openings < self.limits.openings
    }

    /// Stores a pin and returns `true`. A new pin is stored only if there is room; otherwise
    /// returns `false`.
    pub fn store(&mut self, key: Key, pin: Pin) -> bool {
        let old = self.pins.get(&key).copied();
        let is_opening = pin.phase == Phase::Opening;
        let full = self.pins.len() >= self.limits.pins
            || (is_opening && self.openings >= self.limits.openings);
        if old.is_none() && full {
            return false;
        }
        self.openings -= usize::from(old.is_some_and(|old| old.phase == Phase::Opening));
        self.openings += usize::from(is_opening);
        self.pins.insert(key, pin);
        true
    }

    /// Stores a pin copied from a peer, or answers a peer's query: returns the local pin if the
    /// peer should be sent it. The local pin takes precedence, since the copy may be older, except
    /// that a flow established according to a peer is established here too.
    pub fn adopt(&mut self, key: Key, pin: Pin) -> Option<Pin> {
        match self.pins.get(&key).copied() {
            None if pin.queries == 0 => {
                self.store(key, pin);
            }
            Some(local) if local.phase < pin.phase && local.server == pin.server => {
                self.store(
                    key,
                    Pin {
                        isn: local.isn,
                        ..pin
                    },
                );
            }
            Some(local) if pin.queries > 0 && local.phase > pin.phase => return Some(local),
            _ => {}
        }
        None
    }

    /// Replaces the server of a pin by that of an owner that takes precedence.
    pub fn correct(&mut self, key: &Key, server: u16) {
        if let Some(pin) = self.pins.get_mut(key) {
            pin.server = server;
            // The server may differ from the base, so the pin must last as long as the flow.
            pin.short_lived = false;
        }
    }

    /// Caches the server from a hint for [`HINT_TTL`]. Does nothing when the cache is full.
    pub fn cache_hint(&mut self, key: Key, server: u16, now: u64) {
        if self.cache.len() < self.limits.cache {
            self.cache.insert(key, (server, now + HINT_TTL));
        }
    }

    /// Removes the cached server of a flow.
    pub fn evict_cached(&mut self, key: &Key) {
        self.cache.remove(key);
    }

    /// Returns the cached server of a flow, unless the entry has expired.
    #[must_use]
    pub fn cached(&self, key: &Key, now: u64) -> Option<u16> {
        let (server, until) = self.cache.get(key)?;
        (now <= *until).then_some(*server)
    }

    /// Counts a packet redirected to this balancer. Returns whether to send a hint to the balancer
    /// that redirected it, and deducts the hint from the byte budget.
    pub(crate) fn should_send_hint(&mut self, hash: u64, now: u64) -> bool {
        if now.saturating_sub(self.counted_since) >= COUNTER_WINDOW {
            self.counters.fill(0);
            self.counted_since = now;
            let burst = self.limits.hints.max(HINT_BYTES);
            self.hint_tokens = (self.hint_tokens + self.limits.hints).min(burst);
        }
        let counter = &mut self.counters[hash as usize >> 4 & (COUNTERS - 1)];
        *counter = counter.saturating_add(1);
        let send = *counter >= HINT_THRESHOLD && self.hint_tokens >= HINT_BYTES;
        if send {
            *counter = 0;
            self.hint_tokens -= HINT_BYTES;
        }
        send
    }

    /// Removes expired entries, and pins for which `keep` returns `false`. `keep` is called for
    /// every pin that has not expired.
    pub fn sweep(&mut self, now: u64, mut keep: impl FnMut(&Key, &mut Pin) -> bool) {
        self.broken_paths.sweep(now);
        self.cache.retain(|_, (_, until)| now <= *until);
        let mut openings = 0;
        self.pins.retain(|key, pin| {
            let kept = pin.age(now) <= pin.lifetime(key.protocol) && keep(key, pin);
            openings += usize::from(kept && pin.phase == Phase::Opening);
            kept
        });
        self.openings = openings;
        shrink(&mut self.pins);
        shrink(&mut self.cache);
    }
}

/// Releases memory after a burst, but not on small fluctuations.
fn shrink<K: std::hash::Hash + Eq, V>(map: &mut Map<K, V>) {
    if map.capacity() > 1_024 && map.len() * 4 < map.capacity() {
        map.shrink_to(map.len() * 2);
    }
}

/// All shards of one balancer.
#[derive(Debug)]
pub struct Shards {
    shards: Box<[Mutex<Shard>]>,
}

impl Shards {
    /// Creates `count` empty shards, rounded up to a power of two.
    #[must_use]
    pub fn new(count: usize, limits: Limits) -> Self {
        let count = count.next_power_of_two();
        Shards {
            shards: (0..count).map(|_| Mutex::new(Shard::new(limits))).collect(),
        }
    }

    /// Number of shards.
    #[must_use]
    pub fn count(&self) -> usize {
        self.shards.len()
    }

    /// Locks the shard of a flow with hash `hash`.
    pub fn of(&self, hash: u64) -> MutexGuard<'_, Shard> {
        self.at(hash as usize & (self.shards.len() - 1))
    }

    /// Locks the shard with number `index`.
    ///
    /// # Panics
    /// If there is no such shard.
    pub fn at(&self, index: usize) -> MutexGuard<'_, Shard> {
        let shard = self.shards[index].lock();
        shard.unwrap_or_else(PoisonError::into_inner)
    }

    /// Approximate memory use of all shards in bytes.
    #[must_use]
    pub fn bytes(&self) -> usize {
        (0..self.count()).map(|index| self.at(index).bytes()).sum()
    }
}
