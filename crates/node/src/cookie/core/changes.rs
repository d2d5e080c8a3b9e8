//! Propagation of the store's changes: applies those received from peers, and forwards new ones.

use std::time::Duration;

use acacia_catalog::{
    Change,
    spread::{children, relays},
};

use super::{Core, Outcome, Source, describe};
use crate::cookie::message::{Difference, Known, MAX_CHANGES_BYTES, Outgoing};

/// Maximum number of changed servers in one message or answer that are logged one by one. When a fleet
/// starts, thousands of servers report within seconds.
const MAX_LOGGED_SERVERS: usize = 16;

/// The result of applying changes.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Applied {
    /// Whether the catalog changed.
    pub(super) changed: bool,
    /// The revision of a patch whose base is not known here, if any.
    pub(super) missed: Option<u64>,
}

impl Core {
    /// Applies the changes that were fetched from a peer.
    pub fn apply_fetched(
        &mut self,
        difference: Difference,
        source: &Source,
        now: Duration,
    ) -> Outcome {
        self.missed_change = false;
        let Difference {
            known,
            changes,
            whole,
        } = difference;
        if !whole {
            return self.apply_peer_changes(known, changes, source, now);
        }
        let base = self.catalog.revision();
        let changed = self.catalog.replace(changes, known.revision);
        let revision = known.revision;
        log::info!("event=whole-fetched revision={revision} base={base} changed={changed}");
        let fresher = known.at(now).is_some_and(|at| self.confirm_freshness(at));
        if !changed && !fresher {
            return Outcome::default();
        }
        self.propagate(changed, base, source, now)
    }

    /// Applies all changes up to the revision that a peer knows, and forwards them if they are new
    /// here.
    pub(super) fn apply_peer_changes(
        &mut self,
        known: Known,
        changes: Vec<Change>,
        source: &Source,
        now: Duration,
    ) -> Outcome {
        let base = self.catalog.revision();
        let Applied { changed, missed } = self.apply_all(changes);
        if let Some(revision) = missed {
            log::info!("event=step-missed revision={revision}");
            self.missed_change = true;
            return Outcome {
                changed,
                ..Outcome::default()
            };
        }
        self.catalog.complete(known.revision);
        let fresher = known.at(now).is_some_and(|at| self.confirm_freshness(at));
        if !changed && !fresher {
            return Outcome::default();
        }
        self.propagate(changed, base, source, now)
    }

    /// Records that all changes up to `at` are known. Returns true if that is so much fresher than
    /// before that it is worth forwarding: peers' times differ by milliseconds, and each would
    /// otherwise be sent to the whole data centre.
    fn confirm_freshness(&mut self, at: Duration) -> bool {
        let before = self.schedule.fresh_until();
        self.schedule.confirmed(at);
        before.is_none_or(|before| at > before + self.schedule.timing().watch_timeout / 2)
    }

    /// Applies changes to the catalog, up to a patch that doesn't fit, and logs them: each in a line of its
    /// own, or many of servers in one line for all.
    pub(super) fn apply_all(&mut self, changes: Vec<Change>) -> Applied {
        let mut applied = Applied::default();
        let mut servers = describe::Servers::default();
        let is_server = |change: &Change| matches!(change, Change::Server { .. });
        let count = changes.iter().filter(|change| is_server(change)).count();
        for change in changes {
            if !self.catalog.can_apply(&change) {
                applied.missed = Some(change.revision());
                break;
            }
            if is_server(&change) && count > MAX_LOGGED_SERVERS {
                let counted = servers.with(&change);
                if self.catalog.apply(change) {
                    applied.changed = true;
                    servers = counted;
                }
                continue;
            }
            let line = describe::change(&change, self.catalog.config());
            if self.catalog.apply(change) {
                applied.changed = true;
                log::info!("{line}");
            }
        }
        if !servers.is_empty() {
            log::info!("{servers}");
        }
        applied
    }

    /// Forwards the changes after `base` to this balancer's children in the tree of the change and, if
    /// they come from the store, to the relays of the other data centres. Those that don't fit into a
    /// datagram are only announced, and the receivers fetch them.
    pub(super) fn propagate(
        &mut self,
        changed: bool,
        base: u64,
        source: &Source,
        now: Duration,
    ) -> Outcome {
        let tree = match source {
            Source::Store => Some(self.new_tree(self.catalog.revision())),
            Source::Peer { tree } => *tree,
        };
        let Some(tree) = tree else {
            return Outcome {
                changed,
                ..Outcome::default()
            };
        };
        let mut to = children(self.own(), self.peers(), tree);
        if *source == Source::Store {
            to.extend(relays(self.own(), self.peers()));
        }
        let mut message = self.empty_message(now);
        message.tree = Some(tree);
        let changes = self.catalog.since(base);
        let size = postcard::experimental::serialized_size(&changes);
        let complete = base >= self.catalog.forgotten();
        if complete && size.is_ok_and(|size| size <= MAX_CHANGES_BYTES) {
            (message.base, message.changes) = (base, changes);
        }
        Outcome {
            outgoing: vec![Outgoing { to, message }],
            changed,
            ..Outcome::default()
        }
    }

    /// All changes after a revision, for a peer that fetches them. If some removals since then have
    /// been discarded here, the full state.
    #[must_use]
    pub fn difference(&self, revision: u64, now: Duration) -> Difference {
        let whole = revision < self.catalog.forgotten();
        Difference {
            known: self.known(now),
            changes: self.catalog.since(if whole { 0 } else { revision }),
            whole,
        }
    }

    /// Discards records of removed servers that have been known for at least the maximum lifetime
    /// of a flow. Reachable peers have received them by then; others get the full state.
    pub(super) fn forget_removed(&mut self, now: Duration) {
        let (at, revision) = self.last_forget;
        if now >= at + self.keep_removals {
            self.catalog.forget(revision);
            self.last_forget = (now, self.catalog.revision());
        }
    }
}
