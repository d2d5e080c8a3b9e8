//! Puts a configuration into the platform's store: accepted means that the compare-and-swap took
//! effect.
//!
//! [`Apply`] decides without sockets: it says what to do next and is told what came of it.
//! [`run`] does so with a [`Client`](crate::Client).
//!
//! A write is made once. If its answer is lost, the key is read back until the change's own id
//! is found (accepted), the key has moved on without it (not accepted, and it can't be any more:
//! the compare-and-swap names the old revision) or the patience is over (unknown). Starting
//! again is safe after any outcome: a new attempt writes only over what it has read.

mod run;
mod settle;

use std::time::Duration;

use acacia_config::document::{self, Document, Draft, Id};
use rand::SeedableRng as _;
use rand_pcg::Pcg64;

use crate::{
    Error,
    retry::Schedule,
    store::{Entry, Outcome},
};

pub use run::run;
use settle::Finding;

/// A change to apply.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Request {
    /// The change.
    pub draft: Draft,
    /// The revision that the operator reviewed the change against, if any: while another one is
    /// in force, by the store or by the draft itself, it is not written.
    pub reviewed_revision: Option<u64>,
    /// How often and at which distances a write without answer is read back.
    pub read_back: Schedule,
}

/// Patience with a store that lost an answer: about half a minute, longer than a restart takes.
pub const READ_BACK: Schedule = Schedule {
    tries: 10,
    base: Duration::from_millis(200),
    cap: Duration::from_secs(5),
};

/// What to do next.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Read the key after a pause.
    Read {
        /// How long to wait before.
        after: Duration,
    },
    /// Write the value if the key has the expected revision. Asked for once at most.
    Write {
        /// The revision that the key must have.
        expected: u64,
        /// The value.
        value: String,
    },
    /// It is over.
    Done(Verdict),
}

/// What came of an action.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// The key was read, or not.
    Read(Result<Entry, Error>),
    /// The write was answered, or not.
    Written(Result<Outcome, Error>),
}

/// How an attempt ended.
#[derive(Debug, Clone, PartialEq)]
pub enum Verdict {
    /// The change took effect.
    Accepted {
        /// The revision that it made.
        revision: u64,
    },
    /// The configuration was in force already; nothing was written.
    Unchanged {
        /// The revision in force.
        revision: u64,
    },
    /// Another change came first. Ours has not taken effect and never will.
    Conflict {
        /// What is in force instead, if it could be read.
        theirs: Option<Box<Document>>,
    },
    /// The change can't be made; nothing was written.
    Refused(Reason),
    /// The change may have taken effect or may still do so.
    Unknown {
        /// Its id, to be looked for in the history.
        change: Id,
    },
}

/// Why a change can't be made.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
pub enum Reason {
    /// The platform gave no answer to go by, or refused.
    #[error(transparent)]
    Platform(#[from] Error),
    /// The stored document can't be understood, or the new one can't be made.
    #[error(transparent)]
    Document(#[from] document::Error),
}

/// An attempt to apply a change.
#[derive(Debug)]
pub struct Apply {
    request: Request,
    state: State,
    random: Pcg64,
}

/// Where an attempt stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    /// Reading what is in force.
    Reading,
    /// Waiting for the answer to the write, which makes this revision.
    Writing(Base, u64),
    /// Refused because of another change, which is being read.
    Losing,
    /// Reading back after the answer was lost.
    Settling(Base, u32),
    /// Over.
    Over,
}

/// What a write went over.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Base {
    /// The key's revision in the store.
    key: u64,
    /// The document's revision; 0 for none.
    document: u64,
}

impl Apply {
    /// An attempt, and its first action. `seed` spreads the pauses.
    #[must_use]
    pub fn start(request: Request, seed: u64) -> (Self, Action) {
        let apply = Apply {
            request,
            state: State::Reading,
            random: Pcg64::seed_from_u64(seed),
        };
        let after = Duration::ZERO;
        (apply, Action::Read { after })
    }

    /// Takes what came of the last action and gives the next one.
    pub fn step(&mut self, event: Event) -> Action {
        match (self.state, event) {
            (State::Reading, Event::Read(entry)) => self.write_over(entry),
            (State::Writing(base, next), Event::Written(answer)) => {
                self.written(base, next, answer)
            }
            (State::Losing, Event::Read(entry)) => {
                let theirs = entry.ok().as_ref().and_then(settle::decode);
                let theirs = theirs.map(Box::new);
                self.done(Verdict::Conflict { theirs })
            }
            (State::Settling(base, tried), Event::Read(entry)) => self.settle(base, tried, entry),
            // Not an answer to the last action: nothing can be concluded from it.
            (_, _) => {
                let change = self.request.draft.change;
                self.done(Verdict::Unknown { change })
            }
        }
    }

    /// Makes the new document from what is in force.
    fn write_over(&mut self, entry: Result<Entry, Error>) -> Action {
        let prepared = entry
            .map_err(Reason::from)
            .and_then(|entry| self.prepare(&entry));
        match prepared {
            Ok(action) => action,
            Err(reason) => self.done(Verdict::Refused(reason)),
        }
    }

    fn prepare(&mut self, entry: &Entry) -> Result<Action, Reason> {
        let before = entry.value.as_deref().map(Document::decode).transpose()?;
        let revision = before.as_ref().map_or(0, |document| document.revision);
        let next = Document::follow(before.as_ref(), &self.request.draft)?;
        let elsewhere = &self.request.draft.in_force;
        let elsewhere = elsewhere.as_ref().map_or(0, |document| document.revision);
        let in_force = revision.max(elsewhere);
        // A store behind the balancers (restored from a backup) may hold the same text while
        // they have another one in force.
        let same = before.as_ref().is_some_and(|b| b.text == next.text);
        if same && revision == in_force {
            return Ok(self.done(Verdict::Unchanged { revision }));
        }
        if self
            .request
            .reviewed_revision
            .is_some_and(|reviewed| reviewed != in_force)
        {
            let theirs = before.filter(|b| b.revision == in_force).map(Box::new);
            return Ok(self.done(Verdict::Conflict { theirs }));
        }
        let base = Base {
            key: entry.revision,
            document: revision,
        };
        self.state = State::Writing(base, next.revision);
        Ok(Action::Write {
            expected: base.key,
            value: next.encode(),
        })
    }

    fn written(&mut self, base: Base, next: u64, answer: Result<Outcome, Error>) -> Action {
        match answer {
            Ok(Outcome::Written { .. }) => {
                let revision = next;
                self.done(Verdict::Accepted { revision })
            }
            Ok(Outcome::Conflict { .. }) => {
                self.state = State::Losing;
                let after = Duration::ZERO;
                Action::Read { after }
            }
            Err(Error::Unknown) => {
                self.state = State::Settling(base, 1);
                let after = Duration::ZERO;
                Action::Read { after }
            }
            Err(error) => self.done(Verdict::Refused(error.into())),
        }
    }

    /// Concludes from what is read back after the answer to the write was lost.
    fn settle(&mut self, base: Base, tried: u32, entry: Result<Entry, Error>) -> Action {
        let change = self.request.draft.change;
        let finding = entry.map_or(Finding::Open, |e| settle::find(change, base, &e));
        match finding {
            Finding::Accepted { revision } => self.done(Verdict::Accepted { revision }),
            Finding::Lost { theirs } => {
                let theirs = Some(theirs);
                self.done(Verdict::Conflict { theirs })
            }
            Finding::Open => match self.request.read_back.pause(tried, &mut self.random) {
                Some(after) => {
                    self.state = State::Settling(base, tried + 1);
                    Action::Read { after }
                }
                None => self.done(Verdict::Unknown { change }),
            },
        }
    }

    fn done(&mut self, verdict: Verdict) -> Action {
        self.state = State::Over;
        Action::Done(verdict)
    }
}
