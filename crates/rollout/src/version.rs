use acacia_config::document::{Document, Id};
use serde::{Deserialize, Serialize};

/// What orders documents. Revisions rise with each accepted change; the change's id decides
/// between two documents of the same revision, which only a store restored from a backup can
/// bring about. Without it balancers could hold different documents for good.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Version {
    /// The document's revision.
    pub revision: u64,
    /// The change that made it.
    pub change: Id,
}

impl Version {
    /// The version of a document.
    #[must_use]
    pub fn of(document: &Document) -> Self {
        Version {
            revision: document.revision,
            change: document.change,
        }
    }
}
