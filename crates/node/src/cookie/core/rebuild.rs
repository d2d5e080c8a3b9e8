//! Reads all servers' entries anew after the store has dropped the history that followed what is known.
//!
//! First the operators' entries are read, which takes one call, and their changes are passed on at once. Then
//! the servers' entries are read page by page, while the store's changes are followed from the first read on.
//! What a page shows is passed on at once too. After the last page, everything is known again, up to the
//! last change that was followed.

use std::{sync::Arc, time::Duration};

use acacia_catalog::{Catalog, Change, spread};

use super::{Core, Outcome, Source};

/// A read of all servers' entries.
#[derive(Debug, Clone)]
pub(super) struct Rebuild {
    /// The store's revision at the read of the operators' entries.
    start: u64,
    /// The store's revision up to which changes since then are known.
    followed: u64,
    /// The servers that the pages so far contained.
    listed: Vec<Arc<str>>,
    /// The key of the store after which the next page begins; `None` for the first page.
    after: Option<Arc<str>>,
}

impl Rebuild {
    fn new(revision: u64) -> Self {
        Rebuild {
            start: revision,
            followed: revision,
            listed: Vec::new(),
            after: None,
        }
    }

    /// Records that all changes up to `revision` since the start are known.
    pub(super) fn follow(&mut self, revision: u64) {
        self.followed = self.followed.max(revision);
    }
}

/// A page of the store's list of servers.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Page {
    /// The entries.
    pub entries: Vec<Change>,
    /// The last key of the store on the page, if there is a next page.
    pub next: Option<Arc<str>>,
}

impl Core {
    /// The store's revision after which this balancer follows its changes.
    #[must_use]
    pub fn followed(&self) -> u64 {
        let followed = self.rebuild.as_ref().map(|rebuild| rebuild.followed);
        followed.unwrap_or(self.catalog.revision())
    }

    /// Records that the store has dropped the history after [`Core::followed`].
    pub fn record_history_gone(&mut self) {
        self.history_gone = true;
        self.rebuild = None;
        self.overlong = None;
    }

    /// Whether this balancer is to read all servers' entries, or to go on reading them.
    pub(super) fn reads_servers(&self, now: Duration) -> bool {
        let idle = self.rebuild_seen.map(|seen| now.saturating_sub(seen));
        let position = self.catalog.position();
        let period = self.schedule.timing().max_age;
        let cut_off = self.cut_off_centres();
        spread::reads_servers(self.own(), self.peers(), &cut_off, position, idle, period)
    }

    /// Applies a read of all the operators' entries, as of `revision`, that was requested at `sent`, and
    /// begins to read the servers' entries.
    pub fn begin_rebuild(
        &mut self,
        entries: Vec<Change>,
        revision: u64,
        sent: Duration,
        now: Duration,
    ) -> Outcome {
        self.record_store_answer(now);
        let mark = self.catalog.mark();
        let changed = self.replace_operators(entries, revision);
        self.history_gone = false;
        self.rebuild = Some(Rebuild::new(revision));
        self.end_rebuild_if_complete();
        self.schedule.answered(sent);
        if self.reads_servers(now) {
            self.see_rebuild(now);
        }
        let base = self.catalog.revision();
        log::info!("event=operators-read revision={revision} base={base} changed={changed}");
        self.propagate(changed, &mark, &Source::Store, now)
    }

    /// Replaces all entries of the operators by a read of them as of `revision`. Returns whether any changed.
    pub(super) fn replace_operators(&mut self, entries: Vec<Change>, revision: u64) -> bool {
        let evacuated = entries.iter().filter_map(|change| match change {
            Change::Evacuation { data_centre, .. } => Some(Arc::clone(data_centre)),
            _ => None,
        });
        let evacuated = evacuated.collect();
        let mut changed = self.apply_all(entries, Catalog::apply_listed).changed;
        changed |= self.catalog.retain_evacuations(evacuated, revision);
        self.catalog.complete_operators(revision);
        changed
    }

    /// The key of the store after which the next page of servers begins, `None` for the first page. No
    /// page is to be read if the outer result is `None`.
    #[must_use]
    pub fn next_page(&self) -> Option<Option<Arc<str>>> {
        let rebuild = self.rebuild.as_ref().filter(|_| !self.catches_up());
        rebuild.map(|rebuild| rebuild.after.clone())
    }

    /// Applies the page after [`Core::next_page`].
    pub fn apply_page(&mut self, page: Page, now: Duration) -> Outcome {
        let Some(rebuild) = &mut self.rebuild else {
            return Outcome::default();
        };
        let ids = page.entries.iter().filter_map(|change| match change {
            Change::Server { id, .. } => Some(Arc::clone(id)),
            _ => None,
        });
        rebuild.listed.extend(ids);
        let is_last = page.next.is_none();
        rebuild.after = page.next;
        let mark = self.catalog.mark();
        let mut changed = self.apply_all(page.entries, Catalog::apply_listed).changed;
        if is_last {
            changed |= self.finish_rebuild();
        }
        let is_due = self.see_rebuild(now);
        if !changed && !is_last && !is_due {
            return Outcome::default();
        }
        self.propagate(changed, &mark, &Source::Store, now)
    }

    /// Removes the servers that no page contained, and records that everything is known. Returns whether
    /// any was removed.
    fn finish_rebuild(&mut self) -> bool {
        let Some(rebuild) = self.rebuild.take() else {
            return false;
        };
        let Rebuild {
            start,
            followed,
            listed,
            ..
        } = rebuild;
        let (count, base) = (listed.len(), self.catalog.revision());
        let removed = self.catalog.retain_servers(listed, start);
        self.catalog.complete(followed);
        log::info!("event=servers-read servers={count} revision={followed} base={base}");
        removed
    }

    /// Ends a read of the servers' entries if a peer has supplied everything up to its start.
    pub(super) fn end_rebuild_if_complete(&mut self) {
        let revision = self.catalog.revision();
        if let Some(rebuild) = self.rebuild.take_if(|rebuild| revision >= rebuild.start) {
            self.catalog.complete(rebuild.followed);
        }
    }

    /// Records that a balancer is reading all servers' entries at `at`. Returns whether that is worth
    /// forwarding.
    pub(super) fn see_rebuild(&mut self, at: Duration) -> bool {
        let before = self.rebuild_seen;
        self.rebuild_seen = Some(before.map_or(at, |before| before.max(at)));
        self.catalog.position().lacks_servers() && self.is_worth_forwarding(before, at)
    }
}
