use std::{collections::BTreeSet, sync::Arc, time::Duration};

use acacia_config::{Config, document::Document};
use rand::SeedableRng as _;
use rand_pcg::Pcg64;

use crate::{
    Action, Event, Peer, Version, WATCHERS, fetch::Fetch, join::Join, peers::Peers, watch::Watch,
};

/// What a balancer needs to know of itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Options {
    /// This balancer.
    pub me: Peer,
    /// Seeds the spread of pauses and the choice of peers.
    pub seed: u64,
}

/// A document and what it says.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ActiveConfig {
    /// The document, as it is passed on to peers.
    pub document: Arc<Document>,
    /// The configuration in it.
    pub config: Arc<Config>,
}

/// The decisions of one balancer about its configuration.
#[derive(Debug)]
pub struct Rollout {
    me: Peer,
    active: Option<ActiveConfig>,
    /// Newer versions that could not be understood.
    rejected: BTreeSet<Version>,
    peers: Peers,
    watch: Watch,
    fetch: Fetch,
    join: Join,
    random: Pcg64,
}

impl Rollout {
    /// A balancer that starts at `now`, counted from any fixed point by a clock that goes on
    /// while the process is stopped.
    ///
    /// ```
    /// use std::time::Duration;
    /// use acacia_rollout::{Action, Event, Options, Peer, Rollout};
    /// let me = Peer { id: 1, data_centre: "hervanta".into() };
    /// let mut rollout = Rollout::new(Options { me, seed: 1 }, Duration::ZERO);
    /// let actions = rollout.step(Duration::ZERO, Event::Tick);
    /// assert_eq!(actions, [Action::Watch { above: 0 }]);
    /// assert!(!rollout.is_ready());
    /// ```
    #[must_use]
    pub fn new(options: Options, now: Duration) -> Self {
        Rollout {
            me: options.me,
            active: None,
            rejected: BTreeSet::new(),
            peers: Peers::default(),
            watch: Watch::new(now),
            fetch: Fetch::default(),
            join: Join::new(now),
            random: Pcg64::seed_from_u64(options.seed),
        }
    }

    /// What is in force here, for serving and for passing on to peers that fetch it.
    #[must_use]
    pub fn active(&self) -> Option<&ActiveConfig> {
        self.active.as_ref()
    }

    /// The version in force here, for the heartbeats.
    #[must_use]
    pub fn version(&self) -> Option<Version> {
        self.active.as_ref().map(|held| Version::of(&held.document))
    }

    /// Whether this balancer may serve. Once true it stays true.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.join.is_ready()
    }

    /// Takes an event and says what to do.
    pub fn step(&mut self, now: Duration, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        match event {
            Event::View(peers) => self.peers.view(peers),
            Event::Heartbeat { peer, version } => self.peers.heard(peer, version),
            Event::WatchEnded(Some(answer)) => {
                self.join.asked_store();
                self.watch.answered(answer.revision, now);
                if let Some(document) = answer.document {
                    self.offer(document, &mut actions);
                }
            }
            Event::WatchEnded(None) => {
                self.join.asked_store();
                self.watch.failed(now, &mut self.random);
            }
            Event::Fetched { peer, document } => {
                let useful = self.fetched(peer, document, &mut actions);
                self.fetch.ended(peer, useful, now);
            }
            Event::Tick => {}
        }
        self.seek(now, &mut actions);
        actions
    }

    /// A peer's answer; true if it was of use. What the peer has now replaces what it said
    /// before: otherwise one that claims more than it gives would be asked over and over.
    fn fetched(
        &mut self,
        peer: u16,
        document: Option<Arc<Document>>,
        actions: &mut Vec<Action>,
    ) -> bool {
        let before = self.version();
        if let Some(document) = document {
            self.peers.heard(peer, Some(Version::of(&document)));
            self.offer(document, actions);
        }
        self.version() > before
    }

    /// Takes a document if it is newer than what is in force. This is the only place where
    /// anything comes into force, whoever brought it: a store that answers an older value, a
    /// replay, a peer that lags and a writer that was paused all end here without effect.
    fn offer(&mut self, document: Arc<Document>, actions: &mut Vec<Action>) {
        let version = Version::of(&document);
        if self.version().is_some_and(|held| version <= held) || self.rejected.contains(&version) {
            return;
        }
        match document.config() {
            Ok(config) => {
                let config = Arc::new(config);
                let held = ActiveConfig { document, config };
                self.active = Some(held.clone());
                self.rejected = self.rejected.split_off(&version);
                actions.push(Action::Enforce(held));
            }
            // Written by a later release, or damaged. Serving goes on by what is in force.
            Err(_) => {
                self.rejected.insert(version);
                actions.push(Action::Reject(version));
            }
        }
    }

    /// Looks where something newer may be had, and whether serving may begin.
    fn seek(&mut self, now: Duration, actions: &mut Vec<Action>) {
        let newest = self.peers.highest(&self.rejected);
        let behind = newest.filter(|newest| Some(*newest) > self.version());
        if let Some(version) = behind {
            let holders = self.peers.holders(version, &self.me.data_centre);
            let peer = self.fetch.begin(&holders, now, &mut self.random);
            actions.extend(peer.map(|peer| Action::Fetch { peer }));
        }
        if self.is_watcher() {
            let above = self.watch.begin(now);
            actions.extend(above.map(|above| Action::Watch { above }));
        }
        let highest = self.active.is_some() && behind.is_none();
        if self.join.becomes_ready(now, highest) {
            actions.push(Action::Ready);
        }
    }

    /// The lowest numbers of a data centre watch. Views that differ for a moment make one watcher
    /// more or less, which costs a call or some hundred milliseconds. A balancer that has just
    /// started asks the store once, whatever its rank.
    fn is_watcher(&self) -> bool {
        let rank = self.peers.rank(self.me.id, &self.me.data_centre);
        rank < WATCHERS || self.join.needs_store()
    }
}
