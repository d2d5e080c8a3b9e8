use std::{collections::VecDeque, sync::Arc};

use serde::{Deserialize, Serialize};

use crate::{
    entries::Entries,
    route::{Config, Patch},
    server::Server,
};

/// Steps from one configuration to the next that are kept for peers. Within the seconds that a peer
/// may be behind, a storm of changes makes a few dozen.
const STEPS: usize = 64;

/// Something at a revision of the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Item<T> {
    /// The store's revision of its last change.
    pub revision: u64,
    /// What it is since.
    pub value: T,
}

/// News of one thing.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Change {
    /// The operators' configuration.
    Config {
        /// The store's revision that made it.
        revision: u64,
        /// The whole configuration.
        config: Arc<Config>,
    },
    /// A step from the configuration before.
    Patch {
        /// The store's revision that made it.
        revision: u64,
        /// The step.
        patch: Arc<Patch>,
    },
    /// A backend server's entry.
    Server {
        /// The server's name.
        id: Arc<str>,
        /// The store's revision that made the change.
        revision: u64,
        /// What it says; nothing if the entry was removed or names no server.
        server: Option<Arc<Server>>,
    },
    /// The operators' mark that a data centre's servers are to get no new flows.
    Evacuation {
        /// The data centre.
        data_centre: Arc<str>,
        /// The store's revision that made the change.
        revision: u64,
        /// Whether the mark stands; false once it was removed.
        stands: bool,
    },
}

impl Change {
    /// The store's revision that made the change.
    ///
    /// ```
    /// use acacia_catalog::Change;
    /// let change = Change::Server { id: "a".into(), revision: 7, server: None };
    /// assert_eq!(change.revision(), 7);
    /// ```
    #[must_use]
    pub const fn revision(&self) -> u64 {
        match self {
            Change::Config { revision, .. }
            | Change::Patch { revision, .. }
            | Change::Server { revision, .. }
            | Change::Evacuation { revision, .. } => *revision,
        }
    }
}

/// The routes, servers and evacuations as one balancer knows them.
///
/// Answers of the store and messages of peers overtake each other, repeat, and come from replicas
/// that lag. Each item keeps its revision, and an older one changes nothing, so that no configuration
/// reverts and no draining server gets new flows again.
#[derive(Debug, Clone, Default)]
pub struct Catalog {
    revision: u64,
    config: Option<Item<Arc<Config>>>,
    /// The last steps between configurations, each from the one before to the next.
    steps: VecDeque<Item<Arc<Patch>>>,
    servers: Entries<Arc<Server>>,
    evacuations: Entries<()>,
    /// The revision up to which removals are forgotten.
    forgotten: u64,
}

impl Catalog {
    /// The store's revision up to which everything is known; 0 before the first whole reading.
    #[must_use]
    pub const fn revision(&self) -> u64 {
        self.revision
    }

    /// The operators' configuration, if one is known.
    #[must_use]
    pub const fn config(&self) -> Option<&Item<Arc<Config>>> {
        self.config.as_ref()
    }

    /// Each backend server by name; an entry without a value was removed.
    pub fn servers(&self) -> impl Iterator<Item = (&Arc<str>, &Item<Option<Arc<Server>>>)> {
        self.servers.iter()
    }

    /// The data centres under evacuation, each with the revision of its mark.
    pub fn evacuations(&self) -> impl Iterator<Item = (&Arc<str>, u64)> {
        let marks = self.evacuations.iter();
        let standing = marks.filter(|(_, item)| item.value.is_some());
        standing.map(|(centre, item)| (centre, item.revision))
    }

    /// Takes a change in; false if nothing changes by it, because something as new is known.
    ///
    /// ```
    /// use acacia_catalog::{Catalog, Change};
    /// let mut catalog = Catalog::default();
    /// let change = |revision| Change::Server { id: "a".into(), revision, server: None };
    /// assert!(catalog.apply(change(7)));
    /// assert!(!catalog.apply(change(6)), "older");
    /// ```
    pub fn apply(&mut self, change: Change) -> bool {
        match change {
            Change::Config { revision, config } => self.configure(revision, config),
            Change::Patch { revision, patch } => {
                let old = self
                    .config
                    .as_ref()
                    .filter(|item| item.revision == patch.base);
                let Some(config) = old.map(|item| patch.apply(&item.value)) else {
                    return false;
                };
                self.configure(revision, Arc::new(config))
            }
            Change::Server {
                id,
                revision,
                server,
            } => {
                let known = self.servers.contains(&id);
                self.may_be_news(known, revision) && self.servers.set(id, revision, server)
            }
            Change::Evacuation {
                data_centre,
                revision,
                stands,
            } => {
                let known = self.evacuations.contains(&data_centre);
                self.may_be_news(known, revision)
                    && self
                        .evacuations
                        .set(data_centre, revision, stands.then_some(()))
            }
        }
    }

    /// Whether an entry may be taken in. Everything up to the forgotten revision was known: an entry that
    /// is unknown now was removed by then, and a peer that was cut off tells of it late.
    fn may_be_news(&self, known: bool, revision: u64) -> bool {
        known || revision > self.forgotten
    }

    /// Whether a change can be taken in: a step needs the configuration that it starts from.
    #[must_use]
    pub fn can_apply(&self, change: &Change) -> bool {
        let own = self.config.as_ref().map_or(0, |item| item.revision);
        match change {
            Change::Patch { revision, patch } => own == patch.base || own >= *revision,
            Change::Config { .. } | Change::Server { .. } | Change::Evacuation { .. } => true,
        }
    }

    fn configure(&mut self, revision: u64, config: Arc<Config>) -> bool {
        if let Some(old) = &self.config {
            if old.revision >= revision {
                return false;
            }
            let step = Patch::between(&old.value, old.revision, &config);
            self.steps.push_back(Item {
                revision,
                value: Arc::new(step),
            });
            if self.steps.len() > STEPS {
                self.steps.pop_front();
            }
        }
        self.config = Some(Item {
            revision,
            value: config,
        });
        true
    }

    /// What brings the configuration of a peer that knows everything up to `revision` up to date:
    /// the steps since, or the whole.
    fn configuration_since(&self, revision: u64) -> Vec<Change> {
        let Some(config) = self.config.as_ref().filter(|item| item.revision > revision) else {
            return Vec::new();
        };
        let mut steps = self
            .steps
            .iter()
            .filter(|step| step.revision > revision)
            .peekable();
        // The peer has the configuration that the first step starts from, and no later one.
        if steps
            .peek()
            .is_some_and(|first| first.value.base <= revision)
        {
            let step = |step: &Item<Arc<Patch>>| Change::Patch {
                revision: step.revision,
                patch: Arc::clone(&step.value),
            };
            return steps.map(step).collect();
        }
        vec![Change::Config {
            revision: config.revision,
            config: Arc::clone(&config.value),
        }]
    }

    /// Takes note that all changes up to `revision` have been taken in.
    pub fn complete(&mut self, revision: u64) {
        self.revision = self.revision.max(revision);
    }

    /// Takes in a whole reading as of `revision`: servers and evacuations that it doesn't hold are
    /// removed, unless they are known from a later revision. Gives whether anything changed.
    ///
    /// Without it, a server that left while the history was unavailable would get flows for good.
    ///
    /// ```
    /// use acacia_catalog::{Catalog, Change};
    /// let mut catalog = Catalog::default();
    /// catalog.apply(Change::Server { id: "old".into(), revision: 3, server: None });
    /// catalog.replace(Vec::new(), 9);
    /// assert_eq!(catalog.revision(), 9);
    /// ```
    pub fn replace(&mut self, reading: Vec<Change>, revision: u64) -> bool {
        if revision < self.revision {
            return false;
        }
        let mut servers = Vec::with_capacity(reading.len());
        let mut evacuations = Vec::new();
        let mut changed = false;
        for change in reading {
            changed |= match change {
                Change::Server {
                    id,
                    revision,
                    server,
                } => {
                    servers.push(Arc::clone(&id));
                    self.servers.set(id, revision, server)
                }
                Change::Evacuation {
                    data_centre,
                    revision,
                    stands,
                } => {
                    evacuations.push(Arc::clone(&data_centre));
                    self.evacuations
                        .set(data_centre, revision, stands.then_some(()))
                }
                other => self.apply(other),
            };
        }
        changed |= self.servers.remove_all_but(servers, revision);
        changed |= self.evacuations.remove_all_but(evacuations, revision);
        self.complete(revision);
        changed
    }

    /// All changes after `revision`, the oldest first.
    #[must_use]
    pub fn since(&self, revision: u64) -> Vec<Change> {
        let servers = self.servers.iter().map(|(id, item)| Change::Server {
            id: Arc::clone(id),
            revision: item.revision,
            server: item.value.clone(),
        });
        let evacuations = self.evacuations.iter();
        let evacuations = evacuations.map(|(data_centre, item)| Change::Evacuation {
            data_centre: Arc::clone(data_centre),
            revision: item.revision,
            stands: item.value.is_some(),
        });
        let mut changes = self.configuration_since(revision);
        let entries = servers.chain(evacuations);
        changes.extend(entries.filter(|change| change.revision() > revision));
        changes.sort_by_key(Change::revision);
        changes
    }

    /// Forgets removals at or before `revision`: by then no flow of such a server is open, and peers know
    /// of it but for those that were cut off; these need the whole, see [`Catalog::forgotten`].
    ///
    /// Otherwise memory and whole differences would grow with every server that ever lived.
    pub fn forget(&mut self, revision: u64) {
        self.servers.forget(revision);
        self.evacuations.forget(revision);
        self.forgotten = self.forgotten.max(revision);
    }

    /// The revision up to which removals are forgotten. Whoever knows less needs the whole in place
    /// of what changed.
    ///
    /// ```
    /// let mut catalog = acacia_catalog::Catalog::default();
    /// catalog.forget(7);
    /// assert_eq!(catalog.forgotten(), 7);
    /// ```
    #[must_use]
    pub const fn forgotten(&self) -> u64 {
        self.forgotten
    }
}
