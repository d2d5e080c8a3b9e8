//! Several cores, and between them a small fake of the store, the heartbeats and the fetches. Time
//! goes in steps of a tenth of a second. It checks what must hold at every step.

use std::{collections::BTreeSet, sync::Arc, time::Duration};

use acacia_config::document::Document;
use acacia_rollout::{Action, Event, Options, Peer, Rollout, StoreEntry, Version};

use crate::fixture::{document, ms, peer};

const STEP: u64 = 100;
const HEARTBEAT: u64 = 500;
/// How long a store that can't be reached takes to be noticed.
const STORE_DEADLINE: u64 = 1000;
/// How long a watch without a change takes.
const WATCH: u64 = 2000;

struct Balancer {
    core: Rollout,
    paused: bool,
    /// Revision that the watch waits to see passed, and since when.
    watch: Option<(u64, Duration)>,
    fetch: Option<u16>,
    /// What the last heartbeat of each peer said, for those that it still sees.
    told: Vec<Option<Version>>,
    /// The highest version in force so far.
    highest: Option<Version>,
}

pub struct World {
    now: Duration,
    centres: u16,
    balancers: Vec<Balancer>,
    accepted: Vec<Arc<Document>>,
    reach: Vec<bool>,
    pub stale: bool,
    cuts: BTreeSet<(u16, u16)>,
    watches: usize,
}

impl World {
    /// Balancers spread evenly over data centres, all healthy.
    pub fn new(balancers: u16, centres: u16) -> Self {
        let mut world = World {
            now: Duration::ZERO,
            centres,
            balancers: Vec::new(),
            accepted: Vec::new(),
            reach: vec![true; balancers.into()],
            stale: false,
            cuts: BTreeSet::new(),
            watches: 0,
        };
        world.balancers = (0..balancers)
            .map(|id| world.newborn(id, balancers))
            .collect();
        world
    }

    fn peer(&self, id: u16) -> Peer {
        peer(id, &format!("dc-{}", id % self.centres))
    }

    fn newborn(&self, id: u16, balancers: u16) -> Balancer {
        let me = self.peer(id);
        let seed = id.into();
        Balancer {
            core: Rollout::new(Options { me, seed }, self.now),
            paused: false,
            watch: None,
            fetch: None,
            told: vec![None; balancers.into()],
            highest: None,
        }
    }

    /// An operator's change is accepted by the store.
    pub fn accept(&mut self) {
        let revision = self.accepted.len() as u64 + 1;
        self.accepted.push(document(revision));
    }

    pub fn set_store(&mut self, change: impl FnOnce(&mut [bool])) {
        change(&mut self.reach);
    }

    pub fn replace(&mut self, id: u16) {
        let balancers = self.balancers.len() as u16;
        self.balancers[usize::from(id)] = self.newborn(id, balancers);
    }

    pub fn pause(&mut self, id: u16, paused: bool) {
        self.balancers[usize::from(id)].paused = paused;
    }

    pub fn cut(&mut self, a: u16, b: u16) {
        self.cuts.insert((a.min(b), a.max(b)));
    }

    /// Old news arrive again, as a heartbeat, a fetched document and a store's answer.
    pub fn replay(&mut self, from: u16, to: u16) {
        let Some(old) = self.accepted.first().cloned() else {
            return;
        };
        let version = Some(Version::of(&old));
        if from != to && !self.balancers[usize::from(to)].paused {
            self.step(
                to,
                Event::Heartbeat {
                    peer: from,
                    version,
                },
            );
            let document = Some(Arc::clone(&old));
            self.step(
                to,
                Event::Fetched {
                    peer: from,
                    document,
                },
            );
        }
    }

    /// Every fault ends.
    pub fn heal(&mut self) {
        self.reach.fill(true);
        self.stale = false;
        self.cuts.clear();
        for balancer in &mut self.balancers {
            balancer.paused = false;
        }
    }

    /// The balancers that don't have the newest change in force or don't serve.
    pub fn lagging(&self) -> Vec<u16> {
        let newest = self.accepted.last().map(|document| Version::of(document));
        let lags = |id: &u16| {
            let core = &self.balancers[usize::from(*id)].core;
            core.version() != newest || !core.is_ready()
        };
        self.ids().filter(lags).collect()
    }

    /// Watches begun so far.
    pub fn watches(&self) -> usize {
        self.watches
    }

    pub fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now += ms(STEP);
            for id in self.ids() {
                if self.balancers[usize::from(id)].paused {
                    continue;
                }
                self.refresh(id);
                self.answer_watch(id);
                self.answer_fetch(id);
                self.step(id, Event::Tick);
            }
        }
    }

    fn ids(&self) -> std::ops::Range<u16> {
        0..self.balancers.len() as u16
    }

    fn linked(&self, a: u16, b: u16) -> bool {
        !self.cuts.contains(&(a.min(b), a.max(b)))
            && !self.balancers[usize::from(a)].paused
            && !self.balancers[usize::from(b)].paused
    }

    /// Heartbeats, and once in a while the view that follows from them.
    fn refresh(&mut self, id: u16) {
        let at = self.now.as_millis() as u64 + u64::from(id) * STEP;
        if !at.is_multiple_of(HEARTBEAT) {
            return;
        }
        let linked = |other: &u16| *other != id && self.linked(id, *other);
        let seen: Vec<u16> = self.ids().filter(linked).collect();
        for other in self.ids().filter(|other| !seen.contains(other)) {
            self.balancers[usize::from(id)].told[usize::from(other)] = None;
        }
        let view = seen.iter().map(|other| self.peer(*other)).collect();
        self.step(id, Event::View(view));
        for other in seen {
            let version = self.balancers[usize::from(other)].core.version();
            self.balancers[usize::from(id)].told[usize::from(other)] = version;
            self.step(
                id,
                Event::Heartbeat {
                    peer: other,
                    version,
                },
            );
        }
    }

    fn answer_watch(&mut self, id: u16) {
        let Some((above, since)) = self.balancers[usize::from(id)].watch else {
            return;
        };
        let waited = self.now - since;
        let stored = self.accepted.len() as u64;
        let revision = if self.stale {
            stored.saturating_sub(1)
        } else {
            stored
        };
        let event = match self.reach[usize::from(id)] {
            false if waited >= ms(STORE_DEADLINE) => Event::WatchEnded(None),
            true if revision > above || waited >= ms(WATCH) => {
                let document = revision
                    .checked_sub(1)
                    .map(|at| self.accepted[at as usize].clone());
                Event::WatchEnded(Some(StoreEntry { revision, document }))
            }
            _ => return,
        };
        self.balancers[usize::from(id)].watch = None;
        self.step(id, event);
    }

    /// A peer out of reach never answers.
    fn answer_fetch(&mut self, id: u16) {
        let Some(peer) = self.balancers[usize::from(id)].fetch else {
            return;
        };
        if !self.linked(id, peer) {
            return;
        }
        let held = self.balancers[usize::from(peer)].core.active();
        let document = held.map(|held| Arc::clone(&held.document));
        self.balancers[usize::from(id)].fetch = None;
        self.step(id, Event::Fetched { peer, document });
    }

    fn step(&mut self, id: u16, event: Event) {
        let now = self.now;
        let balancer = &mut self.balancers[usize::from(id)];
        for action in balancer.core.step(now, event) {
            match action {
                Action::Watch { above } => {
                    balancer.watch = Some((above, now));
                    self.watches += 1;
                }
                Action::Fetch { peer } => balancer.fetch = Some(peer),
                Action::Enforce(held) => {
                    let version = Some(Version::of(&held.document));
                    assert!(version > balancer.highest, "balancer {id} went back");
                    balancer.highest = version;
                }
                Action::Ready => {
                    let told = balancer.told.iter().max().copied().flatten();
                    assert!(
                        balancer.highest >= told,
                        "balancer {id} serves by an old version"
                    );
                }
                Action::Reject(version) => panic!("every document is sound: {version:?}"),
            }
        }
        assert_eq!(balancer.core.version(), balancer.highest);
    }
}
