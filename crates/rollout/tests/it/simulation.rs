//! A simulation of several balancers with the store, heartbeats and fetches, in steps of 100 ms. It
//! checks at every step that no balancer reverts, and that none becomes ready with an older version
//! than its peers announced.

use std::{collections::BTreeSet, sync::Arc, time::Duration};

use acacia_config::document::Document;
use acacia_rollout::{Action, Entry, Event, Options, Peer, Rollout, Version};

use crate::fixture::{document, ms, peer};

/// Milliseconds between steps.
const STEP: u64 = 100;
/// Milliseconds between a balancer's heartbeats.
const HEARTBEAT: u64 = 500;
/// Milliseconds after which a watch fails if the store can't be reached.
const STORE_TIMEOUT: u64 = 1000;
/// Milliseconds after which a watch without a change ends.
const WATCH_TIMEOUT: u64 = 2000;

struct Balancer {
    core: Rollout,
    paused: bool,
    /// The revision that the watch waits to be exceeded, and the time at which it started.
    watch: Option<(u64, Duration)>,
    fetch: Option<u16>,
    /// The version in the last heartbeat of each peer that is live in this balancer's view.
    announced: Vec<Option<Version>>,
    /// The highest version that has been in force.
    highest: Option<Version>,
}

pub struct Simulation {
    now: Duration,
    data_centres: u16,
    balancers: Vec<Balancer>,
    accepted: Vec<Arc<Document>>,
    reachable: Vec<bool>,
    pub stale: bool,
    cuts: BTreeSet<(u16, u16)>,
    watches: usize,
}

impl Simulation {
    /// Balancers spread evenly over data centres, without faults.
    pub fn new(balancers: u16, data_centres: u16) -> Self {
        let mut simulation = Simulation {
            now: Duration::ZERO,
            data_centres,
            balancers: Vec::new(),
            accepted: Vec::new(),
            reachable: vec![true; balancers.into()],
            stale: false,
            cuts: BTreeSet::new(),
            watches: 0,
        };
        simulation.balancers = (0..balancers)
            .map(|id| simulation.starting_balancer(id, balancers))
            .collect();
        simulation
    }

    fn peer(&self, id: u16) -> Peer {
        peer(id, &format!("dc-{}", id % self.data_centres))
    }

    fn starting_balancer(&self, id: u16, balancers: u16) -> Balancer {
        let me = self.peer(id);
        let seed = id.into();
        Balancer {
            core: Rollout::new(Options { me, seed }, self.now),
            paused: false,
            watch: None,
            fetch: None,
            announced: vec![None; balancers.into()],
            highest: None,
        }
    }

    /// An operator's change is accepted by the store.
    pub fn accept(&mut self) {
        let revision = self.accepted.len() as u64 + 1;
        self.accepted.push(document(revision));
    }

    pub fn set_reachable(&mut self, change: impl FnOnce(&mut [bool])) {
        change(&mut self.reachable);
    }

    pub fn replace(&mut self, id: u16) {
        let balancers = self.balancers.len() as u16;
        self.balancers[usize::from(id)] = self.starting_balancer(id, balancers);
    }

    pub fn pause(&mut self, id: u16, paused: bool) {
        self.balancers[usize::from(id)].paused = paused;
    }

    pub fn cut(&mut self, a: u16, b: u16) {
        self.cuts.insert((a.min(b), a.max(b)));
    }

    /// Delivers the first version again, as a heartbeat and as a fetched document.
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

    /// Ends all faults.
    pub fn heal(&mut self) {
        self.reachable.fill(true);
        self.stale = false;
        self.cuts.clear();
        for balancer in &mut self.balancers {
            balancer.paused = false;
        }
    }

    /// The balancers that don't have the newest change in force or are not ready.
    pub fn lagging(&self) -> Vec<u16> {
        let newest = self.accepted.last().map(|document| Version::of(document));
        let lags = |id: &u16| {
            let core = &self.balancers[usize::from(*id)].core;
            core.version() != newest || !core.is_ready()
        };
        self.ids().filter(lags).collect()
    }

    /// The number of watches started so far.
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

    /// Delivers heartbeats to a balancer, and the view of live peers that follows from them.
    fn refresh(&mut self, id: u16) {
        let at = self.now.as_millis() as u64 + u64::from(id) * STEP;
        if !at.is_multiple_of(HEARTBEAT) {
            return;
        }
        let linked = |other: &u16| *other != id && self.linked(id, *other);
        let seen: Vec<u16> = self.ids().filter(linked).collect();
        for other in self.ids().filter(|other| !seen.contains(other)) {
            self.balancers[usize::from(id)].announced[usize::from(other)] = None;
        }
        let view = seen.iter().map(|other| self.peer(*other)).collect();
        self.step(id, Event::View(view));
        for other in seen {
            let version = self.balancers[usize::from(other)].core.version();
            self.balancers[usize::from(id)].announced[usize::from(other)] = version;
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
        let event = match self.reachable[usize::from(id)] {
            false if waited >= ms(STORE_TIMEOUT) => Event::WatchEnded(None),
            true if revision > above || waited >= ms(WATCH_TIMEOUT) => {
                let document = revision
                    .checked_sub(1)
                    .map(|at| self.accepted[at as usize].clone());
                Event::WatchEnded(Some(Entry { revision, document }))
            }
            _ => return,
        };
        self.balancers[usize::from(id)].watch = None;
        self.step(id, event);
    }

    /// Delivers a peer's answer, unless the peer can't be reached.
    fn answer_fetch(&mut self, id: u16) {
        let Some(peer) = self.balancers[usize::from(id)].fetch else {
            return;
        };
        if !self.linked(id, peer) {
            return;
        }
        let active = self.balancers[usize::from(peer)].core.active();
        let document = active.map(|active| Arc::clone(&active.document));
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
                Action::Enforce(active) => {
                    let version = Some(Version::of(&active.document));
                    assert!(version > balancer.highest, "balancer {id} reverted");
                    balancer.highest = version;
                }
                Action::Ready => {
                    let announced = balancer.announced.iter().max().copied().flatten();
                    assert!(
                        balancer.highest >= announced,
                        "balancer {id} is ready with an old version"
                    );
                }
                Action::Reject(version) => panic!("a valid document was rejected: {version:?}"),
            }
        }
        assert_eq!(balancer.core.version(), balancer.highest);
    }
}
