//! Decides which balancer writes the next tables, and when.
//!
//! Any balancer may write the tables; there is no leader. The balancer that ranks first among the
//! ready ones writes at once. Each other one writes only if none before it has done so after a
//! delay that grows with its rank. Ranks may be wrong and clocks may have stopped, so correctness
//! does not depend on them: a compare-and-swap on the revision of the store's key prevents two
//! documents with the same version. If a balancer was paused between its decision and its call, it
//! finds another revision there and its write is refused.

use std::sync::Arc;

use acacia_config::document;
use acacia_wire::collections::Map;

use crate::{
    Error,
    document::{Document, State},
    update::{Context, next_document},
};

mod event;
mod weight;

pub use event::{Action, Answer, Moment};
pub use weight::HYSTERESIS;
use weight::{changes_weights, differs_significantly, gets_new_flows};

/// Milliseconds that a balancer waits for each balancer that ranks before it.
///
/// All balancers learn of a change at the same time. Without a delay, all of them would write and
/// all but one would fail; with a long delay, a change would wait for balancers that are down. A
/// write takes a few milliseconds, and a call to the platform times out after 1 s.
pub const RANK_DELAY: u64 = 1_000;
/// Minimum milliseconds between a change of weights and a version that changes only weights.
///
/// Measured weights vary all the time. Each version is transferred in full from the store to every
/// balancer, and moves new flows off their base, where each of them needs a pin. The speed of a
/// backend server changes over tens of seconds. Configuration changes are not delayed by this.
pub const WEIGHT_PERIOD: u64 = 10_000;
/// Milliseconds to wait after the first failed call; doubled for each further failure.
pub const MIN_BACKOFF: u64 = 250;
/// Maximum milliseconds to wait after a failed call.
///
/// The store may be down for hours, and calls must not pile up when it comes back: 9 balancers
/// make at most 5 calls a second. A change waits for at most 4 s.
pub const MAX_BACKOFF: u64 = 4_000;

/// The content of the store's key as last seen.
#[derive(Debug)]
struct Stored {
    revision: u64,
    document: Option<Arc<Document>>,
    /// Whether this version of the program can decode the value, and so may overwrite it.
    is_readable: bool,
}

/// What an update of the tables depends on: their version, the configuration's revision and the
/// number of due updates.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Trigger {
    version: u64,
    config: u64,
    due: usize,
}

/// Decides for one balancer when to write the tables.
///
/// Report to it what the balancer receives, then call [`Writer::step`] and carry out the returned
/// [`Action`], several times a second and after each event. [`Writer::current`] returns the tables
/// to use and to pass on to other balancers. They have always been in the store.
///
/// ```
/// use acacia_config::{Config, document::{self, Draft, Id}};
/// use acacia_tables::writer::{Action, Answer, Moment, Writer};
///
/// let draft = Draft {
///     change: Id::new(1),
///     author: "aino".into(),
///     time: 0,
///     config: Config::default(),
///     in_force: None,
/// };
/// let mut writer = Writer::new(0);
/// writer.set_rank(Some(0));
/// writer.saw_config(document::Document::follow(None, &draft)?.into());
/// writer.saw_store(0, None, 0)?; // the key was never written
/// let now = Moment { monotonic: 0, unix: 1_800_000_000 };
/// let Action::Write { expected, document } = writer.step(now, &|_| false)? else {
///     return Err("a write".into());
/// };
/// assert_eq!((expected, document.version), (0, 1));
/// assert!(writer.answered(Answer::Written { revision: 1 }, 5));
/// assert_eq!(writer.current(), Some(&document));
/// # Ok::<(), Box<dyn std::error::Error>>(())
/// ```
#[derive(Debug, Default)]
pub struct Writer {
    rank: Option<u16>,
    config: Option<Arc<document::Document>>,
    current: Option<Arc<Document>>,
    stored: Option<Stored>,
    /// Whether `stored` is up to date: since it was read, nothing was written and no newer tables
    /// came from a peer.
    is_stored_current: bool,
    /// Whether a call is in progress.
    is_call_pending: bool,
    in_flight: Option<Arc<Document>>,
    weights: Map<Arc<str>, u32>,
    weights_changed_at: u64,
    write_due_since: Option<u64>,
    /// The state for which the last update found nothing to write.
    idle_trigger: Option<Trigger>,
    backoff_until: u64,
    failures: u32,
}

impl Writer {
    /// Creates the writer of a balancer that starts at `now`, in milliseconds of the monotonic
    /// clock.
    ///
    /// ```
    /// use acacia_tables::writer::{Action, Moment, Writer};
    /// let mut writer = Writer::new(0);
    /// writer.set_rank(Some(0));
    /// let now = Moment { monotonic: 0, unix: 1_800_000_000 };
    /// assert_eq!(writer.step(now, &|_| false)?, Action::Idle); // no configuration yet
    /// # Ok::<(), acacia_tables::Error>(())
    /// ```
    #[must_use]
    pub fn new(now: u64) -> Self {
        Writer {
            weights_changed_at: now,
            ..Writer::default()
        }
    }

    /// Returns the tables with the highest version seen.
    #[must_use]
    pub fn current(&self) -> Option<&Arc<Document>> {
        self.current.as_ref()
    }

    /// Sets this balancer's rank among the ready balancers, starting at 0, or `None` while it is
    /// not ready: a balancer that is joining may not have received the tables in force.
    pub fn set_rank(&mut self, rank: Option<u16>) {
        self.rank = rank;
    }

    /// Sets the measured weights of servers by name, relative to
    /// [`NOMINAL_WEIGHT`](crate::NOMINAL_WEIGHT). Other servers keep their weights.
    pub fn set_weights(&mut self, weights: Map<Arc<str>, u32>) {
        self.weights = weights;
    }

    /// Reports an accepted configuration. Ignored unless it is newer than those reported before.
    pub fn saw_config(&mut self, config: Arc<document::Document>) {
        let is_newer = |old: &Arc<document::Document>| old.revision < config.revision;
        if self.config.as_ref().is_none_or(is_newer) {
            self.config = Some(config);
        }
    }

    /// Reports tables that another balancer has in force. Returns whether they are newer than the
    /// current ones.
    pub fn saw_tables(&mut self, document: Arc<Document>, now: u64) -> bool {
        let is_new = self.adopt(document, now);
        // The store most likely has them too. Read it before repairing anything.
        self.is_stored_current &= !is_new;
        is_new
    }

    /// Reports the content of the store's key, from a read or a watch. Returns whether it holds
    /// newer tables than the current ones. An outdated report at most causes a write that the store
    /// refuses.
    ///
    /// # Errors
    /// If the value can't be decoded. It is not overwritten: an operator has to repair it.
    pub fn saw_store(
        &mut self,
        revision: u64,
        value: Option<&str>,
        now: u64,
    ) -> Result<bool, Error> {
        self.is_stored_current = true;
        if self
            .stored
            .as_ref()
            .is_some_and(|old| old.revision == revision)
        {
            return Ok(false);
        }
        let read = value.map(Document::decode).transpose();
        let document = read.as_ref().ok().cloned().flatten().map(Arc::new);
        self.stored = Some(Stored {
            revision,
            document: document.clone(),
            is_readable: read.is_ok(),
        });
        read?;
        Ok(document.is_some_and(|document| self.adopt(document, now)))
    }

    /// Reports how the call requested by [`Writer::step`] ended. Returns whether there are newer
    /// tables.
    pub fn answered(&mut self, answer: Answer, now: u64) -> bool {
        self.is_call_pending = false;
        let document = self.in_flight.take();
        match answer {
            Answer::Written { revision } => {
                self.failures = 0;
                let Some(document) = document else {
                    return false;
                };
                if self
                    .stored
                    .as_ref()
                    .is_none_or(|old| old.revision < revision)
                {
                    self.is_stored_current = true;
                    self.stored = Some(Stored {
                        revision,
                        document: Some(Arc::clone(&document)),
                        is_readable: true,
                    });
                }
                return self.adopt(document, now);
            }
            Answer::Read => return false,
            // Another balancer wrote first, or an earlier write took effect. The next read shows
            // which.
            Answer::Conflict => self.failures = 0,
            Answer::Lost | Answer::Unreached => self.failures += 1,
        }
        self.is_stored_current = false;
        self.back_off(now);
        false
    }

    fn back_off(&mut self, now: u64) {
        let backoff = MIN_BACKOFF << self.failures.saturating_sub(1).min(10);
        self.backoff_until = now + backoff.min(MAX_BACKOFF);
    }

    fn adopt(&mut self, document: Arc<Document>, now: u64) -> bool {
        let before = self.current.as_deref();
        if before.is_some_and(|before| before.version >= document.version) {
            return false;
        }
        if before.is_some_and(|before| changes_weights(before, &document)) {
            self.weights_changed_at = now;
        }
        self.current = Some(document);
        self.write_due_since = None;
        true
    }

    /// Returns the call to make now, if any. At most one call is in progress at a time. `is_known`
    /// tells whether every balancer has at least the tables of a version, see
    /// [`acacia_flow::Control::is_known_everywhere`].
    ///
    /// # Errors
    /// If the next tables can't be built. This is retried after a backoff.
    pub fn step(&mut self, now: Moment, is_known: &dyn Fn(u64) -> bool) -> Result<Action, Error> {
        let Some(rank) = self.rank else {
            self.write_due_since = None;
            return Ok(Action::Idle);
        };
        if self.is_call_pending || now.monotonic < self.backoff_until {
            return Ok(Action::Idle);
        }
        let should_update_weights = rank == 0 && self.should_update_weights(now.monotonic);
        if !(should_update_weights || self.may_need_write(now, is_known)) {
            self.write_due_since = None;
            return Ok(Action::Idle);
        }
        let since = *self.write_due_since.get_or_insert(now.monotonic);
        if now.monotonic < since + u64::from(rank) * RANK_DELAY {
            return Ok(Action::Idle);
        }
        if !self.is_stored_current {
            self.is_call_pending = true;
            return Ok(Action::Read);
        }
        match self.next(now, should_update_weights, is_known) {
            Ok(Some(document)) => Ok(self.write(document)),
            Ok(None) => {
                self.write_due_since = None;
                self.idle_trigger = self.trigger(now, is_known);
                Ok(Action::Idle)
            }
            Err(error) => {
                self.failures += 1;
                self.back_off(now.monotonic);
                Err(error)
            }
        }
    }

    fn write(&mut self, document: Arc<Document>) -> Action {
        (self.is_call_pending, self.is_stored_current) = (true, false);
        self.in_flight = Some(Arc::clone(&document));
        Action::Write {
            expected: self.stored.as_ref().map_or(0, |stored| stored.revision),
            document,
        }
    }

    fn trigger(&self, now: Moment, is_known: &dyn Fn(u64) -> bool) -> Option<Trigger> {
        let current = self.current.as_ref()?;
        Some(Trigger {
            version: current.version,
            config: self.config.as_ref()?.revision,
            due: current.due_updates(now.unix, is_known),
        })
    }

    /// Whether there may be something to write. Cheap, as it builds no tables.
    fn may_need_write(&self, now: Moment, is_known: &dyn Fn(u64) -> bool) -> bool {
        if self
            .stored
            .as_ref()
            .is_some_and(|stored| !stored.is_readable)
        {
            return false;
        }
        let Some(current) = &self.current else {
            return self.config.is_some();
        };
        let may_update = |trigger: Trigger| trigger.config > current.config || trigger.due > 0;
        let trigger = self
            .trigger(now, is_known)
            .filter(|trigger| may_update(*trigger));
        self.is_store_behind() || (trigger.is_some() && trigger != self.idle_trigger)
    }

    /// Whether the store has lost the tables in force, because its key was removed or the store was
    /// restored from a backup. A balancer that starts would use the outdated content.
    fn is_store_behind(&self) -> bool {
        let (Some(stored), Some(current)) = (&self.stored, &self.current) else {
            return false;
        };
        let document = stored.document.as_ref();
        document.is_none_or(|document| document.version <= current.version && document != current)
    }

    /// Returns the document to write, if any.
    fn next(
        &self,
        now: Moment,
        should_update_weights: bool,
        is_known: &dyn Fn(u64) -> bool,
    ) -> Result<Option<Arc<Document>>, Error> {
        if let Some(current) = self.current.as_ref().filter(|_| self.is_store_behind()) {
            return Ok(Some(self.repair(current)));
        }
        let Some(config) = &self.config else {
            return Ok(None);
        };
        let current = self.current.as_deref();
        let weight = |service: &str, server: &str| {
            let is_kept = !should_update_weights
                && current.is_some_and(|c| gets_new_flows(c, service, server));
            self.weights.get(server).filter(|_| !is_kept).copied()
        };
        let context = Context {
            now: now.unix,
            is_known,
            weight: &weight,
        };
        Ok(next_document(current, config, &context)?.map(Arc::new))
    }

    /// Returns the document that restores the tables in force in the store. If the store holds
    /// another document with the same version, some balancers may have that one in force, and only
    /// a higher version replaces it on all of them.
    fn repair(&self, current: &Arc<Document>) -> Arc<Document> {
        let stored = self
            .stored
            .as_ref()
            .and_then(|stored| stored.document.as_ref());
        match stored.is_some_and(|stored| stored.version == current.version) {
            true => Arc::new(Document {
                version: current.version + 1,
                ..Document::clone(current)
            }),
            false => Arc::clone(current),
        }
    }

    /// Whether measured weights are to replace those in force. Only the balancer that ranks first
    /// does this: each balancer has its own measurements, and two balancers that wrote in turns
    /// would move flows back and forth.
    fn should_update_weights(&self, now: u64) -> bool {
        let Some(current) = self.current.as_ref() else {
            return false;
        };
        let is_readable = self.stored.as_ref().is_none_or(|stored| stored.is_readable);
        let mut up = current.servers().filter(|server| server.state == State::Up);
        is_readable
            && now >= self.weights_changed_at + WEIGHT_PERIOD
            && up.any(|server| {
                let weight = self.weights.get(&server.name);
                weight.is_some_and(|weight| differs_significantly(server.weight, *weight))
            })
    }
}
