//! The list of balancers, kept by gossip: each tells a few others, picked at random, whom it knows.
//!
//! A full mesh of heartbeats grows with the square of the fleet; here each balancer sends the same
//! few messages whatever its size, and news of a death or a birth reaches all in a number of rounds
//! that grows with its logarithm (van Renesse, Minsky and Hayden, 1998).

use std::{collections::BTreeMap, net::SocketAddrV4, sync::Arc, time::Duration};

use acacia_wire::flow::mix;
use serde::{Deserialize, Serialize};

/// How long a balancer may go unheard, directly and through others, before it is taken off the
/// list. Twelve rounds of gossip at 500 ms: among 62 balancers a word takes four or five, and two
/// of three messages may be lost.
pub const UNHEARD: Duration = Duration::from_secs(6);

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

/// A member and when its beat last rose here.
#[derive(Debug, Clone)]
struct Heard {
    member: Member,
    at: Duration,
}

/// The other balancers.
#[derive(Debug, Clone, Default)]
pub struct List {
    members: BTreeMap<SocketAddrV4, Heard>,
}

impl List {
    /// Takes in what was said of a balancer; true if it was not on the list.
    ///
    /// ```
    /// use std::time::Duration;
    /// use acacia_catalog::member::{List, Member};
    /// let member = Member {
    ///     address: "10.0.0.1:7000".parse().unwrap(), data_centre: "lima-a".into(),
    ///     incarnation: 1, beat: 1, sighted: true, leaving: false,
    /// };
    /// let mut list = List::default();
    /// assert!(list.hear(member.clone(), Duration::ZERO));
    /// assert!(!list.hear(member, Duration::from_secs(1)), "nothing new");
    /// assert_eq!(list.expire(Duration::from_secs(7)).len(), 1);
    /// ```
    pub fn hear(&mut self, member: Member, now: Duration) -> bool {
        let Some(known) = self.members.get_mut(&member.address) else {
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

    /// Takes off the list, and gives, those unheard for [`UNHEARD`].
    pub fn expire(&mut self, now: Duration) -> Vec<Member> {
        let gone = |heard: &Heard| now.saturating_sub(heard.at) > UNHEARD;
        let expired: Vec<Member> = self
            .members
            .values()
            .filter(|heard| gone(heard))
            .map(|heard| heard.member.clone())
            .collect();
        self.members.retain(|_, heard| !gone(heard));
        expired
    }

    /// Those on the list, the latest heard first. Those heard at one time come in an order that
    /// `salt` decides, so that balancers don't all pass on the same ones.
    ///
    /// A word that is passed on while it is new reaches all in a number of rounds that grows with the
    /// logarithm of the fleet. Named at random, of 61 balancers one was still missed or dropped by
    /// some other after 6 s.
    #[must_use]
    pub fn latest(&self, salt: u64) -> Vec<&Member> {
        let mut heard: Vec<&Heard> = self.members.values().collect();
        heard.sort_by_key(|heard| {
            (
                std::cmp::Reverse(heard.at),
                mix(rank(heard.member.address) ^ salt),
            )
        });
        heard.into_iter().map(|heard| &heard.member).collect()
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

/// The place of a balancer in an order on which all agree that know the same members; the highest
/// comes first (rendezvous hashing: a birth or death moves nobody else).
#[must_use]
pub fn rank(address: SocketAddrV4) -> u64 {
    mix(u64::from(address.ip().to_bits()) << 16 | u64::from(address.port()))
}
