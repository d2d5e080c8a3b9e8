//! What travels to and from the key-value service.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::transport::Consistency;

/// Largest value that the service holds, in bytes.
pub const MAX_VALUE: usize = 1 << 20;

/// What the service holds under a key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// The service-wide revision of the write that made it; 0 for a key that was never written.
    pub revision: u64,
    /// The value; none for a key that was never written or that was removed.
    pub value: Option<Arc<str>>,
}

impl Entry {
    /// A key that was never written.
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
    /// The value to write; none removes the key.
    pub value: Option<Arc<str>>,
    /// The lease with which the key goes away.
    pub lease: Option<Lease>,
}

/// The service's definite answer to a [`Swap`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// The write took effect.
    Written {
        /// The key's new revision.
        revision: u64,
    },
    /// Nothing was written: the key has another revision than expected.
    Conflict {
        /// The revision that the key has.
        revision: u64,
    },
}

/// The number of a lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Lease(pub u64);

/// Why the service refuses a call. A refused call has had no effect.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Refusal {
    /// The value is longer than [`MAX_VALUE`].
    TooLarge,
    /// The lease has lapsed or was revoked.
    LeaseGone,
}

/// An item of a range.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Item {
    /// Its key.
    pub key: Arc<str>,
    /// Its value.
    pub value: Arc<[u8]>,
    /// The store's revision of its last change.
    pub revision: u64,
}

/// A part of a range, in the order of keys.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Page {
    /// The items.
    pub items: Vec<Item>,
    /// Whether there are more behind the last.
    pub more: bool,
    /// The store's revision.
    pub revision: u64,
}

impl Page {
    /// The revision up to which a reading that begins with this page is complete. Of one that may be old
    /// only the items themselves tell how old.
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

/// What happened to a key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Event {
    /// The key.
    pub key: Arc<str>,
    /// The store's revision that made the change.
    pub revision: u64,
    /// The value since; none if the key was removed.
    pub value: Option<Arc<[u8]>>,
}

/// What happened after a revision.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Events {
    /// The changes.
    pub events: Vec<Event>,
    /// The revision to go on from.
    pub revision: u64,
}
