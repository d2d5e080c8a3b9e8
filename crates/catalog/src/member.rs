//! The list of balancers, kept by gossip: each tells a few others, picked at random, whom it knows.
//!
//! A full mesh of heartbeats grows with the square of the fleet; here each balancer sends the same
//! few messages whatever its size, and news of a death or a birth reaches all in a number of rounds
//! that grows with its logarithm (van Renesse, Minsky and Hayden, 1998).

use std::{collections::BTreeMap, net::SocketAddrV4, sync::Arc, time::Duration};

use acacia_wire::flow::mix;
use serde::{Deserialize, Serialize};

/// How long a balancer may go unheard, directly and through others, before it is taken off the
/// list. Twelve rounds of gossip at 500 ms.
pub const MEMBER_TIMEOUT: Duration = Duration::from_secs(6);

/// How long it is remembered that a balancer has expired.
const REMEMBERED: Duration = Duration::from_secs(60);

/// A balancer as it describes itself, and how often it has.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Where it takes control messages: its identity.
    pub address: SocketAddrV4,
    /// Its data centre.
    pub data_centre: Arc<str>,
    /// Rises with every start of its process.
    pub incarnation: u64,
    /// Rises with every round of its gossip.
    pub beat: u64,
    /// Whether its latest call to the store was answered.
    pub sighted: bool,
    /// Whether it is leaving, and should neither read for others nor pass on.
    pub leaving: bool,
}

/// That a member which the receiver knows still lives: what changes of a [`Member`] from one round of
/// gossip to the next, in a third of the bytes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The member's identity.
    pub address: SocketAddrV4,
    /// The low 16 bits of its incarnation, which tell a new life from the old one.
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

/// A member and when its beat last rose here.
#[derive(Debug, Clone)]
struct Heard {
    member: Member,
    at: Duration,
}

/// The other balancers.
#[derive(Debug, Clone, Default)]
pub struct MemberList {
    members: BTreeMap<SocketAddrV4, Heard>,
    /// Those that have expired, and when their beat last rose here: an old word that is still under way
    /// must not bring them back.
    expired: BTreeMap<SocketAddrV4, Heard>,
}

impl MemberList {
    /// Takes in what was said of a balancer; true if it was not on the list.
    ///
    /// ```
    /// use std::time::Duration;
    /// use acacia_catalog::member::{MemberList, Member};
    /// let member = Member {
    ///     address: "10.0.0.1:7000".parse().unwrap(), data_centre: "lima-a".into(),
    ///     incarnation: 1, beat: 1, sighted: true, leaving: false,
    /// };
    /// let mut list = MemberList::default();
    /// assert!(list.merge(member.clone(), Duration::ZERO));
    /// assert!(!list.merge(member, Duration::from_secs(1)), "nothing new");
    /// assert_eq!(list.expire(Duration::from_secs(7)).len(), 1);
    /// ```
    pub fn merge(&mut self, member: Member, now: Duration) -> bool {
        let Some(known) = self.members.get_mut(&member.address) else {
            let is_old = |heard: &Heard| {
                (member.incarnation, member.beat) <= (heard.member.incarnation, heard.member.beat)
            };
            if self.expired.get(&member.address).is_some_and(is_old) {
                return false;
            }
            self.expired.remove(&member.address);
            self.members
                .insert(member.address, Heard { member, at: now });
            return true;
        };
        let newer =
            (member.incarnation, member.beat) > (known.member.incarnation, known.member.beat);
        if newer {
            *known = Heard { member, at: now };
        }
        false
    }

    /// Takes in that a balancer lives; false if it is not on the list in that life and should be.
    ///
    /// ```
    /// use std::time::Duration;
    /// use acacia_catalog::member::{Heartbeat, MemberList, Member};
    /// let mut member = Member {
    ///     address: "10.0.0.1:7000".parse().unwrap(), data_centre: "lima-a".into(),
    ///     incarnation: 1, beat: 1, sighted: true, leaving: false,
    /// };
    /// let mut list = MemberList::default();
    /// assert!(!list.confirm(&Heartbeat::from(&member), Duration::ZERO), "unknown");
    /// list.merge(member.clone(), Duration::ZERO);
    /// member.beat = 2;
    /// assert!(list.confirm(&Heartbeat::from(&member), Duration::from_secs(5)));
    /// assert!(list.expire(Duration::from_secs(7)).is_empty());
    /// ```
    pub fn confirm(&mut self, heartbeat: &Heartbeat, now: Duration) -> bool {
        let Some(known) = self.members.get_mut(&heartbeat.address) else {
            let is_old = |heard: &Heard| {
                heard.member.incarnation as u16 == heartbeat.incarnation
                    && heartbeat.beat <= heard.member.beat
            };
            return self.expired.get(&heartbeat.address).is_some_and(is_old);
        };
        if known.member.incarnation as u16 != heartbeat.incarnation {
            return false;
        }
        if heartbeat.beat > known.member.beat {
            known.at = now;
            known.member.beat = heartbeat.beat;
            known.member.sighted = heartbeat.sighted;
            known.member.leaving = heartbeat.leaving;
        }
        true
    }

    /// Takes off the list, and gives, those unheard for [`MEMBER_TIMEOUT`].
    pub fn expire(&mut self, now: Duration) -> Vec<Member> {
        let is_gone = |heard: &Heard| now.saturating_sub(heard.at) > MEMBER_TIMEOUT;
        let gone: Vec<(SocketAddrV4, Heard)> = self
            .members
            .extract_if(.., |_, heard| is_gone(heard))
            .collect();
        let members = gone.iter().map(|(_, heard)| heard.member.clone());
        let members = members.collect();
        self.expired
            .retain(|_, heard| now.saturating_sub(heard.at) <= REMEMBERED);
        self.expired.extend(gone);
        members
    }

    /// Those heard within half of [`MEMBER_TIMEOUT`], the latest first. Those heard at one time come in an order
    /// that `salt` decides, so that balancers don't all pass on the same ones. A word that is passed on
    /// while it is new reaches all in a number of rounds that grows with the logarithm of the fleet; one
    /// that is passed on for longer brings a dead member back to lists that it has expired from.
    #[must_use]
    pub fn latest(&self, salt: u64, now: Duration) -> Vec<&Member> {
        let is_new = |heard: &&Heard| heard.at + MEMBER_TIMEOUT / 2 > now;
        let mut heard: Vec<&Heard> = self.members.values().filter(is_new).collect();
        heard.sort_by_cached_key(|heard| {
            let place = mix(rank(heard.member.address) ^ salt);
            (std::cmp::Reverse(heard.at), place)
        });
        heard.into_iter().map(|heard| &heard.member).collect()
    }

    /// What is known of the balancer at `address`.
    #[must_use]
    pub fn get(&self, address: SocketAddrV4) -> Option<&Member> {
        self.members.get(&address).map(|heard| &heard.member)
    }

    /// Those on the list.
    pub fn iter(&self) -> impl Iterator<Item = &Member> {
        self.members.values().map(|heard| &heard.member)
    }

    /// How many there are.
    #[must_use]
    pub fn len(&self) -> usize {
        self.members.len()
    }

    /// Whether nobody else is known.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.members.is_empty()
    }
}

/// How long the largest size of the fleet is remembered. A balancer that is cut off from the others for
/// less still takes them for there.
const SIZE_KEPT: Duration = Duration::from_secs(600);

/// The largest number of balancers that were known lately.
#[derive(Debug, Clone, Copy, Default)]
pub struct Peak {
    count: usize,
    at: Duration,
}

impl Peak {
    /// Takes in how many are known now; gives the largest number of late.
    ///
    /// ```
    /// use std::time::Duration;
    /// let mut peak = acacia_catalog::member::Peak::default();
    /// assert_eq!(peak.follow(60, Duration::ZERO), 60);
    /// assert_eq!(peak.follow(20, Duration::from_secs(30)), 60);
    /// assert_eq!(peak.follow(20, Duration::from_secs(900)), 20);
    /// ```
    pub fn follow(&mut self, count: usize, now: Duration) -> usize {
        if count >= self.count || now >= self.at + SIZE_KEPT {
            *self = Peak { count, at: now };
        }
        self.count
    }
}

/// The place of a balancer in an order on which all agree that know the same members; the highest
/// comes first (rendezvous hashing: a birth or death moves nobody else).
#[must_use]
pub fn rank(address: SocketAddrV4) -> u64 {
    mix(u64::from(address.ip().to_bits()) << 16 | u64::from(address.port()))
}
