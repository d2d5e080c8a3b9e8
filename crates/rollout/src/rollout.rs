use std::{collections::BTreeSet, sync::Arc, time::Duration};

use acacia_config::{Config, document::Document};
use rand::SeedableRng as _;
use rand_pcg::Pcg64;

use crate::{
    Action, Event, Peer, Version, WATCHERS, fetch::Fetch, join::Join, peers::Peers, watch::Watch,
};

/// The settings of a balancer's rollout.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Options {
    /// The balancer's own id and data centre.
    pub me: Peer,
    /// Seed for the random backoff and the random choice of peers.
    pub seed: u64,
}

/// A document that is in force, with its decoded configuration.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ActiveConfig {
    /// The document, as passed on to peers.
    pub document: Arc<Document>,
    /// The configuration decoded from the document.
    pub config: Arc<Config>,
}

/// The state machine that updates the configuration of one balancer.
#[derive(Debug)]
pub struct Rollout {
    me: Peer,
    active: Option<ActiveConfig>,
    /// Newer versions whose documents could not be decoded.
    rejected: BTreeSet<Version>,
    peers: Peers,
    watch: Watch,
    fetch: Fetch,
    join: Join,
    random: Pcg64,
}

impl Rollout {
    /// Creates the rollout of a balancer that starts at `now`, the time since any fixed point by a
    /// clock that continues while the process is stopped.
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

    /// Returns the configuration in force, for serving and for answering peers that fetch it.
    #[must_use]
    pub fn active(&self) -> Option<&ActiveConfig> {
        self.active.as_ref()
    }

    /// Returns the version in force, to announce in heartbeats.
    #[must_use]
    pub fn version(&self) -> Option<Version> {
        self.active
            .as_ref()
            .map(|active| Version::of(&active.document))
    }

    /// Whether this balancer may serve. Once true, it stays true.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.join.is_ready()
    }

    /// Handles an event and returns the actions to carry out.
    pub fn step(&mut self, now: Duration, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        match event {
            Event::View(peers) => self.peers.set_live(peers),
            Event::Heartbeat { peer, version } => self.peers.heard(peer, version),
            Event::WatchEnded(Some(answer)) => {
                self.join.asked_store();
                self.watch.answered(answer.revision, now);
                if let Some(document) = answer.document {
                    self.accept_if_newer(document, &mut actions);
                }
            }
            Event::WatchEnded(None) => {
                self.join.asked_store();
                self.watch.failed(now, &mut self.random);
            }
            Event::Fetched { peer, document } => {
                let is_newer = self.fetched(peer, document, &mut actions);
                self.fetch.ended(peer, is_newer, now);
            }
            Event::Tick => {}
        }
        self.advance(now, &mut actions);
        actions
    }

    /// Handles a peer's answer and returns whether it brought a newer version into force. The
    /// version of the answer replaces the one that the peer announced: a peer that announces a
    /// newer version than it returns would otherwise be asked over and over.
    fn fetched(
        &mut self,
        peer: u16,
        document: Option<Arc<Document>>,
        actions: &mut Vec<Action>,
    ) -> bool {
        let before = self.version();
        if let Some(document) = document {
            self.peers.heard(peer, Some(Version::of(&document)));
            self.accept_if_newer(document, actions);
        }
        self.version() > before
    }

    /// Accepts a document if it is newer than the one in force. This is the only place where a
    /// document comes into force, so an outdated answer of the store, a replayed message, a lagging
    /// peer or a paused writer never has an effect.
    fn accept_if_newer(&mut self, document: Arc<Document>, actions: &mut Vec<Action>) {
        let version = Version::of(&document);
        if self.version().is_some_and(|current| version <= current)
            || self.rejected.contains(&version)
        {
            return;
        }
        match document.config() {
            Ok(config) => {
                let config = Arc::new(config);
                let active = ActiveConfig { document, config };
                self.active = Some(active.clone());
                self.rejected = self.rejected.split_off(&version);
                actions.push(Action::Enforce(active));
            }
            // Written by a later release, or corrupted. The configuration in force stays.
            Err(_) => {
                self.rejected.insert(version);
                actions.push(Action::Reject(version));
            }
        }
    }

    /// Starts a fetch and a watch where they are due, and checks whether the balancer may serve.
    fn advance(&mut self, now: Duration, actions: &mut Vec<Action>) {
        let newest = self.peers.highest(&self.rejected);
        let behind = newest.filter(|newest| Some(*newest) > self.version());
        if let Some(version) = behind {
            let holders = self.peers.holders(version, &self.me.data_centre);
            let peer = self.fetch.start(&holders, now, &mut self.random);
            actions.extend(peer.map(|peer| Action::Fetch { peer }));
        }
        if self.is_watcher() {
            let above = self.watch.start(now);
            actions.extend(above.map(|above| Action::Watch { above }));
        }
        let has_highest = self.active.is_some() && behind.is_none();
        if self.join.becomes_ready(now, has_highest) {
            actions.push(Action::Ready);
        }
    }

    /// Whether this balancer watches the store, which the balancers with the lowest ids of each
    /// data centre do. While their views of the peers differ for a moment, there may be one watcher
    /// more or less, which costs a call or some hundred milliseconds. A balancer that has just
    /// started asks the store once, whatever its rank.
    fn is_watcher(&self) -> bool {
        let rank = self.peers.rank(self.me.id, &self.me.data_centre);
        rank < WATCHERS || self.join.needs_store()
    }
}
