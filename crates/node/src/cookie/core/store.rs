//! Decides on calls to the store, and takes their answers.

use std::{collections::BTreeSet, sync::Arc, time::Duration};

use acacia_catalog::{
    Catalog, Change,
    spread::{self, is_reader},
};
use acacia_code::Code;

use super::{Core, Outcome, Source};

/// How long a balancer that has just started and knows no peers waits before it assumes that there
/// are none: two rounds of gossip.
const PEER_DISCOVERY: Duration = Duration::from_secs(1);

/// Number of balancers from which on those that catch up at the same time are spread over the longest
/// backoff. The first one that has caught up tells the others.
const SPREAD_BALANCERS: f64 = 64.0;

/// A watch whose answer was too long to be read.
#[derive(Debug, Clone, Copy)]
pub(super) struct Overlong {
    /// The revision after which it would have told the changes.
    after: u64,
    /// When this balancer catches up by other calls at the earliest.
    due: Duration,
}

impl Core {
    /// Returns whether to call the store now, and how.
    pub fn next_store_action(&mut self, now: Duration) -> spread::Action {
        self.group.set_sighted(self.schedule.is_store_reachable());
        let cut_off = self.cut_off_centres();
        let reads =
            !self.is_discovering_peers(now) && is_reader(self.own(), self.peers(), &cut_off);
        if reads != self.reads {
            self.reads = reads;
            log::info!("event=reader reads={reads} peers={}", self.peers().len());
        }
        let without_store = self.balancers_without_store();
        let action = self
            .schedule
            .next_action(now, reads, self.jitter, without_store);
        let is_waiting = matches!(action, spread::Action::Wait(_));
        let backs_off = self
            .schedule
            .is_backing_off(now, self.jitter, without_store);
        let reads_servers = !backs_off && self.reads_servers(now);
        let overlong = self.overlong.filter(|_| !backs_off && self.catches_up());
        if let Some(Overlong { due, .. }) = overlong {
            match due.checked_sub(now) {
                Some(wait) if !wait.is_zero() => spread::Action::Wait(wait),
                _ => spread::Action::CatchUp,
            }
        } else if is_waiting && !reads_servers {
            action
        } else if self.catalog.revision() == 0 {
            spread::Action::ReadAll
        } else if self.history_gone || reads_servers && self.rebuild.is_none() {
            spread::Action::ReadOperators
        } else if reads_servers {
            spread::Action::ReadServers
        } else {
            action
        }
    }

    /// The data centres whose balancers are not taken for the reader, as their servers can't be reached.
    ///
    /// An isolated balancer finds its own data centre lost too. It is most likely the one that is cut off, and
    /// may still reach the store and the balancers next to it.
    pub(super) fn cut_off_centres(&self) -> BTreeSet<Arc<str>> {
        let mut lost = self.paths.lost();
        if self.isolated {
            lost.remove(&self.own().data_centre);
        }
        lost
    }

    /// Whether this balancer has just started and may still discover its peers. When a whole fleet
    /// starts at once, each member would otherwise assume that it is the reader and open its own
    /// watch.
    fn is_discovering_peers(&self, now: Duration) -> bool {
        self.peers().is_empty() && self.has_seeds() && now < self.started + PEER_DISCOVERY
    }

    /// The number of other balancers that can't reach the store. The members of the own data centre stand
    /// for those of the others.
    fn balancers_without_store(&self) -> usize {
        let near = || self.peers().of(&self.own().data_centre);
        let without_store = near().filter(|member| !member.sighted).count();
        let population = self.group.population();
        without_store * population / near().count().max(1)
    }

    /// Applies the store's answer to a watch after [`Core::followed`]: `changes` up to `revision`,
    /// complete as of `sent`.
    pub fn apply_store_changes(
        &mut self,
        changes: Vec<Change>,
        revision: u64,
        sent: Duration,
        now: Duration,
    ) -> Outcome {
        self.record_store_answer(now);
        let mark = self.catalog.mark();
        if !changes.is_empty() {
            self.schedule.changed(now);
        }
        let changed = self.apply_all(changes, Catalog::apply).changed;
        self.complete_changes(revision);
        self.schedule.answered(sent);
        self.propagate(changed, &mark, &Source::Store, now)
    }

    /// Records that all changes after [`Core::followed`] up to `revision` have been applied.
    fn complete_changes(&mut self, revision: u64) {
        match &mut self.rebuild {
            Some(rebuild) => {
                rebuild.follow(revision);
                self.catalog.complete_operators(revision);
            }
            None => self.catalog.complete(revision),
        }
    }

    /// Records that the store's answer to a watch after [`Core::followed`] was longer than `limit` bytes, which
    /// is what can be read. The same watch would fail again, until the store drops that history.
    pub fn record_overlong(&mut self, limit: usize, now: Duration) {
        let after = self.followed();
        let code = Code::PlatformAnswerTooLong;
        log::warn!(
            "event=store-answer-too-long code={code} call=watch limit_bytes={limit} revision={after}"
        );
        let longest = match self.reads {
            true => Duration::ZERO,
            false => self.schedule.timing().max_backoff,
        };
        let population = (self.group.population() + 1) as f64;
        let fraction = self.jitter * (population / SPREAD_BALANCERS).min(1.0);
        let due = now + longest.mul_f64(fraction);
        self.overlong = Some(Overlong { after, due });
    }

    /// Whether the answer to the last watch couldn't be read, and nothing newer is known.
    #[must_use]
    pub fn catches_up(&self) -> bool {
        self.overlong
            .is_some_and(|overlong| overlong.after >= self.followed())
    }

    /// Applies the changes of servers after [`Core::followed`] up to `revision`, as of `sent`, and a read of
    /// the operators' entries that was made after that, as of `operators_revision`.
    pub fn apply_catch_up(
        &mut self,
        servers: Vec<Change>,
        revision: u64,
        operators: Vec<Change>,
        operators_revision: u64,
        sent: Duration,
        now: Duration,
    ) -> Outcome {
        self.record_store_answer(now);
        let (mark, base) = (self.catalog.mark(), self.followed());
        let mut changed = self.replace_operators(operators, operators_revision);
        changed |= self.apply_all(servers, Catalog::apply).changed;
        self.complete_changes(revision);
        self.overlong = None;
        self.schedule.answered(sent);
        log::info!("event=caught-up revision={revision} base={base} changed={changed}");
        self.propagate(changed, &mark, &Source::Store, now)
    }

    /// Replaces the catalog with the store's answer to a full read that was requested at `sent`.
    pub fn apply_full_read(
        &mut self,
        reading: Vec<Change>,
        revision: u64,
        sent: Duration,
        now: Duration,
    ) -> Outcome {
        self.record_store_answer(now);
        let mark = self.catalog.mark();
        let changed = self.catalog.replace(reading, revision);
        log::info!("event=store-read revision={revision} changed={changed}");
        self.schedule.answered(sent);
        self.propagate(changed, &mark, &Source::Store, now)
    }

    /// Replaces the catalog with a full read that may be seconds old, complete up to `revision`. Some
    /// pages may be newer. Later changes come from peers or from the next call to the store.
    pub fn prime(&mut self, reading: Vec<Change>, revision: u64, now: Duration) -> Outcome {
        let newest = reading.iter().map(Change::revision).max().unwrap_or(0);
        let changed = self.catalog.replace(reading, revision);
        log::info!("event=store-primed revision={revision} newest={newest} changed={changed}");
        self.schedule.prime(now);
        Outcome {
            changed,
            ..Outcome::default()
        }
    }

    /// Records an outage of the store until now, if nobody has told of it for longer than the reader, or this
    /// balancer in its place, takes to ask it. A failed call alone is no sign of that: others may reach the store.
    pub(super) fn detect_store_outage(&mut self, now: Duration) {
        let timing = self.schedule.timing();
        let longest = timing.max_age + 2 * timing.jitter;
        let fresh = self.schedule.fresh_until();
        if fresh.is_some_and(|fresh| now > fresh + longest) {
            self.last_outage = Some(now);
        }
    }

    /// Logs that the store answers again, and notes for how long it didn't.
    pub(super) fn record_store_answer(&mut self, now: Duration) {
        self.detect_store_outage(now);
        if !self.schedule.is_store_reachable() {
            let revision = self.catalog.revision();
            log::info!("event=store-regained revision={revision}");
        }
    }

    /// Records that a call to the store has failed.
    pub fn record_store_failure(&mut self, reason: &dyn std::fmt::Display, now: Duration) {
        if self.schedule.is_store_reachable() {
            let revision = self.catalog.revision();
            log::warn!("event=store-lost revision={revision} reason=\"{reason}\"");
        }
        self.schedule.failed(now);
    }
}
