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
    ///
    /// ```
    /// use acacia_config::{Config, document::{Document, Draft, Id}};
    /// use acacia_rollout::Version;
    /// let draft = Draft {
    ///     change: Id::new(7),
    ///     author: "aino".into(),
    ///     time: 1_800_000_000,
    ///     config: Config::default(),
    ///     in_force: None,
    /// };
    /// let document = Document::follow(None, &draft)?;
    /// assert_eq!(Version::of(&document), Version { revision: 1, change: Id::new(7) });
    /// # Ok::<(), acacia_config::document::Error>(())
    /// ```
    #[must_use]
    pub fn of(document: &Document) -> Self {
        Version {
            revision: document.revision,
            change: document.change,
        }
    }
}
