//! The store's entries of one kind, by name.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use crate::Item;

/// An entry, and its place in the order in which entries changed here.
#[derive(Debug, Clone)]
struct Entry<T> {
    item: Item<Option<T>>,
    edit: u64,
}

/// Entries of one kind, each with the revision of its last change. A removed entry is kept as a
/// tombstone, without a value, so that a delayed message doesn't restore it; see
/// [`Entries::drop_tombstones`].
///
/// Two indexes make the cost of looking up changes independent of the number of entries that did not
/// change.
#[derive(Debug, Clone)]
pub(crate) struct Entries<T> {
    items: BTreeMap<Arc<str>, Entry<T>>,
    by_revision: BTreeSet<(u64, Arc<str>)>,
    by_edit: BTreeMap<u64, Arc<str>>,
    /// The number of the last change.
    edit: u64,
}

impl<T> Default for Entries<T> {
    fn default() -> Self {
        Entries {
            items: BTreeMap::new(),
            by_revision: BTreeSet::new(),
            by_edit: BTreeMap::new(),
            edit: 0,
        }
    }
}

impl<T: Clone> Entries<T> {
    pub(crate) fn iter(&self) -> impl Iterator<Item = (&Arc<str>, &Item<Option<T>>)> {
        self.items.iter().map(|(name, entry)| (name, &entry.item))
    }

    pub(crate) fn contains(&self, name: &str) -> bool {
        self.items.contains_key(name)
    }

    /// The entries whose last change is after `revision`, in order of their revisions.
    pub(crate) fn since(
        &self,
        revision: u64,
    ) -> impl Iterator<Item = (&Arc<str>, &Item<Option<T>>)> {
        let first = (revision.saturating_add(1), Arc::from(""));
        let later = self.by_revision.range(first..);
        later.filter_map(|(_, name)| self.named(name))
    }

    /// The number of the last change, in the order in which changes were applied here.
    pub(crate) const fn last_edit(&self) -> u64 {
        self.edit
    }

    /// The entries that changed here after the change numbered `edit`.
    pub(crate) fn edited_since(
        &self,
        edit: u64,
    ) -> impl Iterator<Item = (&Arc<str>, &Item<Option<T>>)> {
        let later = self.by_edit.range(edit.saturating_add(1)..);
        later.filter_map(|(_, name)| self.named(name))
    }

    fn named(&self, name: &Arc<str>) -> Option<(&Arc<str>, &Item<Option<T>>)> {
        let (name, entry) = self.items.get_key_value(name)?;
        Some((name, &entry.item))
    }

    /// Sets an entry; returns false if the known revision is the same or newer.
    pub(crate) fn set(&mut self, name: Arc<str>, revision: u64, value: Option<T>) -> bool {
        let known = self.items.get(&name);
        if known.is_some_and(|entry| entry.item.revision >= revision) {
            return false;
        }
        self.put(name, Item { revision, value });
        true
    }

    fn put(&mut self, name: Arc<str>, item: Item<Option<T>>) {
        self.edit += 1;
        let (revision, edit) = (item.revision, self.edit);
        if let Some(old) = self.items.insert(Arc::clone(&name), Entry { item, edit }) {
            self.unindex(&name, &old);
        }
        self.by_revision.insert((revision, Arc::clone(&name)));
        self.by_edit.insert(edit, name);
    }

    fn unindex(&mut self, name: &Arc<str>, entry: &Entry<T>) {
        self.by_revision
            .remove(&(entry.item.revision, Arc::clone(name)));
        self.by_edit.remove(&entry.edit);
    }

    /// Removes the entries, as of `revision`, whose names are not in `listed`. Entries that changed
    /// after `revision` stay. Returns whether any entry was removed.
    pub(crate) fn remove_unlisted(&mut self, mut listed: Vec<Arc<str>>, revision: u64) -> bool {
        listed.sort_unstable();
        let is_removed = |name: &Arc<str>, item: &Item<Option<T>>| {
            let present = item.value.is_some() && item.revision <= revision;
            present && listed.binary_search(name).is_err()
        };
        let removed = self.iter().filter(|(name, item)| is_removed(name, item));
        let removed: Vec<Arc<str>> = removed.map(|(name, _)| Arc::clone(name)).collect();
        for name in &removed {
            let value = None;
            self.put(Arc::clone(name), Item { revision, value });
        }
        !removed.is_empty()
    }

    /// Drops the tombstones of entries that were removed at or before `revision`.
    pub(crate) fn drop_tombstones(&mut self, revision: u64) {
        let is_dropped = |item: &Item<Option<T>>| item.value.is_none() && item.revision <= revision;
        let dropped = self.iter().filter(|(_, item)| is_dropped(item));
        let dropped: Vec<Arc<str>> = dropped.map(|(name, _)| Arc::clone(name)).collect();
        for name in dropped {
            if let Some(old) = self.items.remove(&name) {
                self.unindex(&name, &old);
            }
        }
    }
}
