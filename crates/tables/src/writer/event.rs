//! What goes into a writer and comes out.

use std::sync::Arc;

use crate::document::Document;

/// A time, by both clocks.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Moment {
    /// Milliseconds of the monotonic clock that goes on while the process is frozen.
    pub monotonic: u64,
    /// Seconds of Unix time; deadlines of drains are given in it.
    pub unix: u64,
}

/// What to do now.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Nothing.
    Idle,
    /// Read the key, pass the entry to [`saw_store`](crate::Writer::saw_store), then [`Answer::Read`] to
    /// [`answered`](crate::Writer::answered).
    Read,
    /// Write by compare-and-swap, and pass the outcome to [`answered`](crate::Writer::answered).
    Write {
        /// The revision that the key must have; 0 for one that must not exist.
        expected: u64,
        /// What to write.
        document: Arc<Document>,
    },
}

/// How a call ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Answer {
    /// The write took effect.
    Written {
        /// The key's new revision.
        revision: u64,
    },
    /// The key had another revision; nothing was written.
    Conflict,
    /// The answer to a write was lost: it may have taken effect, or may yet.
    Lost,
    /// The key was read, and the entry passed on.
    Read,
    /// The call was not made, or was a read without an answer. It has had no effect.
    Unreached,
}
