use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::{Member, rank};

/// Number of balancers that represent a data centre towards the other ones. Two may fail at once before
/// a data centre depends on its successors being announced.
pub const REPRESENTATIVES: usize = 3;

/// The representatives of a data centre, as one of them announces them.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Delegation {
    /// The data centre.
    pub data_centre: Arc<str>,
    /// Increases with each change; a later delegation replaces an earlier one.
    pub stamp: u64,
    /// The number of balancers in the data centre when the delegation was announced.
    pub population: u32,
    /// The representatives, in their order of preference. Empty if the data centre can't be reached.
    pub members: Vec<Member>,
}

impl Delegation {
    /// Merges a delegation of the same data centre. Two announcements with the same stamp come from
    /// representatives that didn't know each other; their members are united. Returns true if this
    /// delegation changed.
    pub(super) fn merge(&mut self, other: &Delegation) -> bool {
        if other.stamp > self.stamp {
            self.clone_from(other);
            return true;
        }
        if other.stamp < self.stamp || other == self {
            return false;
        }
        let members = self.members.iter().chain(&other.members).cloned();
        let united = representatives(members);
        let population = self.population.max(other.population);
        let changed = united != self.members || population != self.population;
        (self.members, self.population) = (united, population);
        changed
    }
}

/// The representatives among balancers of one data centre: the first in rank, and those that reach the
/// store and are not leaving before all others.
pub(super) fn representatives(members: impl IntoIterator<Item = Member>) -> Vec<Member> {
    let mut order: Vec<Member> = members.into_iter().collect();
    order.sort_by_key(|member| {
        let eligible = member.sighted && !member.leaving;
        let place = std::cmp::Reverse((eligible, !member.leaving, rank(member.address)));
        (place, member.address, std::cmp::Reverse(member.age()))
    });
    order.dedup_by_key(|member| member.address);
    order.truncate(REPRESENTATIVES);
    order
}
