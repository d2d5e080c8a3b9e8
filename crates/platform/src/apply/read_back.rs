//! Determines from the stored document whether a write with a lost answer took effect.

use acacia_config::document::{Document, HISTORY, Id};

use super::Base;
use crate::store::Entry;

/// What the key shows about the write.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum Finding {
    /// The change took effect.
    Accepted {
        /// The revision of the document that it made.
        revision: u64,
    },
    /// The key has a later revision without the change. As the change expects the old revision, it
    /// can't take effect any more.
    Superseded {
        /// The document in force instead.
        theirs: Box<Document>,
    },
    /// Neither: the write may still be in transit, or the history is too short.
    Undecided,
}

/// Determines from the key whether the change that was to replace `base` took effect.
pub(super) fn find(change: Id, base: Base, entry: &Entry) -> Finding {
    let Some(document) = decode(entry) else {
        return Finding::Undecided;
    };
    if let Some(revision) = document.revision_of(change) {
        return Finding::Accepted { revision };
    }
    if entry.revision > base.key && covers(&document, base) {
        let theirs = Box::new(document);
        return Finding::Superseded { theirs };
    }
    Finding::Undecided
}

/// The document under the key; `None` if there is none or it can't be decoded.
pub(super) fn decode(entry: &Entry) -> Option<Document> {
    Document::decode(entry.value.as_deref()?).ok()
}

/// Whether the history lists every change since `base`, so that a change missing from it was not
/// made.
fn covers(document: &Document, base: Base) -> bool {
    let records = document.records();
    match base.document {
        0 => records.len() < HISTORY,
        revision => records.iter().any(|record| record.revision == revision),
    }
}
