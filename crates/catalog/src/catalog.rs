use std::{collections::VecDeque, sync::Arc};

use serde::{Deserialize, Serialize};

use crate::{
    entries::Entries,
    route::{Config, Patch},
    server::Server,
};

/// Number of patches between configurations that are kept for peers. A peer may lag by seconds, in
/// which a burst of changes makes a few dozen patches.
const MAX_PATCHES: usize = 64;

/// A value of the store with the revision of its last change.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Item<T> {
    /// The store's revision of the last change.
    pub revision: u64,
    /// The value as of that change.
    pub value: T,
}

/// A change of one item, from the store or from a peer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Change {
    /// A new version of the operators' configuration.
    Config {
        /// The store's revision of the change.
        revision: u64,
        /// The whole configuration.
        config: Arc<Config>,
    },
    /// The difference from the previous configuration.
    Patch {
        /// The store's revision of the change.
        revision: u64,
        /// The difference.
        patch: Arc<Patch>,
    },
    /// A backend server's entry.
    Server {
        /// The server's name.
        id: Arc<str>,
        /// The store's revision of the change.
        revision: u64,
        /// The server's description; `None` if the entry was removed.
        server: Option<Arc<Server>>,
    },
    /// The operators' evacuation mark, under which a data centre's servers get no new flows.
    Evacuation {
        /// The data centre.
        data_centre: Arc<str>,
        /// The store's revision of the change.
        revision: u64,
        /// Whether the mark is set; false once it was removed.
        stands: bool,
    },
}

impl Change {
    /// The store's revision of the change.
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

/// How much of the store's state is known. The two revisions differ while the servers' entries are being
/// read anew, after the store has dropped its history; changes since the start of that read are known, but
/// not those that were dropped.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Position {
    /// The store's revision up to which all changes are known; 0 before the first full read.
    pub revision: u64,
    /// The store's revision up to which the operators' changes are known: those of the configuration and
    /// of evacuations. At least `revision`.
    pub operators: u64,
}

impl Position {
    /// Whether changes of servers are missing that were made before the last known change of the
    /// operators.
    ///
    /// ```
    /// use acacia_catalog::Position;
    /// assert!(Position { revision: 3, operators: 7 }.lacks_servers());
    /// ```
    #[must_use]
    pub const fn lacks_servers(&self) -> bool {
        self.operators > self.revision
    }

    /// Whether everything is known that is known at `other`.
    ///
    /// ```
    /// use acacia_catalog::Position;
    /// let (old, new) = (Position { revision: 3, operators: 3 }, Position { revision: 3, operators: 7 });
    /// assert!(new.covers(&old) && !old.covers(&new));
    /// ```
    #[must_use]
    pub const fn covers(&self, other: &Position) -> bool {
        self.revision >= other.revision && self.operators >= other.operators
    }
}

/// A moment in the order in which changes were applied to a [`Catalog`]; see [`Catalog::mark`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Mark {
    /// What was known at that moment.
    pub position: Position,
    config: u64,
    server_edit: u64,
    evacuation_edit: u64,
}

/// The routes, servers and evacuations as one balancer knows them.
///
/// Answers of the store and messages from peers may be reordered, repeated, or come from lagging
/// replicas. Each item keeps its revision and ignores older changes, so that the configuration doesn't
/// revert and a draining server doesn't get new flows again.
#[derive(Debug, Clone, Default)]
pub struct Catalog {
    position: Position,
    config: Option<Item<Arc<Config>>>,
    /// The latest patches, each from one configuration to the next.
    patches: VecDeque<Item<Arc<Patch>>>,
    servers: Entries<Arc<Server>>,
    evacuations: Entries<()>,
    /// The revision up to which tombstones were dropped.
    forgotten: u64,
}

impl Catalog {
    /// The store's revision up to which all changes are known; 0 before the first full read.
    #[must_use]
    pub const fn revision(&self) -> u64 {
        self.position.revision
    }

    /// How much of the store's state is known.
    #[must_use]
    pub const fn position(&self) -> Position {
        self.position
    }

    /// The operators' configuration, if one is known.
    #[must_use]
    pub const fn config(&self) -> Option<&Item<Arc<Config>>> {
        self.config.as_ref()
    }

    /// The backend servers by name, including tombstones: entries without a value were removed.
    pub fn servers(&self) -> impl Iterator<Item = (&Arc<str>, &Item<Option<Arc<Server>>>)> {
        self.servers.iter()
    }

    /// The number of the last change of a server's entry, in the order in which changes were applied
    /// here.
    #[must_use]
    pub const fn last_server_edit(&self) -> u64 {
        self.servers.last_edit()
    }

    /// The servers, including tombstones, whose entries changed here after the change numbered `edit`;
    /// see [`Catalog::last_server_edit`].
    pub fn servers_edited_since(
        &self,
        edit: u64,
    ) -> impl Iterator<Item = (&Arc<str>, &Item<Option<Arc<Server>>>)> {
        self.servers.edited_since(edit)
    }

    /// The data centres under evacuation, each with the revision of its mark.
    pub fn evacuations(&self) -> impl Iterator<Item = (&Arc<str>, u64)> {
        let marks = self.evacuations.iter();
        let standing = marks.filter(|(_, item)| item.value.is_some());
        standing.map(|(centre, item)| (centre, item.revision))
    }

    /// Applies a change. Returns false if it has no effect: the known revision is the same or newer, a
    /// patch doesn't start from the present configuration, or an unknown entry isn't newer than
    /// [`Catalog::forgotten`] and may have been removed.
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
            Change::Config { revision, config } => self.set_config(revision, config),
            Change::Patch { revision, patch } => {
                let old = self
                    .config
                    .as_ref()
                    .filter(|item| item.revision == patch.base);
                let Some(config) = old.map(|item| patch.apply(&item.value)) else {
                    return false;
                };
                self.set_config(revision, Arc::new(config))
            }
            Change::Server {
                id,
                revision,
                server,
            } => {
                let known = self.servers.contains(&id);
                self.is_acceptable(known, revision) && self.servers.set(id, revision, server)
            }
            Change::Evacuation {
                data_centre,
                revision,
                stands,
            } => {
                let known = self.evacuations.contains(&data_centre);
                self.is_acceptable(known, revision)
                    && self
                        .evacuations
                        .set(data_centre, revision, stands.then_some(()))
            }
        }
    }

    /// Whether a change of an entry may be applied. Up to the forgotten revision everything was known
    /// here, so an entry that is unknown now was removed by then, and the change comes from a peer
    /// that was partitioned.
    fn is_acceptable(&self, known: bool, revision: u64) -> bool {
        known || revision > self.forgotten
    }

    /// Whether a change can be applied: a patch needs the configuration that it starts from, unless its
    /// result is already known.
    #[must_use]
    pub fn can_apply(&self, change: &Change) -> bool {
        let own = self.config.as_ref().map_or(0, |item| item.revision);
        match change {
            Change::Patch { revision, patch } => own == patch.base || own >= *revision,
            Change::Config { .. } | Change::Server { .. } | Change::Evacuation { .. } => true,
        }
    }

    fn set_config(&mut self, revision: u64, config: Arc<Config>) -> bool {
        if let Some(old) = &self.config {
            if old.revision >= revision {
                return false;
            }
            let patch = Patch::between(&old.value, old.revision, &config);
            self.patches.push_back(Item {
                revision,
                value: Arc::new(patch),
            });
            if self.patches.len() > MAX_PATCHES {
                self.patches.pop_front();
            }
        }
        self.config = Some(Item {
            revision,
            value: config,
        });
        true
    }

    /// The changes that update the configuration of a peer that knows everything up to `revision`: the
    /// patches since then or, if they are no longer kept, the whole configuration.
    fn configuration_since(&self, revision: u64) -> Vec<Change> {
        let Some(config) = self.config.as_ref().filter(|item| item.revision > revision) else {
            return Vec::new();
        };
        let mut patches = self
            .patches
            .iter()
            .filter(|patch| patch.revision > revision)
            .peekable();
        // The peer has the configuration that the first patch starts from, and no later one.
        if patches
            .peek()
            .is_some_and(|first| first.value.base <= revision)
        {
            let patch = |patch: &Item<Arc<Patch>>| Change::Patch {
                revision: patch.revision,
                patch: Arc::clone(&patch.value),
            };
            return patches.map(patch).collect();
        }
        vec![Change::Config {
            revision: config.revision,
            config: Arc::clone(&config.value),
        }]
    }

    /// Records that all changes up to `revision` have been applied.
    pub fn complete(&mut self, revision: u64) {
        self.position.revision = self.position.revision.max(revision);
        self.complete_operators(revision);
    }

    /// Records that all changes of the operators up to `revision` have been applied.
    ///
    /// ```
    /// let mut catalog = acacia_catalog::Catalog::default();
    /// catalog.complete(3);
    /// catalog.complete_operators(7);
    /// assert!(catalog.position().lacks_servers());
    /// ```
    pub fn complete_operators(&mut self, revision: u64) {
        self.position.operators = self.position.operators.max(revision);
    }

    /// The present moment, for [`Catalog::since_mark`].
    #[must_use]
    pub fn mark(&self) -> Mark {
        Mark {
            position: self.position,
            config: self.config.as_ref().map_or(0, |item| item.revision),
            server_edit: self.servers.last_edit(),
            evacuation_edit: self.evacuations.last_edit(),
        }
    }

    /// The entries that changed here after `mark`, in order of their revisions. Unlike
    /// [`Catalog::since`], it doesn't return changes that were known here at that moment.
    ///
    /// ```
    /// use acacia_catalog::{Catalog, Change};
    /// let mut catalog = Catalog::default();
    /// let change = |revision| Change::Server { id: "a".into(), revision, server: None };
    /// catalog.apply(change(7));
    /// let mark = catalog.mark();
    /// assert!(catalog.since_mark(&mark).is_empty());
    /// catalog.apply(change(9));
    /// assert_eq!(catalog.since_mark(&mark), [change(9)]);
    /// ```
    #[must_use]
    pub fn since_mark(&self, mark: &Mark) -> Vec<Change> {
        let servers = self.servers.edited_since(mark.server_edit);
        let evacuations = self.evacuations.edited_since(mark.evacuation_edit);
        self.changes(mark.config, servers, evacuations)
    }

    /// Applies an entry that the store itself has listed. Unlike [`Catalog::apply`], it accepts entries
    /// that are not newer than [`Catalog::forgotten`].
    ///
    /// ```
    /// use acacia_catalog::{Catalog, Change};
    /// let mut catalog = Catalog::default();
    /// catalog.forget(9);
    /// let change = || Change::Server { id: "a".into(), revision: 7, server: None };
    /// assert!(!catalog.apply(change()));
    /// assert!(catalog.apply_listed(change()));
    /// ```
    pub fn apply_listed(&mut self, change: Change) -> bool {
        match change {
            Change::Server {
                id,
                revision,
                server,
            } => self.servers.set(id, revision, server),
            Change::Evacuation {
                data_centre,
                revision,
                stands,
            } => self
                .evacuations
                .set(data_centre, revision, stands.then_some(())),
            other => self.apply(other),
        }
    }

    /// Removes the servers that a read of all of them, as of `revision`, lacks. Returns whether any was
    /// removed.
    ///
    /// ```
    /// let mut catalog = acacia_catalog::Catalog::default();
    /// assert!(!catalog.retain_servers(vec!["a".into()], 9), "none was known");
    /// ```
    pub fn retain_servers(&mut self, listed: Vec<Arc<str>>, revision: u64) -> bool {
        self.servers.remove_unlisted(listed, revision)
    }

    /// Removes the evacuations that a read of all of them, as of `revision`, lacks. Returns whether any was
    /// removed.
    ///
    /// ```
    /// use acacia_catalog::{Catalog, Change};
    /// let mut catalog = Catalog::default();
    /// catalog.apply(Change::Evacuation { data_centre: "a".into(), revision: 7, stands: true });
    /// assert!(catalog.retain_evacuations(Vec::new(), 9));
    /// assert_eq!(catalog.evacuations().count(), 0);
    /// ```
    pub fn retain_evacuations(&mut self, listed: Vec<Arc<str>>, revision: u64) -> bool {
        self.evacuations.remove_unlisted(listed, revision)
    }

    /// Applies a full read of the store as of `revision`: servers and evacuations that it lacks are
    /// removed, unless they changed at a later revision. Returns whether anything changed.
    ///
    /// Without it, a server that was removed while the store's history was unavailable would get new
    /// flows forever.
    ///
    /// ```
    /// use acacia_catalog::{Catalog, Change};
    /// let mut catalog = Catalog::default();
    /// catalog.apply(Change::Server { id: "old".into(), revision: 3, server: None });
    /// catalog.replace(Vec::new(), 9);
    /// assert_eq!(catalog.revision(), 9);
    /// ```
    pub fn replace(&mut self, entries: Vec<Change>, revision: u64) -> bool {
        if revision < self.position.revision {
            return false;
        }
        let mut servers = Vec::with_capacity(entries.len());
        let mut evacuations = Vec::new();
        let mut changed = false;
        for change in entries {
            match &change {
                Change::Server { id, .. } => servers.push(Arc::clone(id)),
                Change::Evacuation { data_centre, .. } => evacuations.push(Arc::clone(data_centre)),
                Change::Config { .. } | Change::Patch { .. } => {}
            }
            changed |= self.apply_listed(change);
        }
        changed |= self.retain_servers(servers, revision);
        changed |= self.retain_evacuations(evacuations, revision);
        self.complete(revision);
        changed
    }

    /// All changes after `revision`, in order of their revisions.
    #[must_use]
    pub fn since(&self, revision: u64) -> Vec<Change> {
        let servers = self.servers.since(revision);
        let evacuations = self.evacuations.since(revision);
        self.changes(revision, servers, evacuations)
    }

    /// The changes of the configuration after the revision `config` and those of the given entries, in
    /// order of their revisions.
    fn changes<'a>(
        &self,
        config: u64,
        servers: impl Iterator<Item = (&'a Arc<str>, &'a Item<Option<Arc<Server>>>)>,
        evacuations: impl Iterator<Item = (&'a Arc<str>, &'a Item<Option<()>>)>,
    ) -> Vec<Change> {
        let servers = servers.map(|(id, item)| Change::Server {
            id: Arc::clone(id),
            revision: item.revision,
            server: item.value.clone(),
        });
        let evacuations = evacuations.map(|(data_centre, item)| Change::Evacuation {
            data_centre: Arc::clone(data_centre),
            revision: item.revision,
            stands: item.value.is_some(),
        });
        let mut changes = self.configuration_since(config);
        changes.extend(servers.chain(evacuations));
        changes.sort_by_key(Change::revision);
        changes
    }

    /// Drops the tombstones of removals at or before `revision`. The caller picks a revision that is old
    /// enough for the removed servers' flows to have ended and for all connected peers to know of the
    /// removals. A partitioned peer needs the full state instead; see [`Catalog::forgotten`].
    ///
    /// Otherwise memory and the changes sent to peers would grow with every server that ever existed.
    pub fn forget(&mut self, revision: u64) {
        self.servers.drop_tombstones(revision);
        self.evacuations.drop_tombstones(revision);
        self.forgotten = self.forgotten.max(revision);
    }

    /// The revision up to which tombstones were dropped. A peer whose revision is lower needs the full
    /// state instead of the changes since then.
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
