//! The document in the platform's store: under one key, the configuration in force, its author and
//! a short history.

mod id;

use std::{collections::BTreeMap, sync::Arc};

use acacia_code::Code;
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::{Config, Invalid, Service, parse, print};

pub use id::Id;

/// The key that holds the document.
pub const KEY: &str = "acaciatrack/config";
/// Maximum size of a document in bytes: the store accepts values of up to a megabyte.
pub const MAX_SIZE: usize = 1 << 20;
/// Number of changes in the history. A writer that got no answer looks for its change here; it
/// fails to find it only if this many other changes were accepted before it could read back.
pub const HISTORY: usize = 64;
/// The low bits of an instance number count the services that one change creates.
const INSTANCE_BITS: u32 = 16;
/// Upper bound of revisions, which a change each second would reach only after millions of years. A
/// higher revision is corrupt; accepting it would leave no revisions for later changes.
const REVISION_END: u64 = 1 << (u64::BITS - INSTANCE_BITS);

/// The document. It is written as a whole, by compare-and-swap.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Document {
    /// Increases with each accepted change; a balancer never goes back to a lower one.
    pub revision: u64,
    /// The change that made this revision.
    pub change: Id,
    /// Who made the change.
    pub author: Arc<str>,
    /// When it was made, in seconds of Unix time by the author's clock. For display only.
    pub time: u64,
    /// The configuration in its canonical form.
    pub text: Arc<str>,
    /// The instance number of each service.
    pub instances: BTreeMap<Arc<str>, u64>,
    /// The changes before this one, newest first.
    pub history: Vec<Record>,
}

/// An accepted change.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The revision that the change made.
    pub revision: u64,
    /// The id of the change.
    pub change: Id,
    /// Who made the change.
    pub author: Arc<str>,
    /// When it was made, in seconds of Unix time by the author's clock.
    pub time: u64,
}

/// A change that an operator requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Draft {
    /// The id of the change, drawn at random.
    pub change: Id,
    /// Who makes the change.
    pub author: Arc<str>,
    /// When it is made, in seconds of Unix time.
    pub time: u64,
    /// The configuration after the change.
    pub config: Config,
    /// The document that the balancers have in force, if it is newer than the store's. A store that
    /// was restored from a backup has an older document than the balancers. Without this, every
    /// balancer would ignore a change on top of it as outdated, and services created since the
    /// backup would lose their instance numbers.
    pub in_force: Option<Arc<Document>>,
}

/// Why a document can't be decoded or created.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum Error {
    /// The store's value is not a document.
    #[error("the stored document can't be decoded: {0}")]
    Undecodable(String),
    /// The configuration in the document is invalid.
    #[error("the stored configuration has {0}")]
    Invalid(#[from] Invalid),
    /// The document is too large for the store. It is never truncated.
    #[error("the document has {size} bytes; the store accepts at most {MAX_SIZE}")]
    TooLarge {
        /// Its size in bytes.
        size: usize,
    },
}

impl Error {
    /// The result code of the error.
    #[must_use]
    pub const fn code(&self) -> Code {
        match self {
            Error::Undecodable(_) => Code::DocumentUndecodable,
            Error::Invalid(_) => Code::ConfigInvalid,
            Error::TooLarge { .. } => Code::ConfigTooLarge,
        }
    }
}

impl Document {
    /// The document that replaces the store's `before` when the draft is accepted.
    ///
    /// # Errors
    /// If the draft's configuration is invalid, the configuration in the previous document is, or
    /// the new document is too large or its revision out of range.
    ///
    /// ```
    /// use acacia_config::{Config, document::{Document, Draft, Id}};
    /// let draft = Draft {
    ///     change: Id::new(7),
    ///     author: "aino".into(),
    ///     time: 1_800_000_000,
    ///     config: Config::default(),
    ///     in_force: None,
    /// };
    /// let first = Document::follow(None, &draft)?;
    /// let second = Document::follow(Some(&first), &Draft { change: Id::new(8), ..draft })?;
    /// assert_eq!((first.revision, second.revision), (1, 2));
    /// assert!(second.contains(Id::new(7)));
    /// # Ok::<(), acacia_config::document::Error>(())
    /// ```
    pub fn follow(before: Option<&Document>, draft: &Draft) -> Result<Self, Error> {
        let problems = crate::check(&draft.config);
        if !problems.is_empty() {
            return Err(Invalid { problems }.into());
        }
        let known = [before, draft.in_force.as_deref()];
        let before = known.into_iter().flatten().max_by_key(|d| d.revision);
        let last = before.map_or(0, |document| document.revision);
        let revision = in_range(last.saturating_add(1))?;
        let document = Document {
            revision,
            change: draft.change,
            author: Arc::clone(&draft.author),
            time: draft.time,
            text: print(&draft.config).into(),
            instances: instances(before, &draft.config, revision)?,
            history: before.map_or_else(Vec::new, Document::records),
        };
        let size = document.encode().len();
        if size > MAX_SIZE {
            return Err(Error::TooLarge { size });
        }
        Ok(document)
    }

    /// Encodes the document as the store's value.
    #[must_use]
    pub fn encode(&self) -> String {
        serde_json::to_string(self).expect("strings and numbers can always be encoded")
    }

    /// Decodes the store's value.
    ///
    /// # Errors
    /// If it is not a document, or its revision is out of range.
    pub fn decode(value: &str) -> Result<Self, Error> {
        let document: Self =
            serde_json::from_str(value).map_err(|error| Error::Undecodable(error.to_string()))?;
        in_range(document.revision)?;
        Ok(document)
    }

    /// The configuration in the document.
    ///
    /// # Errors
    /// If it is invalid, for instance because a later version of the program wrote it.
    pub fn config(&self) -> Result<Config, Error> {
        Ok(parse(&self.text)?)
    }

    /// Whether a change is this one or in the history.
    #[must_use]
    pub fn contains(&self, change: Id) -> bool {
        self.change == change || self.history.iter().any(|record| record.change == change)
    }

    /// The revision that a change made; `None` if it is neither this one nor in the history.
    #[must_use]
    pub fn revision_of(&self, change: Id) -> Option<u64> {
        let record = self.records().into_iter().find(|r| r.change == change)?;
        Some(record.revision)
    }

    /// This change and those before it, newest first, at most [`HISTORY`].
    #[must_use]
    pub fn records(&self) -> Vec<Record> {
        let own = Record {
            revision: self.revision,
            change: self.change,
            author: Arc::clone(&self.author),
            time: self.time,
        };
        let earlier = self.history.iter().cloned();
        std::iter::once(own).chain(earlier).take(HISTORY).collect()
    }
}

/// Checks that the revision is below [`REVISION_END`].
fn in_range(revision: u64) -> Result<u64, Error> {
    if revision < REVISION_END {
        return Ok(revision);
    }
    let reason = format!("revision {revision} is out of range");
    Err(Error::Undecodable(reason))
}

/// The instance number of each service. A service keeps its number while its address, port and
/// protocol stay the same. A service that is removed and created again, at the same address or
/// under the same name, gets another number, so that flows of the old one are not taken for flows
/// of the new one. The number contains the revision that created the service, and revisions are
/// never reused.
fn instances(
    before: Option<&Document>,
    config: &Config,
    revision: u64,
) -> Result<BTreeMap<Arc<str>, u64>, Error> {
    let old = before
        .map(Document::config)
        .transpose()?
        .unwrap_or_default();
    let kept = |service: &Service| {
        let same = old.service(&service.name)?.has_same_endpoint(service);
        let number = before?.instances.get(&service.name)?;
        same.then_some(*number)
    };
    let numbered = (0..).zip(config.services()).map(|(ordinal, service)| {
        let new_number = (revision << INSTANCE_BITS) | ordinal;
        (
            Arc::clone(&service.name),
            kept(service).unwrap_or(new_number),
        )
    });
    Ok(numbered.collect())
}
