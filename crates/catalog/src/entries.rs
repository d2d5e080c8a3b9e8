//! The store's entries of one kind, by name.

use std::{collections::BTreeMap, sync::Arc};

use crate::Item;

/// Entries of one kind, each with the revision of its last change. A removed entry is kept as a
/// tombstone, without a value, so that a delayed message doesn't restore it; see
/// [`Entries::drop_tombstones`].
#[derive(Debug, Clone)]
pub(crate) struct Entries<T> {
    items: BTreeMap<Arc<str>, Item<Option<T>>>,
}

impl<T> Default for Entries<T> {
    fn default() -> Self {
        Entries {
            items: BTreeMap::new(),
        }
    }
}

impl<T: Clone> Entries<T> {
    pub(crate) fn iter(&self) -> impl Iterator<Item = (&Arc<str>, &Item<Option<T>>)> {
        self.items.iter()
    }

    pub(crate) fn contains(&self, name: &str) -> bool {
        self.items.contains_key(name)
    }

    /// Sets an entry; returns false if the known revision is the same or newer.
    pub(crate) fn set(&mut self, name: Arc<str>, revision: u64, value: Option<T>) -> bool {
        let known = self.items.get(&name);
        if known.is_some_and(|item| item.revision >= revision) {
            return false;
        }
        self.items.insert(name, Item { revision, value });
        true
    }

    /// Removes the entries, as of `revision`, whose names are not in `listed`. Entries that changed
    /// after `revision` stay. Returns whether any entry was removed.
    pub(crate) fn remove_unlisted(&mut self, mut listed: Vec<Arc<str>>, revision: u64) -> bool {
        listed.sort_unstable();
        let mut changed = false;
        for (name, item) in &mut self.items {
            let present = item.value.is_some() && item.revision <= revision;
            if present && listed.binary_search(name).is_err() {
                *item = Item {
                    revision,
                    value: None,
                };
                changed = true;
            }
        }
        changed
    }

    /// Drops the tombstones of entries that were removed at or before `revision`.
    pub(crate) fn drop_tombstones(&mut self, revision: u64) {
        self.items
            .retain(|_, item| item.value.is_some() || item.revision > revision);
    }
}
