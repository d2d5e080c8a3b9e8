//! Entries of the store by name, each with the revision of its last change.

use std::{collections::BTreeMap, sync::Arc};

use crate::Item;

/// Entries of one kind. A removed one is kept without a value, so that a late word doesn't bring it
/// back, until [`Entries::forget`].
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

    /// Sets an entry; false if something as new is known of it.
    pub(crate) fn set(&mut self, name: Arc<str>, revision: u64, value: Option<T>) -> bool {
        let known = self.items.get(&name);
        if known.is_some_and(|item| item.revision >= revision) {
            return false;
        }
        self.items.insert(name, Item { revision, value });
        true
    }

    /// Removes the entries, known up to `revision`, that are not among the `held`; gives whether there
    /// are any.
    pub(crate) fn remove_all_but(&mut self, mut held: Vec<Arc<str>>, revision: u64) -> bool {
        held.sort_unstable();
        let mut changed = false;
        for (name, item) in &mut self.items {
            let present = item.value.is_some() && item.revision <= revision;
            if present && held.binary_search(name).is_err() {
                *item = Item {
                    revision,
                    value: None,
                };
                changed = true;
            }
        }
        changed
    }

    /// Forgets entries that were removed at or before `revision`.
    pub(crate) fn forget(&mut self, revision: u64) {
        self.items
            .retain(|_, item| item.value.is_some() || item.revision > revision);
    }
}
