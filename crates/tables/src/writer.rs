//! Which balancer writes the next tables, and when.
//!
//! Any balancer may write them; none is in charge. The one that ranks first among those that are
//! ready does so at once, and each other one only if nobody has after a time that grows with its
//! rank. Ranks may be wrong and clocks may have stopped: what keeps two documents of one version
//! apart is the compare-and-swap on the revision of the store's key. A writer that was paused
//! between its decision and its call finds another revision there, and has written nothing.

use std::sync::Arc;

use acacia_config::document;
use acacia_wire::collections::Map;

use crate::{
    Error,
    document::{Document, State},
    update::{UpdateContext, next_document},
};

mod event;
mod weight;

pub use event::{Action, Answer, Moment};
pub use weight::HYSTERESIS;
use weight::{is_other, is_up, is_weighed_anew};

/// Milliseconds that a balancer waits for each one that ranks before it.
///
/// Load: a change that all balancers hear of at once. Harm: with no wait all of them write, and
/// all but one in vain; with a long one a change waits for dead balancers. A write takes some
/// milliseconds, and a call to the platform is given up after 1 s.
pub const RANK_DELAY: u64 = 1_000;
/// Milliseconds between two versions of which the second changes weights alone.
///
/// Load: measured weights, which never stand still. Harm: each version takes the document's size
/// from the store to every balancer, and moves new flows off their base, where each costs a pin.
/// Speeds of backend servers change over tens of seconds. Changes of the configuration don't wait.
pub const WEIGHT_PERIOD: u64 = 10_000;
/// Milliseconds without calls after the first that failed; doubled for each further one.
pub const SHORTEST_PAUSE: u64 = 250;
/// Longest pause, in milliseconds. Load: a store that is down for hours. Harm: calls that pile up
/// when it comes back. 9 balancers make 5 calls a second at most; a change waits for 4 s at most.
pub const LONGEST_PAUSE: u64 = 4_000;

/// What the store's key held when it was last read.
#[derive(Debug)]
struct Stored {
    revision: u64,
    document: Option<Arc<Document>>,
    /// Whether this version of the program may write over it.
    is_readable: bool,
}

/// What decides whether the tables need a step: version, configuration and things due.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Look {
    version: u64,
    config: u64,
    due: usize,
}

/// One balancer's part in writing the tables.
///
/// Pass it what is seen, then carry out [`Writer::step`], several times a second and after each
/// event. [`Writer::current`] is what to have in force and to pass on to other balancers: nothing
/// that was not in the store.
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
    /// Whether nothing was written or heard since the key was read.
    is_fresh: bool,
    /// Whether a call has not been answered yet.
    is_busy: bool,
    in_flight: Option<Arc<Document>>,
    weights: Map<Arc<str>, u32>,
    weighed_at: u64,
    wanted_since: Option<u64>,
    /// What was found to need nothing.
    looked: Option<Look>,
    quiet_until: u64,
    failures: u32,
}

impl Writer {
    /// The writer of a balancer that starts at `now`, in milliseconds of the monotonic clock.
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
            weighed_at: now,
            ..Writer::default()
        }
    }

    /// The highest tables seen.
    #[must_use]
    pub fn current(&self) -> Option<&Arc<Document>> {
        self.current.as_ref()
    }

    /// This balancer's place among those that are ready, the first being 0; none while it is not
    /// ready itself. One that joins may not have heard of the tables in force.
    pub fn set_rank(&mut self, rank: Option<u16>) {
        self.rank = rank;
    }

    /// Measured weights of servers by name, in [`NOMINAL_WEIGHT`](crate::NOMINAL_WEIGHT)s. Servers left out keep theirs.
    pub fn set_weights(&mut self, weights: Map<Arc<str>, u32>) {
        self.weights = weights;
    }

    /// Takes in a configuration that was accepted. Older ones than those before are ignored.
    pub fn saw_config(&mut self, config: Arc<document::Document>) {
        let is_newer = |old: &Arc<document::Document>| old.revision < config.revision;
        if self.config.as_ref().is_none_or(is_newer) {
            self.config = Some(config);
        }
    }

    /// Takes in tables that another balancer has in force; gives whether they are new here.
    pub fn saw_tables(&mut self, document: Arc<Document>, now: u64) -> bool {
        let is_new = self.adopt(document, now);
        // The store most likely has them too, which a read tells before anything is repaired.
        self.is_fresh &= !is_new;
        is_new
    }

    /// Takes in what the store's key holds: a read, or what a watch told. Gives whether there are
    /// new tables. An answer that is older than one before costs a refused call and nothing else.
    ///
    /// # Errors
    /// When the value can't be read. It is not written over: an operator has to look.
    pub fn saw_store(
        &mut self,
        revision: u64,
        value: Option<&str>,
        now: u64,
    ) -> Result<bool, Error> {
        self.is_fresh = true;
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

    /// Takes in how the call that [`Writer::step`] asked for has ended. Gives whether there are
    /// new tables.
    pub fn answered(&mut self, answer: Answer, now: u64) -> bool {
        self.is_busy = false;
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
                    self.is_fresh = true;
                    self.stored = Some(Stored {
                        revision,
                        document: Some(Arc::clone(&document)),
                        is_readable: true,
                    });
                }
                return self.adopt(document, now);
            }
            Answer::Read => return false,
            // Somebody else was faster, or the write has taken effect: the next read tells.
            Answer::Conflict => self.failures = 0,
            Answer::Lost | Answer::Unreached => self.failures += 1,
        }
        self.is_fresh = false;
        self.pause(now);
        false
    }

    fn pause(&mut self, now: u64) {
        let doubled = SHORTEST_PAUSE << self.failures.saturating_sub(1).min(10);
        self.quiet_until = now + doubled.min(LONGEST_PAUSE);
    }

    fn adopt(&mut self, document: Arc<Document>, now: u64) -> bool {
        let before = self.current.as_deref();
        if before.is_some_and(|before| before.version >= document.version) {
            return false;
        }
        if before.is_some_and(|before| is_weighed_anew(before, &document)) {
            self.weighed_at = now;
        }
        self.current = Some(document);
        self.wanted_since = None;
        true
    }

    /// What to do now. `is_known` tells whether every balancer has tables of a version, see
    /// [`acacia_flow::Control::is_known_everywhere`]. One call is under way at a time.
    ///
    /// # Errors
    /// When the next tables can't be made; tried again after a pause.
    pub fn step(&mut self, now: Moment, is_known: &dyn Fn(u64) -> bool) -> Result<Action, Error> {
        let Some(rank) = self.rank else {
            self.wanted_since = None;
            return Ok(Action::Idle);
        };
        if self.is_busy || now.monotonic < self.quiet_until {
            return Ok(Action::Idle);
        }
        let is_weighing = rank == 0 && self.is_weighing(now.monotonic);
        if !(is_weighing || self.is_wanted(now, is_known)) {
            self.wanted_since = None;
            return Ok(Action::Idle);
        }
        let since = *self.wanted_since.get_or_insert(now.monotonic);
        if now.monotonic < since + u64::from(rank) * RANK_DELAY {
            return Ok(Action::Idle);
        }
        if !self.is_fresh {
            self.is_busy = true;
            return Ok(Action::Read);
        }
        match self.next(now, is_weighing, is_known) {
            Ok(Some(document)) => Ok(self.write(document)),
            Ok(None) => {
                self.wanted_since = None;
                self.looked = self.look(now, is_known);
                Ok(Action::Idle)
            }
            Err(error) => {
                self.failures += 1;
                self.pause(now.monotonic);
                Err(error)
            }
        }
    }

    fn write(&mut self, document: Arc<Document>) -> Action {
        (self.is_busy, self.is_fresh) = (true, false);
        self.in_flight = Some(Arc::clone(&document));
        Action::Write {
            expected: self.stored.as_ref().map_or(0, |stored| stored.revision),
            document,
        }
    }

    fn look(&self, now: Moment, is_known: &dyn Fn(u64) -> bool) -> Option<Look> {
        let current = self.current.as_ref()?;
        Some(Look {
            version: current.version,
            config: self.config.as_ref()?.revision,
            due: current.due_updates(now.unix, is_known),
        })
    }

    /// Whether there may be something to write. Cheap.
    fn is_wanted(&self, now: Moment, is_known: &dyn Fn(u64) -> bool) -> bool {
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
        let is_news = |look: Look| look.config > current.config || look.due > 0;
        let look = self.look(now, is_known).filter(|look| is_news(*look));
        self.is_store_behind() || (look.is_some() && look != self.looked)
    }

    /// Whether the store has lost what is in force: its key was removed, or it came back from a
    /// backup. A balancer that starts would take up what it holds.
    fn is_store_behind(&self) -> bool {
        let (Some(stored), Some(current)) = (&self.stored, &self.current) else {
            return false;
        };
        let document = stored.document.as_ref();
        document.is_none_or(|document| document.version <= current.version && document != current)
    }

    /// The document to write, if any.
    fn next(
        &self,
        now: Moment,
        is_weighing: bool,
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
            let is_kept = !is_weighing && current.is_some_and(|c| is_up(c, service, server));
            self.weights.get(server).filter(|_| !is_kept).copied()
        };
        let context = UpdateContext {
            now: now.unix,
            is_known,
            weight: &weight,
        };
        Ok(next_document(current, config, &context)?.map(Arc::new))
    }

    /// What puts the store right. Where it holds another document of the same version, balancers
    /// that read it have that one in force, and only a higher one reaches them all.
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

    /// Whether measured weights are to replace those in force. Only the first in rank does this:
    /// each balancer measures for itself, and two that took turns would move flows to and fro.
    fn is_weighing(&self, now: u64) -> bool {
        let Some(current) = self.current.as_ref() else {
            return false;
        };
        let is_readable = self.stored.as_ref().is_none_or(|stored| stored.is_readable);
        let mut up = current.servers().filter(|server| server.state == State::Up);
        is_readable
            && now >= self.weighed_at + WEIGHT_PERIOD
            && up.any(|server| {
                let weight = self.weights.get(&server.name);
                weight.is_some_and(|weight| is_other(server.weight, *weight))
            })
    }
}
