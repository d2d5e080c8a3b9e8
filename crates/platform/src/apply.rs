//! Writes a configuration to the platform's store. A change is accepted once its compare-and-swap
//! has taken effect.
//!
//! [`Apply`] is a state machine without I/O: it returns the next [`Action`] and takes the [`Event`]
//! that results from it. [`run`] drives it with a [`Client`](crate::Client).
//!
//! The write is sent at most once. If its answer is lost, the key is read back until one of these
//! holds:
//!
//! - The stored document or its history has the id of the change: it was accepted.
//! - The key has a later revision without the change: it was not accepted and can't be later, as
//!   the compare-and-swap expects the old revision.
//! - No read is left by the schedule: the outcome is unknown.
//!
//! Applying the change again is safe after any outcome, as a new attempt replaces only the revision
//! that it has read.

mod read_back;
mod run;

use std::time::Duration;

use acacia_config::document::{self, Document, Draft, Id};
use rand::SeedableRng as _;
use rand_pcg::Pcg64;

use crate::{
    Error,
    retry::Schedule,
    store::{Entry, Outcome},
};

use read_back::Finding;
pub use run::run;

/// A change to apply.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Request {
    /// The change.
    pub draft: Draft,
    /// The revision that the operator reviewed the change against, if any. The change is not
    /// written if another revision is in force according to the store or to the draft.
    pub reviewed_revision: Option<u64>,
    /// Schedule of the reads after a lost answer to the write.
    pub read_back: Schedule,
}

/// Default schedule of the reads after a lost answer: about half a minute, which is longer than a
/// restart of the store takes.
pub const READ_BACK: Schedule = Schedule {
    tries: 10,
    base: Duration::from_millis(200),
    cap: Duration::from_secs(5),
};

/// The next step of an attempt.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Read the key after a pause.
    Read {
        /// The pause before the read.
        after: Duration,
    },
    /// Write the value if the key has the expected revision. Returned at most once per attempt.
    Write {
        /// The revision that the key must have.
        expected: u64,
        /// The value.
        value: String,
    },
    /// Nothing: the attempt has ended.
    Done(Verdict),
}

/// The result of an action.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// Result of the read.
    Read(Result<Entry, Error>),
    /// Result of the write.
    Written(Result<Outcome, Error>),
}

/// How an attempt ended.
#[derive(Debug, Clone, PartialEq)]
pub enum Verdict {
    /// The change took effect.
    Accepted {
        /// The revision of the new document.
        revision: u64,
    },
    /// The configuration was already in force; nothing was written.
    Unchanged {
        /// The revision in force.
        revision: u64,
    },
    /// Another change was made first. This one has not taken effect and never will.
    Conflict {
        /// The document in force instead, if it could be read.
        theirs: Option<Box<Document>>,
    },
    /// The change could not be made; nothing was written.
    Refused(Reason),
    /// The change may have taken effect or may still do so.
    Unknown {
        /// The id of the change, to be searched for in the history.
        change: Id,
    },
}

/// Why a change could not be made.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
pub enum Reason {
    /// The call to the platform failed or was refused.
    #[error(transparent)]
    Platform(#[from] Error),
    /// The stored document can't be decoded, or the new one is invalid.
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

/// The state of an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    /// Reading the document in force.
    Reading,
    /// Waiting for the answer to the write; the number is the revision of the new document.
    Writing(Base, u64),
    /// Reading the other change after a conflict.
    ReadingConflict,
    /// Reading back after the answer to the write was lost; the number counts the reads from 1.
    ReadingBack(Base, u32),
    /// Ended.
    Done,
}

/// The revisions that a write replaces.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Base {
    /// The key's revision in the store.
    key: u64,
    /// The document's revision; 0 for none.
    document: u64,
}

impl Apply {
    /// Starts an attempt and returns its first action. `seed` determines the random pauses.
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

    /// Takes the result of the last action and returns the next one.
    pub fn step(&mut self, event: Event) -> Action {
        match (self.state, event) {
            (State::Reading, Event::Read(entry)) => self.write(entry),
            (State::Writing(base, next), Event::Written(answer)) => {
                self.written(base, next, answer)
            }
            (State::ReadingConflict, Event::Read(entry)) => {
                let theirs = entry.ok().as_ref().and_then(read_back::decode);
                let theirs = theirs.map(Box::new);
                self.done(Verdict::Conflict { theirs })
            }
            (State::ReadingBack(base, tried), Event::Read(entry)) => {
                self.resolve(base, tried, entry)
            }
            // The event does not belong to the last action, so the outcome can't be determined.
            (_, _) => {
                let change = self.request.draft.change;
                self.done(Verdict::Unknown { change })
            }
        }
    }

    /// Creates the new document from the stored one, and writes it unless that is refused.
    fn write(&mut self, entry: Result<Entry, Error>) -> Action {
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
        let known = &self.request.draft.in_force;
        let known = known.as_ref().map_or(0, |document| document.revision);
        let in_force = revision.max(known);
        // A store that was restored from a backup may hold the same text while the balancers have a
        // later revision with another text in force.
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
                self.state = State::ReadingConflict;
                let after = Duration::ZERO;
                Action::Read { after }
            }
            Err(Error::Unknown) => {
                self.state = State::ReadingBack(base, 1);
                let after = Duration::ZERO;
                Action::Read { after }
            }
            Err(error) => self.done(Verdict::Refused(error.into())),
        }
    }

    /// Determines the outcome from a read after the answer to the write was lost.
    fn resolve(&mut self, base: Base, tried: u32, entry: Result<Entry, Error>) -> Action {
        let change = self.request.draft.change;
        let finding = entry.map_or(Finding::Undecided, |e| read_back::find(change, base, &e));
        match finding {
            Finding::Accepted { revision } => self.done(Verdict::Accepted { revision }),
            Finding::Superseded { theirs } => {
                let theirs = Some(theirs);
                self.done(Verdict::Conflict { theirs })
            }
            Finding::Undecided => match self.request.read_back.pause(tried, &mut self.random) {
                Some(after) => {
                    self.state = State::ReadingBack(base, tried + 1);
                    Action::Read { after }
                }
                None => self.done(Verdict::Unknown { change }),
            },
        }
    }

    fn done(&mut self, verdict: Verdict) -> Action {
        self.state = State::Done;
        Action::Done(verdict)
    }
}
