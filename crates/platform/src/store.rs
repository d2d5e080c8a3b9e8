//! The requests and answers of the key-value service.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::transport::Consistency;

/// Maximum size of a value, in bytes.
pub const MAX_VALUE: usize = 1 << 20;

/// The state of a key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// The service-wide revision of the last write of the key; 0 for a key that was never written.
    pub revision: u64,
    /// The value; `None` for a key that was never written or has been removed.
    pub value: Option<Arc<str>>,
}

impl Entry {
    /// The state of a key that was never written.
    pub const ABSENT: Entry = Entry {
        revision: 0,
        value: None,
    };
}

/// A compare-and-swap.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Swap {
    /// The key to write.
    pub key: Arc<str>,
    /// The revision that the key must have for the write to take effect; 0 for a key that must
    /// not exist yet.
    pub expected: u64,
    /// The value to write; `None` removes the key.
    pub value: Option<Arc<str>>,
    /// The lease whose end removes the key, if any.
    pub lease: Option<Lease>,
}

/// The result of a [`Swap`] that the service has processed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// The write took effect.
    Written {
        /// The key's new revision.
        revision: u64,
    },
    /// Nothing was written, as the key does not have the expected revision.
    Conflict {
        /// The revision that the key has.
        revision: u64,
    },
}

/// The id of a lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Lease(pub u64);

/// Why the service refused a call. A refused call has had no effect.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Refusal {
    /// The value is larger than [`MAX_VALUE`].
    TooLarge,
    /// The lease has expired or was revoked.
    LeaseGone,
}

/// An item of a range.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Item {
    /// The key.
    pub key: Arc<str>,
    /// The value.
    pub value: Arc<[u8]>,
    /// The store's revision of the last write of the key.
    pub revision: u64,
    /// The store's revision of the write that created the key; 0 if the store doesn't say.
    pub created: u64,
}

/// A part of a range, ordered by key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Page {
    /// The items.
    pub items: Vec<Item>,
    /// Whether there are items after the last one.
    pub more: bool,
    /// The store's revision as of the answer.
    pub revision: u64,
}

impl Page {
    /// The revision up to which this page is complete. The items of a serializable read may be older
    /// than the store's revision, so only their own revisions count.
    ///
    /// ```
    /// use acacia_platform::{store::Page, transport::Consistency};
    /// let page = Page { items: Vec::new(), more: false, revision: 7 };
    /// assert_eq!(page.complete_to(Consistency::Linearizable), 7);
    /// assert_eq!(page.complete_to(Consistency::Serializable), 0);
    /// ```
    #[must_use]
    pub fn complete_to(&self, consistency: Consistency) -> u64 {
        let newest = self.items.iter().map(|item| item.revision).max();
        match consistency {
            Consistency::Linearizable => self.revision,
            Consistency::Serializable => newest.unwrap_or_default().min(self.revision),
        }
    }
}

/// The pages of a range that have been read so far.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Range {
    /// The items of these pages, ordered by key.
    pub items: Vec<Item>,
    /// The revision up to which all of these pages are complete; `None` before the first one.
    complete_to: Option<u64>,
}

impl Range {
    /// Adds the next page. Returns the key after which the one after it begins, if there is one.
    ///
    /// ```
    /// use acacia_platform::{store::{Page, Range}, transport::Consistency};
    /// let mut range = Range::default();
    /// let page = Page { items: Vec::new(), more: false, revision: 7 };
    /// assert_eq!(range.push(page, Consistency::Linearizable), None);
    /// assert_eq!(range.complete_to(), 7);
    /// ```
    pub fn push(&mut self, page: Page, consistency: Consistency) -> Option<Arc<str>> {
        let complete_to = page.complete_to(consistency);
        // A later page of a serializable read may come from a replica that is further behind.
        let earlier = self.complete_to.unwrap_or(complete_to);
        self.complete_to = Some(earlier.min(complete_to));
        let last = page.items.last().map(|item| Arc::clone(&item.key));
        self.items.extend(page.items);
        last.filter(|_| page.more)
    }

    /// The revision up to which the range is complete; 0 if nothing is known to be.
    #[must_use]
    pub fn complete_to(&self) -> u64 {
        self.complete_to.unwrap_or_default()
    }
}

/// A change of a key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Event {
    /// The key.
    pub key: Arc<str>,
    /// The store's revision of the change.
    pub revision: u64,
    /// The store's revision of the write that created the key; 0 if the store doesn't say or the key was
    /// removed.
    pub created: u64,
    /// The new value; `None` if the key was removed.
    pub value: Option<Arc<[u8]>>,
}

/// The changes after a revision.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Events {
    /// The changes.
    pub events: Vec<Event>,
    /// The revision after which the next call continues.
    pub revision: u64,
}
