use std::sync::{Mutex, MutexGuard, PoisonError};

use acacia_wire::{collections::Map, flow::Key};

use crate::{
    pin::{HINT_TTL, Phase, Pin},
    silent::Watch,
};

/// Limits of one [`Shard`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Most pins. At 400,000 pinned flows over 16 shards with room to spare; 33 to 66 bytes each.
    pub pins: usize,
    /// Most of them that never went beyond their opening. A flood of openings stops here: it
    /// leaves room for pins of flows that live, and evicts none.
    pub openings: usize,
    /// Most cached answers; above, packets are redirected, which only costs their time.
    pub cache: usize,
    /// Bytes a second for hints to peers.
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

/// Bytes that one hint takes on the wire: its encoding, frame, UDP and IP headers.
pub(crate) const HINT: u32 = 90;
/// Slots in which packets redirected here are counted.
const COUNTERS: usize = 1_024;
/// Redirected packets of one flow within [`COUNTED`] that make it worth a hint.
const HEAVY: u8 = 4;
/// Milliseconds over which redirected packets are counted.
const COUNTED: u64 = 1_000;

/// The state of a slice of all flows. Traffic threads lock one at a time.
#[derive(Debug)]
pub struct Shard {
    limits: Limits,
    pins: Map<Key, Pin>,
    openings: usize,
    cache: Map<Key, (u16, u64)>,
    counters: Box<[u8]>,
    counted_since: u64,
    hint_tokens: u32,
    pub(crate) watch: Watch,
}

impl Shard {
    /// An empty shard.
    #[must_use]
    pub fn new(limits: Limits) -> Self {
        Shard {
            limits,
            pins: Map::default(),
            openings: 0,
            cache: Map::default(),
            counters: vec![0; COUNTERS].into(),
            counted_since: 0,
            hint_tokens: HINT,
            watch: Watch::new(),
        }
    }

    /// The pin of a flow.
    #[must_use]
    pub fn pin(&self, key: &Key) -> Option<Pin> {
        self.pins.get(key).copied()
    }

    /// How many pins there are.
    #[must_use]
    pub fn len(&self) -> usize {
        self.pins.len()
    }

    /// Whether there are no pins.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.pins.is_empty()
    }

    /// Bytes that all of it occupies.
    #[must_use]
    pub fn bytes(&self) -> usize {
        let slot = size_of::<(Key, Pin)>() + 1;
        let cached = size_of::<(Key, (u16, u64))>() + 1;
        // A hash table of capacity c has c * 8 / 7 slots.
        let tables = self.pins.capacity() * 8 / 7 * slot + self.cache.capacity() * 8 / 7 * cached;
        tables + COUNTERS + self.watch.bytes()
    }

    /// Whether a pin of a new flow finds room.
    #[must_use]
    pub fn has_room(&self) -> bool {
        self.pins.len() < self.limits.pins && self.openings < self.limits.openings
    }

    /// Stores a pin. A new one is stored only while there is room; gives whether it was.
    pub fn store(&mut self, key: Key, pin: Pin) -> bool {
        let old = self.pins.get(&key).copied();
        let opening = pin.phase == Phase::Opening;
        let full = self.pins.len() >= self.limits.pins
            || (opening && self.openings >= self.limits.openings);
        if old.is_none() && full {
            return false;
        }
        self.openings -= usize::from(old.is_some_and(|old| old.phase == Phase::Opening));
        self.openings += usize::from(opening);
        self.pins.insert(key, pin);
        true
    }

    /// Takes over a pin that a peer sent, or answers its question: gives the pin known here if
    /// the peer should hear of it. What is known here goes first, since the copy may be older; but
    /// a flow that got beyond its opening elsewhere did so here too.
    pub fn adopt(&mut self, key: Key, pin: Pin) -> Option<Pin> {
        match self.pins.get(&key).copied() {
            None if pin.queries == 0 => {
                self.store(key, pin);
            }
            Some(mine) if mine.phase < pin.phase && mine.server == pin.server => {
                self.store(
                    key,
                    Pin {
                        isn: mine.isn,
                        ..pin
                    },
                );
            }
            Some(mine) if pin.queries > 0 && mine.phase > pin.phase => return Some(mine),
            _ => {}
        }
        None
    }

    /// Takes over the server of an owner that decides.
    pub fn correct(&mut self, key: &Key, server: u16) {
        if let Some(pin) = self.pins.get_mut(key) {
            pin.server = server;
            // The server may not be the base: the flow can't be left to the table any more.
            pin.short_lived = false;
        }
    }

    /// Remembers a hint for [`HINT_TTL`].
    pub fn remember(&mut self, key: Key, server: u16, now: u64) {
        if self.cache.len() < self.limits.cache {
            self.cache.insert(key, (server, now + HINT_TTL));
        }
    }

    /// Forgets what was remembered of a flow.
    pub fn forget(&mut self, key: &Key) {
        self.cache.remove(key);
    }

    /// The server remembered for a flow.
    #[must_use]
    pub fn cached(&self, key: &Key, now: u64) -> Option<u16> {
        let (server, until) = self.cache.get(key)?;
        (now <= *until).then_some(*server)
    }

    /// Counts a packet redirected here; gives whether its sender is worth a hint, which is then
    /// paid for from the budget.
    pub(crate) fn hint(&mut self, hash: u64, now: u64) -> bool {
        if now.saturating_sub(self.counted_since) >= COUNTED {
            self.counters.fill(0);
            self.counted_since = now;
            let most = self.limits.hints.max(HINT);
            self.hint_tokens = (self.hint_tokens + self.limits.hints).min(most);
        }
        let counter = &mut self.counters[hash as usize >> 4 & (COUNTERS - 1)];
        *counter = counter.saturating_add(1);
        let worth = *counter >= HEAVY && self.hint_tokens >= HINT;
        if worth {
            *counter = 0;
            self.hint_tokens -= HINT;
        }
        worth
    }

    /// Drops what has lived its time and what `keep` rejects; calls `keep` for every other pin.
    pub fn sweep(&mut self, now: u64, mut keep: impl FnMut(&Key, &mut Pin) -> bool) {
        self.watch.sweep(now);
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

/// Gives memory back after a burst has passed, without doing so at every ebb.
fn shrink<K: std::hash::Hash + Eq, V>(map: &mut Map<K, V>) {
    if map.capacity() > 1_024 && map.len() * 4 < map.capacity() {
        map.shrink_to(map.len() * 2);
    }
}

/// All shards of a balancer.
#[derive(Debug)]
pub struct Shards {
    shards: Box<[Mutex<Shard>]>,
}

impl Shards {
    /// `count` empty shards, rounded up to a power of two.
    #[must_use]
    pub fn new(count: usize, limits: Limits) -> Self {
        let count = count.next_power_of_two();
        Shards {
            shards: (0..count).map(|_| Mutex::new(Shard::new(limits))).collect(),
        }
    }

    /// How many shards there are.
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
    /// If there is none.
    pub fn at(&self, index: usize) -> MutexGuard<'_, Shard> {
        let shard = self.shards[index].lock();
        shard.unwrap_or_else(PoisonError::into_inner)
    }

    /// Bytes that all pins and caches occupy.
    #[must_use]
    pub fn bytes(&self) -> usize {
        (0..self.count()).map(|index| self.at(index).bytes()).sum()
    }
}
