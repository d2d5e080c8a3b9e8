//! Derives the members of flow control from the group and the platform's list of VMs.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use acacia_flow::{
    control::{Member, Stage},
    rank::Node,
};
use acacia_member::{Contact, Hint, State};
use acacia_platform::machine;
use acacia_wire::collections::Set;

use super::{Core, stage};

/// Prefix of the names of balancers' VMs in the platform's list. The balancer's number follows.
pub(super) const VM_NAME_PREFIX: &str = "balancer-";

impl Core {
    /// Handles the platform's list of VMs.
    pub(super) fn set_machines(&mut self, now: Duration, machines: &[machine::Machine]) {
        let hints: Vec<Hint> = machines.iter().filter_map(|vm| self.hint(vm)).collect();
        let listed: Set<u16> = hints.iter().map(|hint| hint.contact.id).collect();
        // A balancer that is no longer listed has been stopped, so its pins can't be in use any
        // more.
        self.gone.extend(self.listed.difference(&listed));
        self.gone.retain(|id| !listed.contains(id));
        self.listed = listed;
        self.group.hint(now, &hints);
    }

    /// Sets the members of flow control. Balancers that have left are omitted, and dead ones as
    /// soon as the platform no longer lists them.
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
                incarnation: self.pins_since(member.id, incarnation),
            };
            members.push(Member {
                node,
                stage: last,
                dead,
            });
        }
        self.flow.set_members(&members);
    }

    /// Returns the incarnation in which `peer`, which now has `incarnation`, began to collect the
    /// pins that it holds. Flow control identifies an owner by that incarnation.
    pub(super) fn pins_since(&self, peer: u16, incarnation: u64) -> u64 {
        let report = self.pin_reports.get(&peer);
        let report = report.filter(|report| report.incarnation == incarnation);
        report.map_or(incarnation, |report| report.since)
    }

    /// Returns a hint about a balancer's VM; `None` for other VMs and for this balancer. All
    /// balancers listen for control connections on the same port.
    fn hint(&self, vm: &machine::Machine) -> Option<Hint> {
        let id: u16 = vm.name.strip_prefix(VM_NAME_PREFIX)?.parse().ok()?;
        let contact = Contact {
            id,
            address: SocketAddr::new(vm.address, self.settings.control.port()),
            data_centre: Arc::clone(&vm.data_centre),
        };
        let is_peer = id != self.settings.id;
        is_peer.then_some(Hint {
            contact,
            leaving: vm.state == machine::State::Leaving,
        })
    }
}
