//! Which flows a server gets, and when that changes by the passage of time alone.

use std::{sync::Arc, time::Duration};

use acacia_catalog::server::State;

use super::{Record, Roster, service::Place};
use crate::{
    cookie,
    snapshot::{Server, Standing},
};

/// Weight factor of a server that has just started, as its first requests take longer.
const COLD_WEIGHT: f64 = 0.6;

impl Roster {
    /// Which flows a server gets at `now`.
    pub(super) fn standing(&self, known: &Record, is_expired: bool, now: Duration) -> Standing {
        let draining = known.server.state == State::Draining;
        let evacuated = self.evacuated.contains(&known.server.data_centre);
        let unreachable = self.lost.contains(&known.server.data_centre);
        let is_silent = self.silent.contains_key(&known.server.id)
            && self.silence_end(known).is_none_or(|end| end <= now);
        if is_silent {
            return Standing::Gone;
        }
        match known.missing {
            None if draining => Standing::Draining,
            None if unreachable => Standing::Unreachable,
            None if evacuated => Standing::Evacuated,
            None => Standing::Ready,
            Some(_) if known.has_left() => Standing::Gone,
            Some(_) if self.is_replaced(known) => Standing::Gone,
            Some(_) if draining => Standing::Draining,
            Some(_) if is_expired => Standing::Lost,
            Some(_) if unreachable => Standing::Unreachable,
            Some(_) if evacuated => Standing::Evacuated,
            Some(_) => Standing::Missing,
        }
    }

    /// Until when a server that is silent keeps its flows, as it may be about to leave; `None` if it isn't
    /// silent, or ends now.
    pub(super) fn silence_end(&self, known: &Record) -> Option<Duration> {
        let since = self.silent.get(&known.server.id)?;
        let drains = known.server.state == State::Draining && !known.has_left();
        drains.then(|| *since + self.limits.draining_silence)
    }

    /// When a server next changes by the passage of time alone.
    pub(super) fn deadline(&self, known: &Record, now: Duration) -> Option<Duration> {
        self.ends(known).filter(|at| *at > now).min()
    }

    /// The times at which a server changes by the passage of time alone.
    pub(super) fn ends(&self, known: &Record) -> impl Iterator<Item = Duration> {
        let expiry = known.missing.filter(|_| !known.is_expired);
        let ends = [
            expiry.map(|at| self.expiry(known, at)),
            known.missing.map(|at| at + self.limits.known),
            Some(known.warm_at),
            Some(known.suspected_until),
            self.silence_end(known),
        ];
        ends.into_iter().flatten()
    }

    /// Where a server stands among those of its service; `None` if it takes no new flows. The position is
    /// filled in by the caller.
    pub(super) fn place(&self, known: &Record, standing: Standing, now: Duration) -> Option<Place> {
        standing.takes_flows().then(|| Place {
            service: Arc::clone(&known.server.service),
            data_centre: Arc::clone(&known.server.data_centre),
            hash: cookie::hash(&known.server.id),
            position: 0,
            slots: known.server.slots.max(1),
            is_ready: standing == Standing::Ready,
            is_cold: self.is_limited(known, now),
        })
    }

    pub(super) fn server(&self, known: &Record, standing: Standing, now: Duration) -> Server {
        let server = &known.server;
        let warmup_factor = if known.warm_at > now {
            COLD_WEIGHT
        } else {
            1.0
        };
        Server {
            id: Arc::clone(&server.id),
            hash: cookie::hash(&server.id),
            cookie: known.cookies[0],
            tag: server.tag,
            address: server.address,
            service: Arc::clone(&server.service),
            data_centre: Arc::clone(&server.data_centre),
            standing,
            slots: server.slots.max(1),
            idle: None,
            failing: false,
            weight: f64::from(server.slots.max(1)) * warmup_factor,
        }
    }

    /// Whether another server now has its address. The old server no longer exists then, and
    /// packets sent there for it are not answered.
    pub(super) fn is_replaced(&self, known: &Record) -> bool {
        let others = self.addresses.get(&known.server.address).into_iter();
        let mut others = others.flatten().filter(|id| **id != known.server.id);
        others.any(|id| {
            let other = self.servers.get(id);
            // A foreign entry may name any address.
            let is_server =
                |other: &Record| !known.is_overwritten || self.is_named(&other.server.service);
            other.is_some_and(|other| other.missing.is_none() && is_server(other))
        })
    }
}
