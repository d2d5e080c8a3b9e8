//! The input and output types of a writer.

use std::sync::Arc;

use crate::document::Document;

/// A point in time, by two clocks.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Moment {
    /// Milliseconds of a monotonic clock that continues while the process is stopped.
    pub monotonic: u64,
    /// The Unix time in seconds, used for the deadlines of drains.
    pub unix: u64,
}

/// The call that a writer requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// No call is needed now.
    Idle,
    /// Read the key, pass the entry to [`saw_store`](crate::Writer::saw_store), then pass
    /// [`Answer::Read`] to [`answered`](crate::Writer::answered).
    Read,
    /// Write the key by compare-and-swap, then pass the outcome to
    /// [`answered`](crate::Writer::answered).
    Write {
        /// The revision that the key must have; 0 if the key must not exist.
        expected: u64,
        /// The document to write.
        document: Arc<Document>,
    },
}

/// The outcome of a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Answer {
    /// The write took effect.
    Written {
        /// The key's new revision.
        revision: u64,
    },
    /// The key had another revision; nothing was written.
    Conflict,
    /// The answer to a write was lost. The write may have taken effect, or may still do so.
    Lost,
    /// The key was read, and its entry passed to the writer.
    Read,
    /// The call was not made, or was a read without an answer. It had no effect.
    Unreached,
}
