//! What the platform's store holds: one key with the configuration in force, who put it there,
//! and a short history.

mod id;

use std::{collections::BTreeMap, sync::Arc};

use acacia_code::Code;
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::{Config, Invalid, Service, parse, print};

pub use id::Id;

/// The key that holds the document.
pub const KEY: &str = "acaciatrack/config";
/// Largest document, in bytes: the store holds values up to a megabyte.
pub const MAX_SIZE: usize = 1 << 20;
/// Changes that the history keeps. A writer whose answer was lost looks for its change here; it
/// is lost only if so many other changes were accepted before it could read back.
pub const HISTORY: usize = 64;
/// Services that one change may create: the low bits of an instance number.
const INSTANCE_BITS: u32 = 16;
/// No revision reaches this: it would take changes each second for millions of years. A higher one
/// is damage, and taking it would put every later change out of reach.
const REVISION_END: u64 = 1 << (u64::BITS - INSTANCE_BITS);

/// The document. It is written whole, by compare-and-swap.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Document {
    /// Rises with each accepted change; a balancer never goes back to a lower one.
    pub revision: u64,
    /// The change that made this revision.
    pub change: Id,
    /// Who made it.
    pub author: Arc<str>,
    /// When, in seconds of Unix time by the author's clock. For people only.
    pub time: u64,
    /// The configuration in its canonical form.
    pub text: Arc<str>,
    /// The instance number of each service.
    pub instances: BTreeMap<Arc<str>, u64>,
    /// The changes before, newest first.
    pub history: Vec<Record>,
}

/// A change that was accepted.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The revision that it made.
    pub revision: u64,
    /// Its own number.
    pub change: Id,
    /// Who made it.
    pub author: Arc<str>,
    /// When, in seconds of Unix time by the author's clock.
    pub time: u64,
}

/// A change that an operator wants.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Draft {
    /// Its own number, drawn at random.
    pub change: Id,
    /// Who makes it.
    pub author: Arc<str>,
    /// When, in seconds of Unix time.
    pub time: u64,
    /// The configuration wanted.
    pub config: Config,
    /// What the balancers have in force, where it is newer than what the store holds. A store that
    /// was restored from a backup is behind them: a change numbered from there would be ignored
    /// as old by every balancer, and services created since would lose their instances.
    pub in_force: Option<Arc<Document>>,
}

/// Why a document can't be read or made.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum Error {
    /// The store's value is no document.
    #[error("the stored document can't be decoded: {0}")]
    Undecodable(String),
    /// The text within the document is no configuration.
    #[error("the stored configuration has {0}")]
    Invalid(#[from] Invalid),
    /// The document would not fit into the store. It is never cut.
    #[error("the document has {size} bytes, the store holds {MAX_SIZE}")]
    TooLarge {
        /// Its size in bytes.
        size: usize,
    },
}

impl Error {
    /// The error's row in the table of result codes.
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
    /// The document that follows the store's `before` when the draft is accepted.
    ///
    /// # Errors
    /// When the draft has problems, `before` can't be understood or the outcome is too large.
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

    /// The document as the store's value.
    #[must_use]
    pub fn encode(&self) -> String {
        serde_json::to_string(self).expect("strings and numbers can always be encoded")
    }

    /// Reads the store's value.
    ///
    /// # Errors
    /// When it is no document.
    pub fn decode(value: &str) -> Result<Self, Error> {
        let document: Self =
            serde_json::from_str(value).map_err(|error| Error::Undecodable(error.to_string()))?;
        in_range(document.revision)?;
        Ok(document)
    }

    /// The configuration within.
    ///
    /// # Errors
    /// When the text has problems, for instance because a later version wrote it.
    pub fn config(&self) -> Result<Config, Error> {
        Ok(parse(&self.text)?)
    }

    /// Whether a change was accepted, as far as the history reaches.
    #[must_use]
    pub fn contains(&self, change: Id) -> bool {
        self.change == change || self.history.iter().any(|record| record.change == change)
    }

    /// The revision that a change made, as far as the history reaches.
    #[must_use]
    pub fn revision_of(&self, change: Id) -> Option<u64> {
        let record = self.records().into_iter().find(|r| r.change == change)?;
        Some(record.revision)
    }

    /// This change and those before it, newest first, as many as the history keeps.
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

/// The revision, unless it is out of any sensible range.
fn in_range(revision: u64) -> Result<u64, Error> {
    if revision < REVISION_END {
        return Ok(revision);
    }
    let reason = format!("revision {revision} is out of range");
    Err(Error::Undecodable(reason))
}

/// The instance of each service. A service keeps its number for as long as its address, port and
/// protocol stay. One that was removed and is created later, on the same address or under the
/// same name, gets another: flows of the old one must not be taken for flows of the new one. The
/// number comes from the revision that created the service, and revisions are never used twice.
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
        let fresh = (revision << INSTANCE_BITS) | ordinal;
        (Arc::clone(&service.name), kept(service).unwrap_or(fresh))
    });
    Ok(numbered.collect())
}
