//! What reading back tells about a write whose answer was lost.

use acacia_config::document::{Document, HISTORY, Id};

use super::Base;
use crate::store::Entry;

/// What the key tells.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum Finding {
    /// The change took effect.
    Accepted {
        /// The revision that it made.
        revision: u64,
    },
    /// The key has moved on without the change, which names the old revision and so can't take
    /// effect any more.
    Lost {
        /// What is in force instead.
        theirs: Box<Document>,
    },
    /// Neither: the write may still be on its way, or the history does not reach back.
    Open,
}

/// Concludes from the key whether the change written over `base` took effect.
pub(super) fn find(change: Id, base: Base, entry: &Entry) -> Finding {
    let Some(document) = decode(entry) else {
        return Finding::Open;
    };
    if let Some(revision) = document.revision_of(change) {
        return Finding::Accepted { revision };
    }
    if entry.revision > base.key && reaches(&document, base) {
        let theirs = Box::new(document);
        return Finding::Lost { theirs };
    }
    Finding::Open
}

/// The document that the key holds, if it is one.
pub(super) fn decode(entry: &Entry) -> Option<Document> {
    Document::decode(entry.value.as_deref()?).ok()
}

/// Whether the history names every change since `base`: a change that is not in it was not made.
fn reaches(document: &Document, base: Base) -> bool {
    let records = document.records();
    match base.document {
        0 => records.len() < HISTORY,
        revision => records.iter().any(|record| record.revision == revision),
    }
}
