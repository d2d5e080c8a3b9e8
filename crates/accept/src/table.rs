use std::{net::IpAddr, time::Duration};

use acacia_wire::collections::Map;

/// How many connections a listener keeps, and for how long.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Pending connections at a time.
    pub pending: usize,
    /// Active connections at a time.
    pub active: usize,
    /// How long a connection may stay pending.
    pub pending_timeout: Duration,
    /// How long an active connection may go without a valid message.
    pub idle_timeout: Duration,
    /// An active connection without a valid message for this long gives way to one that becomes
    /// active when there are [`Limits::active`] of them.
    pub stalled_after: Duration,
}

/// A connection that was let in.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Admission {
    /// The number of the connection.
    pub id: u64,
    /// A pending connection to close for it.
    pub displaced: Option<u64>,
}

/// What a valid message on a connection leads to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Activation {
    /// The connection is active.
    Active,
    /// It is active, and the stalled connection of this number is to be closed for it.
    Displaced(u64),
    /// All others are active and none is stalled: close this one.
    Refused,
}

/// Decides which connections stay open.
///
/// Load: strangers that open connections by the hundred and say nothing, and peers that were paused,
/// cut off or lost power, whose end never arrives. Harm without it: they hold all places, and no
/// peer is heard any more.
#[derive(Debug)]
pub struct ConnectionTable {
    limits: Limits,
    connections: Map<u64, Connection>,
    last: u64,
}

#[derive(Debug)]
struct Connection {
    from: IpAddr,
    /// When it was accepted, or last carried a valid message.
    since: Duration,
    is_active: bool,
}

impl ConnectionTable {
    /// A table without connections.
    #[must_use]
    pub fn new(limits: Limits) -> Self {
        ConnectionTable {
            limits,
            connections: Map::default(),
            last: 0,
        }
    }

    /// Lets in a connection that was accepted from an address. When there are too many pending ones,
    /// the oldest of the address that has most of them gives way.
    ///
    /// ```
    /// use std::{net::Ipv4Addr, time::Duration};
    /// use acacia_accept::{Admission, Limits, ConnectionTable};
    /// let second = Duration::from_secs(1);
    /// let limits = Limits {
    ///     pending: 1, active: 1, pending_timeout: second, idle_timeout: second, stalled_after: second,
    /// };
    /// let mut table = ConnectionTable::new(limits);
    /// let first = table.admit(Ipv4Addr::LOCALHOST.into(), Duration::ZERO);
    /// let second = table.admit(Ipv4Addr::LOCALHOST.into(), Duration::ZERO);
    /// assert_eq!(second.displaced, Some(first.id));
    /// ```
    pub fn admit(&mut self, from: IpAddr, now: Duration) -> Admission {
        let displaced = if self.count(false) >= self.limits.pending {
            self.oldest_of_most_frequent()
        } else {
            None
        };
        if let Some(displaced) = displaced {
            self.connections.remove(&displaced);
        }
        self.last += 1;
        let connection = Connection {
            from,
            since: now,
            is_active: false,
        };
        self.connections.insert(self.last, connection);
        Admission {
            id: self.last,
            displaced,
        }
    }

    /// Takes in that a valid message came over a connection. Refused connections are forgotten, as
    /// are those that were displaced before.
    pub fn activate(&mut self, id: u64, now: Duration) -> Activation {
        let Some(connection) = self.connections.get_mut(&id) else {
            return Activation::Refused;
        };
        connection.since = now;
        if connection.is_active {
            return Activation::Active;
        }
        if self.count(true) < self.limits.active {
            self.set_active(id);
            return Activation::Active;
        }
        match self.stalled(now) {
            Some(stalled) => {
                self.connections.remove(&stalled);
                self.set_active(id);
                Activation::Displaced(stalled)
            }
            None => {
                self.connections.remove(&id);
                Activation::Refused
            }
        }
    }

    /// Takes in that nothing is under way on a connection any more: it is pending again.
    pub fn finish(&mut self, id: u64, now: Duration) {
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.since = now;
            connection.is_active = false;
        }
    }

    /// Forgets a connection that has ended.
    pub fn remove(&mut self, id: u64) {
        self.connections.remove(&id);
    }

    /// When a connection is to be closed if it carries no valid message before; none if it is gone.
    #[must_use]
    pub fn deadline(&self, id: u64) -> Option<Duration> {
        let connection = self.connections.get(&id)?;
        let longest = if connection.is_active {
            self.limits.idle_timeout
        } else {
            self.limits.pending_timeout
        };
        Some(connection.since + longest)
    }

    /// Connections that are active, or that are not.
    #[must_use]
    pub fn count(&self, is_active: bool) -> usize {
        let connections = self.connections.values();
        connections.filter(|one| one.is_active == is_active).count()
    }

    fn set_active(&mut self, id: u64) {
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.is_active = true;
        }
    }

    /// One address that opens many connections can't displace those of others.
    fn oldest_of_most_frequent(&self) -> Option<u64> {
        let pending = || self.connections.iter().filter(|(_, one)| !one.is_active);
        let mut counts: Map<IpAddr, usize> = Map::default();
        for (_, connection) in pending() {
            *counts.entry(connection.from).or_default() += 1;
        }
        let most = counts.values().max().copied()?;
        let candidates = pending().filter(|(_, one)| counts[&one.from] == most);
        candidates.map(|(id, _)| *id).min()
    }

    /// The active connection that has been without a valid message for longest, if that is too long.
    fn stalled(&self, now: Duration) -> Option<u64> {
        let active = self.connections.iter().filter(|(_, one)| one.is_active);
        let (id, oldest) = active.min_by_key(|(id, one)| (one.since, **id))?;
        let is_stalled = now.saturating_sub(oldest.since) >= self.limits.stalled_after;
        is_stalled.then_some(*id)
    }
}
