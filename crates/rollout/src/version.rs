use acacia_config::document::{Document, Id};
use serde::{Deserialize, Serialize};

/// The version of a document, by which documents are ordered.
///
/// The revision increases with each accepted change. The change's id orders two documents with the
/// same revision, which can only arise when the store was restored from a backup. Without it,
/// balancers could have different documents in force permanently.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Version {
    /// The revision of the document.
    pub revision: u64,
    /// The id of the change that created the document.
    pub change: Id,
}

impl Version {
    /// Returns the version of a document.
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
