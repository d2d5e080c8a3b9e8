//! The servers of the snapshot by index and by cookie.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use super::Record;
use crate::{
    cookie::{Cookie, VARIANTS},
    snapshot::{Cookies, Server},
};

/// What the removal of a server changes for others.
#[derive(Debug, Default)]
pub(super) struct Removal {
    /// The server that has the removed one's index now.
    pub(super) moved: Option<Arc<str>>,
    /// Servers that shared a cookie with the removed one.
    pub(super) shared: Vec<Arc<str>>,
}

/// The servers of the snapshot by index and by cookie.
#[derive(Debug, Clone, Default)]
pub(super) struct Index {
    servers: imbl::Vector<Server>,
    cookies: Cookies,
    /// Cookies that several servers have in common.
    shared: BTreeSet<Cookie>,
}

impl Index {
    /// The servers; shares their memory.
    pub(super) fn servers(&self) -> imbl::Vector<Server> {
        self.servers.clone()
    }

    /// The servers' indexes by cookie; shares their memory.
    pub(super) fn cookies(&self) -> Cookies {
        self.cookies.clone()
    }

    /// The index of the last server.
    pub(super) fn last(&self) -> u32 {
        self.servers.len().saturating_sub(1) as u32
    }

    /// Replaces the server at an index.
    pub(super) fn set(&mut self, position: u32, server: Server) {
        self.servers.set(position as usize, server);
    }

    /// Adds a server. Returns those with which it shares a cookie.
    pub(super) fn push(
        &mut self,
        server: Server,
        known: &Record,
        others: &BTreeMap<Arc<str>, Record>,
    ) -> Vec<Arc<str>> {
        self.servers.push_back(server);
        let position = self.last();
        let mut sharing = Vec::new();
        for cookie in known.cookies {
            let Some(holder) = self.cookies.get(&cookie).copied() else {
                self.cookies.insert(cookie, position);
                continue;
            };
            let holder = Arc::clone(&self.servers[holder as usize].id);
            let is_older = |other: &Record| known.seniority() < other.seniority();
            if others.get(&holder).is_some_and(is_older) {
                self.cookies.insert(cookie, position);
            }
            self.shared.insert(cookie);
            sharing.push(holder);
        }
        sharing
    }

    /// The first cookie that no other server has. If all are shared, the older server gets the flow. This
    /// does not occur in any realistic fleet.
    pub(super) fn unshared(&self, cookies: &[Cookie; VARIANTS as usize]) -> Cookie {
        let mut own = cookies.iter();
        let unshared = own.find(|cookie| !self.shared.contains(cookie));
        unshared.copied().unwrap_or(cookies[0])
    }

    /// Removes a server; the last one takes its index. `others` are the servers that stay.
    pub(super) fn remove(
        &mut self,
        position: u32,
        cookies: &[Cookie; VARIANTS as usize],
        others: &BTreeMap<Arc<str>, Record>,
    ) -> Removal {
        let mut removal = Removal::default();
        for cookie in cookies {
            if self.cookies.get(cookie) == Some(&position) {
                self.cookies.remove(cookie);
            }
            if self.shared.contains(cookie) {
                removal.shared.extend(self.hand_over(*cookie, others));
            }
        }
        let last = self.last();
        if position != last {
            let moved = self.servers[last as usize].clone();
            for variant in 0..VARIANTS {
                let cookie = Cookie::of(&moved.id, variant);
                if self.cookies.get(&cookie) == Some(&last) {
                    self.cookies.insert(cookie, position);
                }
            }
            removal.moved = Some(Arc::clone(&moved.id));
            self.set(position, moved);
        }
        self.servers.pop_back();
        removal
    }

    /// Gives a shared cookie to the oldest of the servers that have it, and returns them. Visits all
    /// servers, but hardly any cookie is shared.
    fn hand_over(&mut self, cookie: Cookie, others: &BTreeMap<Arc<str>, Record>) -> Vec<Arc<str>> {
        let sharing = others
            .values()
            .filter(|known| known.cookies.contains(&cookie));
        let mut sharing: Vec<&Record> = sharing.filter(|known| known.position.is_some()).collect();
        sharing.sort_by_key(|known| known.seniority());
        if let Some(position) = sharing.first().and_then(|oldest| oldest.position) {
            self.cookies.insert(cookie, position);
        }
        if sharing.len() < 2 {
            self.shared.remove(&cookie);
        }
        let ids = sharing.iter().map(|known| Arc::clone(&known.server.id));
        ids.collect()
    }
}
