//! Claims that still have to be passed on.

use std::{collections::BTreeMap, net::SocketAddrV4, sync::Arc};

use super::{Delegation, Update};

/// Factor on the logarithm of the number of members: how often each balancer sends one claim. A claim
/// reaches all members in a number of messages that grows with that logarithm; the rest is a reserve for
/// lost messages.
const SENDS_FACTOR: u32 = 3;
/// Maximum number of claims in one message. At 17 bytes each, the message fits into one Ethernet frame
/// beside its other parts.
pub const MAX_UPDATES: usize = 40;
/// Maximum number of delegations in one message, at some 80 bytes each.
const MAX_DELEGATIONS: usize = 2;

/// Claims and delegations with the number of times that each has been sent.
#[derive(Debug, Clone, Default)]
pub struct News {
    updates: BTreeMap<SocketAddrV4, (u32, Update)>,
    delegations: BTreeMap<Arc<str>, (u32, Delegation)>,
}

impl News {
    /// Adds a claim, which replaces an earlier one about the same balancer.
    pub fn tell(&mut self, update: Update) {
        self.updates.insert(update.address, (0, update));
    }

    /// Adds a delegation, which replaces an earlier one of the same data centre.
    pub fn tell_delegation(&mut self, delegation: Delegation) {
        let centre = Arc::clone(&delegation.data_centre);
        self.delegations.insert(centre, (0, delegation));
    }

    /// Takes the claims for the next message, those that were sent least often first. `members` is the
    /// number of balancers in the data centre.
    pub fn take_updates(&mut self, members: usize) -> Vec<Update> {
        let limit = sends(members);
        let mut order: Vec<(u32, SocketAddrV4)> = self
            .updates
            .iter()
            .map(|(address, (sent, _))| (*sent, *address))
            .collect();
        order.sort_unstable();
        let chosen = order.into_iter().take(MAX_UPDATES);
        let updates = chosen.filter_map(|(_, address)| {
            let (sent, update) = self.updates.get_mut(&address)?;
            *sent += 1;
            Some(*update)
        });
        let updates = updates.collect();
        self.updates.retain(|_, (sent, _)| *sent < limit);
        updates
    }

    /// Takes the delegations for the next message; see [`News::take_updates`].
    pub fn take_delegations(&mut self, members: usize) -> Vec<Delegation> {
        let limit = sends(members);
        let mut order: Vec<&mut (u32, Delegation)> = self.delegations.values_mut().collect();
        order.sort_by_key(|(sent, _)| *sent);
        let chosen = order.into_iter().take(MAX_DELEGATIONS);
        let delegations = chosen.map(|(sent, delegation)| {
            *sent += 1;
            delegation.clone()
        });
        let delegations = delegations.collect();
        self.delegations.retain(|_, (sent, _)| *sent < limit);
        delegations
    }
}

/// How often each balancer sends one claim.
fn sends(members: usize) -> u32 {
    SENDS_FACTOR * (members as u32 + 2).ilog2().max(1)
}
