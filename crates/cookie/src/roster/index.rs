//! The servers of the snapshot by index and by cookie.

use std::{collections::BTreeMap, sync::Arc};

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
    /// Servers whose cookies may have changed.
    pub(super) shared: Vec<Arc<str>>,
}

/// A change of the server to which a cookie leads that several servers have, or of whether several may have
/// flows with it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Election {
    /// The cookie.
    pub cookie: Cookie,
    /// The server to which it leads now.
    pub holder: Arc<str>,
    /// All known servers that have it.
    pub servers: Vec<Arc<str>>,
    /// Whether several of them may have flows with it. New flows get another cookie then.
    pub is_contested: bool,
}

/// The known servers that have one cookie.
#[derive(Debug, Clone, Default)]
struct Sharing {
    servers: Vec<Arc<str>>,
    /// Whether several of them may have flows with it.
    is_contested: bool,
}

/// The servers of the snapshot by index and by cookie.
#[derive(Debug, Clone, Default)]
pub(super) struct Index {
    servers: imbl::Vector<Server>,
    cookies: Cookies,
    /// The cookies that several servers have in common.
    shared: BTreeMap<Cookie, Sharing>,
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

    /// Replaces the server at an index.
    pub(super) fn set(&mut self, position: u32, server: Server) {
        self.servers.set(position as usize, server);
    }

    /// Adds a server and returns its index. Where it shares a cookie, [`Index::elect`] decides who keeps
    /// it.
    pub(super) fn push(&mut self, server: Server, cookies: &[Cookie]) -> u32 {
        let position = self.servers.len() as u32;
        let id = Arc::clone(&server.id);
        self.servers.push_back(server);
        for cookie in cookies {
            let Some(holder) = self.cookies.get(cookie) else {
                self.cookies.insert(*cookie, position);
                continue;
            };
            let holder = Arc::clone(&self.servers[*holder as usize].id);
            let sharing = self.shared.entry(*cookie).or_default();
            if sharing.servers.is_empty() {
                sharing.servers.push(holder);
            }
            sharing.servers.push(Arc::clone(&id));
        }
        position
    }

    /// Gives each of the cookies that several servers have to the first of these in rank. Returns those for
    /// which anything has changed.
    pub(super) fn elect(
        &mut self,
        cookies: &[Cookie],
        known: &BTreeMap<Arc<str>, Record>,
    ) -> Vec<Election> {
        let mut elections = Vec::new();
        if self.shared.is_empty() {
            return elections;
        }
        for cookie in cookies {
            let Some(sharing) = self.shared.get_mut(cookie) else {
                continue;
            };
            let records = || sharing.servers.iter().filter_map(|id| known.get(id));
            let is_contested = records().filter(|record| !record.has_ended).count() > 1;
            let first = records().min_by_key(|record| record.rank());
            let first = first.and_then(|first| Some((first, first.position?)));
            let Some((first, position)) = first else {
                continue;
            };
            let before = self.cookies.insert(*cookie, position);
            if before != Some(position) || sharing.is_contested != is_contested {
                sharing.is_contested = is_contested;
                elections.push(Election {
                    cookie: *cookie,
                    holder: Arc::clone(&first.server.id),
                    servers: sharing.servers.clone(),
                    is_contested,
                });
            }
        }
        elections
    }

    /// The servers to which contested cookies lead.
    pub(super) fn contested_holders(&self) -> impl Iterator<Item = &Arc<str>> {
        let contested = self
            .shared
            .iter()
            .filter(|(_, sharing)| sharing.is_contested);
        contested.filter_map(|(cookie, _)| {
            let position = *self.cookies.get(cookie)?;
            self.servers.get(position as usize).map(|server| &server.id)
        })
    }

    /// The first cookie that no other server has. If all are contested, the first server in rank gets the
    /// flow. This does not occur in any realistic fleet.
    pub(super) fn own_cookie(&self, cookies: &[Cookie; VARIANTS as usize]) -> Cookie {
        let is_contested = |cookie: &&Cookie| {
            let sharing = self.shared.get(*cookie);
            sharing.is_some_and(|sharing| sharing.is_contested)
        };
        let own = cookies.iter().find(|cookie| !is_contested(cookie));
        own.copied().unwrap_or(cookies[0])
    }

    /// Removes a server; the last one takes its index. `others` are the servers that stay.
    pub(super) fn remove(
        &mut self,
        position: u32,
        cookies: &[Cookie],
        others: &BTreeMap<Arc<str>, Record>,
    ) -> Removal {
        let mut removal = Removal::default();
        let removed = Arc::clone(&self.servers[position as usize].id);
        for cookie in cookies {
            if self.cookies.get(cookie) == Some(&position) {
                self.cookies.remove(cookie);
            }
            let Some(sharing) = self.shared.get_mut(cookie) else {
                continue;
            };
            sharing.servers.retain(|id| *id != removed);
            removal.shared.extend(sharing.servers.iter().cloned());
            self.elect(&[*cookie], others);
            if self.shared[cookie].servers.len() < 2 {
                self.shared.remove(cookie);
            }
        }
        let last = self.servers.len() as u32 - 1;
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
}
