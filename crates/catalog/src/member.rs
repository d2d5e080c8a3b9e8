//! The list of balancers, maintained by gossip: each balancer sends the members that it knows to a
//! few others, picked at random.
//!
//! The traffic of a full mesh of heartbeats grows with the square of the fleet's size. With gossip
//! each balancer sends a constant number of messages, and a new or failed member becomes known to
//! all in a number of rounds that grows with the logarithm of the size (van Renesse, Minsky and
//! Hayden, "A Gossip-Style Failure Detection Service", 1998).

use std::{collections::BTreeMap, net::SocketAddrV4, sync::Arc, time::Duration};

use acacia_wire::flow::mix;
use serde::{Deserialize, Serialize};

/// The time after which a balancer expires if no newer beat of it arrives, from itself or through
/// others. It covers twelve rounds of gossip at 500 ms.
pub const MEMBER_TIMEOUT: Duration = Duration::from_secs(6);

/// How long an expired balancer's record is kept, counted from its last beat.
const EXPIRED_RETENTION: Duration = Duration::from_secs(60);

/// A balancer's description of itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Its address for control messages, which is also its identity.
    pub address: SocketAddrV4,
    /// Its data centre.
    pub data_centre: Arc<str>,
    /// Increases with every start of its process.
    pub incarnation: u64,
    /// Heartbeat counter: increases with every round of its gossip.
    pub beat: u64,
    /// Whether the store answered its latest call.
    pub sighted: bool,
    /// Whether it is leaving, and should neither read the store for others nor relay messages.
    pub leaving: bool,
}

/// Reports that a member which the receiver already knows is still alive. It has only the fields of a
/// [`Member`] that change from one round of gossip to the next, in a third of the bytes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The member's identity.
    pub address: SocketAddrV4,
    /// The low 16 bits of its incarnation, which tell a restarted process from the previous one.
    pub incarnation: u16,
    /// See [`Member::beat`].
    pub beat: u64,
    /// See [`Member::sighted`].
    pub sighted: bool,
    /// See [`Member::leaving`].
    pub leaving: bool,
}

impl From<&Member> for Heartbeat {
    fn from(member: &Member) -> Self {
        Heartbeat {
            address: member.address,
            incarnation: member.incarnation as u16,
            beat: member.beat,
            sighted: member.sighted,
            leaving: member.leaving,
        }
    }
}

/// A member, and when its beat last increased as seen here.
#[derive(Debug, Clone)]
struct Record {
    member: Member,
    beat_at: Duration,
}

/// The other balancers that are known to be alive.
#[derive(Debug, Clone, Default)]
pub struct Members {
    members: BTreeMap<SocketAddrV4, Record>,
    /// Expired members. Their last beats are kept so that an old message that is still in transit
    /// doesn't put them on the list again.
    expired: BTreeMap<SocketAddrV4, Record>,
}

impl Members {
    /// Merges a received description of a balancer; returns true if the balancer was not on the list.
    ///
    /// ```
    /// use std::time::Duration;
    /// use acacia_catalog::member::{Members, Member};
    /// let member = Member {
    ///     address: "10.0.0.1:7000".parse().unwrap(), data_centre: "lima-a".into(),
    ///     incarnation: 1, beat: 1, sighted: true, leaving: false,
    /// };
    /// let mut list = Members::default();
    /// assert!(list.merge(member.clone(), Duration::ZERO));
    /// assert!(!list.merge(member, Duration::from_secs(1)), "already on the list");
    /// assert_eq!(list.expire(Duration::from_secs(7)).len(), 1);
    /// ```
    pub fn merge(&mut self, member: Member, now: Duration) -> bool {
        let Some(known) = self.members.get_mut(&member.address) else {
            let is_old = |record: &Record| {
                (member.incarnation, member.beat) <= (record.member.incarnation, record.member.beat)
            };
            if self.expired.get(&member.address).is_some_and(is_old) {
                return false;
            }
            self.expired.remove(&member.address);
            self.members.insert(
                member.address,
                Record {
                    member,
                    beat_at: now,
                },
            );
            return true;
        };
        let newer =
            (member.incarnation, member.beat) > (known.member.incarnation, known.member.beat);
        if newer {
            *known = Record {
                member,
                beat_at: now,
            };
        }
        false
    }

    /// Applies a heartbeat. Returns false if the balancer is not on the list with this incarnation, so
    /// that its full description is needed; a late heartbeat of an expired member needs none.
    ///
    /// ```
    /// use std::time::Duration;
    /// use acacia_catalog::member::{Heartbeat, Members, Member};
    /// let mut member = Member {
    ///     address: "10.0.0.1:7000".parse().unwrap(), data_centre: "lima-a".into(),
    ///     incarnation: 1, beat: 1, sighted: true, leaving: false,
    /// };
    /// let mut list = Members::default();
    /// assert!(!list.confirm(&Heartbeat::from(&member), Duration::ZERO), "unknown");
    /// list.merge(member.clone(), Duration::ZERO);
    /// member.beat = 2;
    /// assert!(list.confirm(&Heartbeat::from(&member), Duration::from_secs(5)));
    /// assert!(list.expire(Duration::from_secs(7)).is_empty());
    /// ```
    pub fn confirm(&mut self, heartbeat: &Heartbeat, now: Duration) -> bool {
        let Some(known) = self.members.get_mut(&heartbeat.address) else {
            let is_old = |record: &Record| {
                record.member.incarnation as u16 == heartbeat.incarnation
                    && heartbeat.beat <= record.member.beat
            };
            return self.expired.get(&heartbeat.address).is_some_and(is_old);
        };
        if known.member.incarnation as u16 != heartbeat.incarnation {
            return false;
        }
        if heartbeat.beat > known.member.beat {
            known.beat_at = now;
            known.member.beat = heartbeat.beat;
            known.member.sighted = heartbeat.sighted;
            known.member.leaving = heartbeat.leaving;
        }
        true
    }

    /// Removes the members without a newer beat for [`MEMBER_TIMEOUT`], and returns them.
    pub fn expire(&mut self, now: Duration) -> Vec<Member> {
        let is_expired = |record: &Record| now.saturating_sub(record.beat_at) > MEMBER_TIMEOUT;
        let expired: Vec<(SocketAddrV4, Record)> = self
            .members
            .extract_if(.., |_, record| is_expired(record))
            .collect();
        let members = expired.iter().map(|(_, record)| record.member.clone());
        let members = members.collect();
        self.expired
            .retain(|_, record| now.saturating_sub(record.beat_at) <= EXPIRED_RETENTION);
        self.expired.extend(expired);
        members
    }

    /// The members whose beat increased within half of [`MEMBER_TIMEOUT`], the latest first. `salt`
    /// decides the order among equal times, so that balancers don't all pass on the same members.
    ///
    /// Passing on only recent beats is enough to reach all in a number of rounds that grows with the
    /// logarithm of the fleet's size. Older ones would put a dead member back on lists from which it
    /// has expired.
    #[must_use]
    pub fn latest(&self, salt: u64, now: Duration) -> Vec<&Member> {
        let is_recent = |record: &&Record| record.beat_at + MEMBER_TIMEOUT / 2 > now;
        let mut records: Vec<&Record> = self.members.values().filter(is_recent).collect();
        records.sort_by_cached_key(|record| {
            let place = mix(rank(record.member.address) ^ salt);
            (std::cmp::Reverse(record.beat_at), place)
        });
        records.into_iter().map(|record| &record.member).collect()
    }

    /// The balancer at `address`, if it is on the list.
    #[must_use]
    pub fn get(&self, address: SocketAddrV4) -> Option<&Member> {
        self.members.get(&address).map(|record| &record.member)
    }

    /// The members on the list.
    pub fn iter(&self) -> impl Iterator<Item = &Member> {
        self.members.values().map(|record| &record.member)
    }

    /// The number of members, without this balancer.
    #[must_use]
    pub fn len(&self) -> usize {
        self.members.len()
    }

    /// Whether no other balancer is known.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.members.is_empty()
    }
}

/// How long the largest size of the fleet is kept. A balancer that is partitioned from the others for
/// a shorter time still counts them as present.
const PEAK_RETENTION: Duration = Duration::from_secs(600);

/// The largest recent number of known balancers.
#[derive(Debug, Clone, Copy, Default)]
pub struct Peak {
    count: usize,
    at: Duration,
}

impl Peak {
    /// Records the number of balancers known at `now`, and returns the largest recent one.
    ///
    /// ```
    /// use std::time::Duration;
    /// let mut peak = acacia_catalog::member::Peak::default();
    /// assert_eq!(peak.follow(60, Duration::ZERO), 60);
    /// assert_eq!(peak.follow(20, Duration::from_secs(30)), 60);
    /// assert_eq!(peak.follow(20, Duration::from_secs(900)), 20);
    /// ```
    pub fn follow(&mut self, count: usize, now: Duration) -> usize {
        if count >= self.count || now >= self.at + PEAK_RETENTION {
            *self = Peak { count, at: now };
        }
        self.count
    }
}

/// A balancer's rank; the highest comes first. Balancers with the same list agree on the order, and a
/// member that joins or leaves doesn't change the order of the others (rendezvous hashing).
#[must_use]
pub fn rank(address: SocketAddrV4) -> u64 {
    mix(u64::from(address.ip().to_bits()) << 16 | u64::from(address.port()))
}
