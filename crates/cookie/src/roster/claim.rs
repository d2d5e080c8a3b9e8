//! Claims to cookies that several servers have, exchanged between balancers.
//!
//! When leases lapse, the entries of living servers are created anew, in any order. A balancer that starts
//! then learns from the store neither which of two servers with one cookie is older, nor of one whose entry is
//! still missing. Balancers that have seen the servers before tell it.

use std::{sync::Arc, time::Duration};

use acacia_catalog::server::Server;

use super::{Record, Roster};

/// The right of a server to a cookie that others have too, as a balancer has seen it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Claim {
    /// The server to which the cookie leads, as its entry last described it.
    pub server: Arc<Server>,
    /// The store's revision at which its entry was first created.
    pub created: u64,
    /// How long its entry has been missing; `None` if it exists, or another writer's stands in its place.
    pub missing: Option<Duration>,
}

impl Roster {
    /// The claims to all contested cookies, one each. Nearly always there are none.
    ///
    /// ```
    /// use std::time::Duration;
    /// assert!(acacia_cookie::Roster::default().claims(Duration::ZERO).is_empty());
    /// ```
    #[must_use]
    pub fn claims(&self, now: Duration) -> Vec<Claim> {
        let holders = self.index.contested_holders();
        let claim = |known: &Record| {
            let missing = known.missing.filter(|_| !known.is_overwritten);
            Claim {
                server: Arc::clone(&known.server),
                created: known.created,
                missing: missing.map(|at| now.saturating_sub(at)),
            }
        };
        holders
            .filter_map(|id| self.servers.get(id).map(claim))
            .collect()
    }

    /// Takes over claims of a balancer that knows at least the changes of the store that are known here.
    /// Returns whether any was new. A server that is unknown here is taken for one whose entry has lapsed: it
    /// keeps its flows and gets no new ones.
    ///
    /// ```
    /// use std::time::Duration;
    /// assert!(!acacia_cookie::Roster::default().adopt(Vec::new(), Duration::ZERO));
    /// ```
    pub fn adopt(&mut self, claims: Vec<Claim>, now: Duration) -> bool {
        let adopted = claims
            .into_iter()
            .filter(|claim| self.adopt_one(claim, now));
        adopted.count() > 0
    }

    fn adopt_one(&mut self, claim: &Claim, now: Duration) -> bool {
        let id = &claim.server.id;
        let missing = claim.missing.unwrap_or_default();
        match self.servers.get_mut(id) {
            Some(known) => {
                let is_older = claim.created < known.created;
                if !is_older || !known.is_continued_by(&claim.server) {
                    return false;
                }
                known.created = claim.created;
            }
            None if missing < self.limits.known => {
                let known = Record {
                    missing: Some(now.saturating_sub(missing)),
                    is_expired: true,
                    is_overwritten: claim.missing.is_none(),
                    ..Record::new(&claim.server, claim.created, now)
                };
                self.servers.insert(Arc::clone(id), known);
                self.occupy_address(id, claim.server.address);
            }
            None => return false,
        }
        self.stale.insert(Arc::clone(id));
        true
    }
}
