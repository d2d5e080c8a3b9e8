//! Who belongs to the group, as flow control takes it.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use acacia_flow::{
    control::{Member, Stage},
    rank::Node,
};
use acacia_member::{Contact, Hint, State};
use acacia_platform::machine;
use acacia_wire::collections::Set;

use super::{Core, stage};

/// VMs of balancers carry this name and their number in the platform's list.
pub(super) const MACHINE: &str = "balancer-";

impl Core {
    /// Takes in the platform's list of VMs.
    pub(super) fn set_machines(&mut self, now: Duration, machines: &[machine::Machine]) {
        let hints: Vec<Hint> = machines.iter().filter_map(|vm| self.hint(vm)).collect();
        let listed: Set<u16> = hints.iter().map(|hint| hint.contact.id).collect();
        // Who was listed and no longer is has been stopped: its pins can't be in use any more.
        self.gone.extend(self.listed.difference(&listed));
        self.gone.retain(|id| !listed.contains(id));
        self.listed = listed;
        self.group.hint(now, &hints);
    }

    pub(super) fn refresh_members(&mut self, now: Duration) {
        let view = self.group.view(now);
        let mut members = Vec::new();
        for member in &view.members {
            let Some(incarnation) = member.incarnation else {
                continue;
            };
            let last = stage(member.state).or(self.stages.get(&member.id).copied());
            let Some(last) = last else { continue };
            self.stages.insert(member.id, last);
            let dead = member.state == State::Dead;
            let left = last == Stage::Leaving && !member.state.is_heard();
            if left || (dead && self.gone.contains(&member.id)) {
                continue;
            }
            let node = Node {
                id: member.id,
                incarnation: self.owner_of(member.id, incarnation),
            };
            members.push(Member {
                node,
                stage: last,
                dead,
            });
        }
        self.flow.set_members(&members);
    }

    /// The incarnation in which `peer`, by now in `incarnation`, began to collect the pins that it
    /// has. Flow control knows it by that.
    pub(super) fn owner_of(&self, peer: u16, incarnation: u64) -> u64 {
        let told = self.owners.get(&peer);
        let told = told.filter(|told| told.incarnation == incarnation);
        told.map_or(incarnation, |told| told.since)
    }

    /// All balancers take control messages on the port that this one does.
    fn hint(&self, vm: &machine::Machine) -> Option<Hint> {
        let id: u16 = vm.name.strip_prefix(MACHINE)?.parse().ok()?;
        let contact = Contact {
            id,
            address: SocketAddr::new(vm.address, self.settings.control.port()),
            data_centre: Arc::clone(&vm.data_centre),
        };
        let known = id != self.settings.id;
        known.then_some(Hint {
            contact,
            leaving: vm.state == machine::State::Leaving,
        })
    }
}
