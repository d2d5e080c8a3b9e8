use std::{collections::BTreeMap, net::SocketAddrV4};

use super::Member;

/// The other balancers that are known to be alive: those of the own data centre, and the
/// representatives of the other ones.
#[derive(Debug, Clone, Default)]
pub struct Members {
    members: BTreeMap<SocketAddrV4, Member>,
}

impl Members {
    /// Adds a balancer or replaces its description, unless the known one is the same or later. Returns
    /// true if anything changed.
    ///
    /// ```
    /// use acacia_catalog::member::{Members, Member};
    /// let member = Member {
    ///     address: "10.0.0.1:7000".parse().unwrap(), data_centre: "lima-a".into(),
    ///     incarnation: 1, version: 1, sighted: true, leaving: false,
    /// };
    /// let mut list = Members::default();
    /// assert!(list.merge(member.clone()));
    /// assert!(!list.merge(member), "already on the list");
    /// ```
    pub fn merge(&mut self, member: Member) -> bool {
        let known = self.members.get(&member.address);
        if known.is_some_and(|known| known.age() >= member.age()) {
            return false;
        }
        self.members.insert(member.address, member);
        true
    }

    /// Removes a balancer and returns its last description.
    pub fn remove(&mut self, address: SocketAddrV4) -> Option<Member> {
        self.members.remove(&address)
    }

    /// The balancer at `address`, if it is on the list.
    #[must_use]
    pub fn get(&self, address: SocketAddrV4) -> Option<&Member> {
        self.members.get(&address)
    }

    /// The members on the list.
    pub fn iter(&self) -> impl Iterator<Item = &Member> {
        self.members.values()
    }

    /// The members of one data centre.
    pub fn of<'a>(&'a self, data_centre: &'a str) -> impl Iterator<Item = &'a Member> {
        self.iter()
            .filter(move |member| &*member.data_centre == data_centre)
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
