//! Propagation of the store's changes: applies those received from peers, and forwards new ones.

use std::time::Duration;

use acacia_catalog::{
    Catalog, Change, Mark, Position,
    spread::{children, relays},
};

use super::{Core, Outcome, Source, describe};
use crate::cookie::message::{Difference, Known, MAX_CHANGES_BYTES, Outgoing, encoded_size};

/// Maximum number of changed servers in one message or answer that are logged one by one. When a fleet
/// starts, thousands of servers report within seconds.
const MAX_LOGGED_SERVERS: usize = 16;

/// Maximum number of datagrams about one answer of the store: a page of it with every entry changed. More
/// are announced and fetched, so that they don't fill the sender's link.
const MAX_BATCHES: usize = 64;

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
            let base = self.catalog.position();
            return self.apply_peer_changes(known, base, changes, source, now);
        }
        let mark = self.catalog.mark();
        let (revision, base) = (known.position.revision, mark.position.revision);
        let changed = self.catalog.replace(changes, revision);
        log::info!("event=whole-fetched revision={revision} base={base} changed={changed}");
        self.apply_known(known, changed, &mark, source, now)
    }

    /// Applies a peer's changes from `base` to what it knows, and forwards them if they are new here.
    pub(super) fn apply_peer_changes(
        &mut self,
        known: Known,
        base: Position,
        changes: Vec<Change>,
        source: &Source,
        now: Duration,
    ) -> Outcome {
        let mark = self.catalog.mark();
        let Applied { changed, missed } = self.apply_all(changes, Catalog::apply);
        if let Some(revision) = missed {
            log::info!("event=step-missed revision={revision}");
            self.missed_change = true;
            return Outcome {
                changed,
                ..Outcome::default()
            };
        }
        if !mark.position.covers(&base) {
            // Changes of the operators between what was known here and `base` are missing.
            return Outcome {
                changed,
                ..Outcome::default()
            };
        }
        self.apply_known(known, changed, &mark, source, now)
    }

    /// Records what a peer knows, after its changes since `mark` have been applied, and forwards them if
    /// they are new here.
    fn apply_known(
        &mut self,
        known: Known,
        changed: bool,
        mark: &Mark,
        source: &Source,
        now: Duration,
    ) -> Outcome {
        self.detect_store_outage(now);
        self.catalog.complete(known.position.revision);
        self.catalog.complete_operators(known.position.operators);
        self.end_rebuild_if_complete();
        let fresher = known.at(now).is_some_and(|at| self.confirm_freshness(at));
        let rebuilds = known.rebuild_at(now).is_some_and(|at| self.see_rebuild(at));
        if !changed && !fresher && !rebuilds {
            return Outcome::default();
        }
        self.propagate(changed, mark, source, now)
    }

    /// Records that all changes up to `at` are known. Returns true if that is so much fresher than
    /// before that it is worth forwarding: peers' times differ by milliseconds, and each would
    /// otherwise be sent to the whole data centre.
    fn confirm_freshness(&mut self, at: Duration) -> bool {
        let before = self.schedule.fresh_until();
        self.schedule.confirmed(at);
        self.is_worth_forwarding(before, at)
    }

    /// Whether `at` is so much later than `before` that peers are told.
    pub(super) fn is_worth_forwarding(&self, before: Option<Duration>, at: Duration) -> bool {
        before.is_none_or(|before| at > before + self.schedule.timing().watch_timeout / 2)
    }

    /// Applies changes to the catalog by `apply`, up to a patch that doesn't fit, and logs them: each in a
    /// line of its own, or many of servers in one line for all.
    pub(super) fn apply_all(
        &mut self,
        changes: Vec<Change>,
        apply: fn(&mut Catalog, Change) -> bool,
    ) -> Applied {
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
                if apply(&mut self.catalog, change) {
                    applied.changed = true;
                    servers = counted;
                }
                continue;
            }
            let line = describe::change(&change, self.catalog.config());
            if apply(&mut self.catalog, change) {
                applied.changed = true;
                log::info!("{line}");
            }
        }
        if !servers.is_empty() {
            log::info!("{servers}");
        }
        applied
    }

    /// Forwards the changes since `mark` to this balancer's children in the tree of the change and, if
    /// they come from the store, to the relays of the other data centres. Those that don't fit into a
    /// datagram are only announced, and the receivers fetch them.
    pub(super) fn propagate(
        &mut self,
        changed: bool,
        mark: &Mark,
        source: &Source,
        now: Duration,
    ) -> Outcome {
        let tree = match source {
            Source::Store => Some(self.new_tree(self.catalog.position().operators)),
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
        let outgoing = self.batches(mark).into_iter().map(|changes| {
            let mut message = self.empty_message(now);
            message.tree = Some(tree);
            if let Some(changes) = changes {
                (message.base, message.changes) = (mark.position, changes);
            }
            let to = to.clone();
            Outgoing { to, message }
        });
        Outcome {
            outgoing: outgoing.collect(),
            changed,
            ..Outcome::default()
        }
    }

    /// The changes since `mark`, as one datagram each can carry them; `None` where they are only
    /// announced.
    ///
    /// While the servers' entries are read anew, only what is new is sent, in as many datagrams as it
    /// takes: after a lost one, peers learn of its servers at the end of the read. Changes of the
    /// operators must not be missed for so long. They are sent in a single datagram or announced, and
    /// whoever misses that sees by its position that it has to fetch them.
    fn batches(&self, mark: &Mark) -> Vec<Option<Vec<Change>>> {
        if self.catalog.position().revision > mark.position.revision {
            let changes = self.catalog.since(mark.position.revision);
            let complete = mark.position.revision >= self.catalog.forgotten();
            let fits = complete && encoded_size(&changes) <= MAX_CHANGES_BYTES;
            return vec![fits.then_some(changes)];
        }
        let changes = self.catalog.since_mark(mark);
        let is_server = |change: &Change| matches!(change, Change::Server { .. });
        let only_servers = changes.iter().all(is_server);
        match split(changes) {
            Some(batches) if batches.len() == 1 || only_servers && batches.len() <= MAX_BATCHES => {
                batches.into_iter().map(Some).collect()
            }
            _ => vec![None],
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

/// Splits changes into batches that fit into a datagram each, at least one; `None` if one of them doesn't fit.
fn split(changes: Vec<Change>) -> Option<Vec<Vec<Change>>> {
    let mut batches = vec![Vec::new()];
    let mut used = 0;
    for change in changes {
        let bytes = encoded_size(std::slice::from_ref(&change));
        if bytes > MAX_CHANGES_BYTES {
            return None;
        }
        used += bytes;
        if used > MAX_CHANGES_BYTES {
            batches.push(Vec::new());
            used = bytes;
        }
        if let Some(last) = batches.last_mut() {
            last.push(change);
        }
    }
    Some(batches)
}
