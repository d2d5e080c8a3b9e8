use std::{net::IpAddr, time::Duration};

use acacia_wire::collections::Map;

/// How many connections a listener keeps open, and for how long.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Maximum number of pending connections.
    pub pending: usize,
    /// Maximum number of active connections.
    pub active: usize,
    /// How long a connection may stay pending before it is closed.
    pub pending_timeout: Duration,
    /// How long an active connection may go without a valid message before it is closed.
    pub idle_timeout: Duration,
    /// How long an active connection has to go without a valid message to count as stalled. When
    /// there are [`Limits::active`] active connections, a stalled one is closed for one that
    /// becomes active.
    pub stalled_after: Duration,
}

/// The result of adding a connection to the table.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Admission {
    /// The id of the connection.
    pub id: u64,
    /// The id of a pending connection to close in exchange.
    pub displaced: Option<u64>,
}

/// The result of a valid message on a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Activation {
    /// The connection is active.
    Active,
    /// The connection is active, and the stalled connection with this id has to be closed.
    Displaced(u64),
    /// The connection has to be closed: it was displaced before, or there are as many active ones
    /// as allowed and none is stalled.
    Refused,
}

/// Decides which connections stay open.
///
/// Unauthenticated hosts may open hundreds of connections and send nothing, and peers that are
/// paused, cut off or without power never close theirs. Without limits such connections would
/// exhaust the listener, and no working peer could connect any more.
#[derive(Debug)]
pub struct Table {
    limits: Limits,
    connections: Map<u64, Connection>,
    last_id: u64,
}

#[derive(Debug)]
struct Connection {
    from: IpAddr,
    /// When the connection was accepted, last carried a valid message or became pending again.
    since: Duration,
    is_active: bool,
}

impl Table {
    /// Creates a table without connections.
    #[must_use]
    pub fn new(limits: Limits) -> Self {
        Table {
            limits,
            connections: Map::default(),
            last_id: 0,
        }
    }

    /// Adds a connection that was accepted from an address, as pending. If there are too many
    /// pending connections, this displaces the oldest one of the address that has the most of them.
    ///
    /// ```
    /// use std::{net::Ipv4Addr, time::Duration};
    /// use acacia_accept::{Admission, Limits, Table};
    /// let second = Duration::from_secs(1);
    /// let limits = Limits {
    ///     pending: 1, active: 1,
    ///     pending_timeout: second, idle_timeout: second, stalled_after: second,
    /// };
    /// let mut table = Table::new(limits);
    /// let first = table.admit(Ipv4Addr::LOCALHOST.into(), Duration::ZERO);
    /// let second = table.admit(Ipv4Addr::LOCALHOST.into(), Duration::ZERO);
    /// assert_eq!(second.displaced, Some(first.id));
    /// ```
    pub fn admit(&mut self, from: IpAddr, now: Duration) -> Admission {
        let displaced = if self.count(false) >= self.limits.pending {
            self.oldest_of_busiest_address()
        } else {
            None
        };
        if let Some(displaced) = displaced {
            self.connections.remove(&displaced);
        }
        self.last_id += 1;
        let connection = Connection {
            from,
            since: now,
            is_active: false,
        };
        self.connections.insert(self.last_id, connection);
        Admission {
            id: self.last_id,
            displaced,
        }
    }

    /// Records that a valid message arrived on a connection. A connection that is refused or
    /// displaced is removed from the table.
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
        match self.longest_stalled(now) {
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

    /// Records that no request is in progress on a connection any more: it becomes pending again.
    pub fn finish(&mut self, id: u64, now: Duration) {
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.since = now;
            connection.is_active = false;
        }
    }

    /// Removes a connection that has ended.
    pub fn remove(&mut self, id: u64) {
        self.connections.remove(&id);
    }

    /// When a connection is to be closed unless a valid message arrives before; none if the
    /// connection is not in the table.
    #[must_use]
    pub fn deadline(&self, id: u64) -> Option<Duration> {
        let connection = self.connections.get(&id)?;
        let timeout = if connection.is_active {
            self.limits.idle_timeout
        } else {
            self.limits.pending_timeout
        };
        Some(connection.since + timeout)
    }

    /// The number of active connections, or of pending ones if `is_active` is false.
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

    /// The oldest pending connection of the address that has the most of them. An address that
    /// opens many connections therefore can't displace those of others.
    fn oldest_of_busiest_address(&self) -> Option<u64> {
        let pending = || self.connections.iter().filter(|(_, one)| !one.is_active);
        let mut counts: Map<IpAddr, usize> = Map::default();
        for (_, connection) in pending() {
            *counts.entry(connection.from).or_default() += 1;
        }
        let most = counts.values().max().copied()?;
        let candidates = pending().filter(|(_, one)| counts[&one.from] == most);
        candidates.map(|(id, _)| *id).min()
    }

    /// The active connection that has been without a valid message for the longest time, if it
    /// counts as stalled.
    fn longest_stalled(&self, now: Duration) -> Option<u64> {
        let active = self.connections.iter().filter(|(_, one)| one.is_active);
        let (id, oldest) = active.min_by_key(|(id, one)| (one.since, **id))?;
        let is_stalled = now.saturating_sub(oldest.since) >= self.limits.stalled_after;
        is_stalled.then_some(*id)
    }
}
