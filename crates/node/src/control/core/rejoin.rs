//! What a balancer does that has to join the group anew, and what of its flows it keeps.

use std::time::Duration;

use acacia_flow::{Control, control::Settings as FlowSettings, rank::Node};
use acacia_member::{Cause, Event, State};

use super::Core;
use crate::clock::millis;

/// Whether this balancer has joined the group anew since the last tick.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Rejoin {
    /// It has not.
    No,
    /// It has, and is the same owner of flows.
    WithPins,
    /// It has, and its pins and caches are to be forgotten.
    WithoutPins,
}

impl Core {
    /// Logs what the membership saw, and carries out what follows if this balancer joined anew.
    pub(super) fn take_events(&mut self, now: Duration) -> Rejoin {
        let mut rejoin = Rejoin::No;
        for event in self.group.take_events() {
            match event.code() {
                Some(code) => log::warn!("event=membership change=\"{event:?}\" code={code}"),
                None => log::info!("event=membership change=\"{event:?}\""),
            }
            if let Event::Restarted { id, .. }
            | Event::Changed {
                id,
                to: State::Dead,
                ..
            } = event
            {
                self.pools.forget(id);
            }
            if let Event::Rejoined { incarnation, cause } = event {
                if !keeps_pins(cause) {
                    self.forget_pins(incarnation, now);
                    rejoin = Rejoin::WithoutPins;
                } else if rejoin == Rejoin::No {
                    rejoin = Rejoin::WithPins;
                }
                let kept = incarnation - self.owner;
                log::info!("event=rejoined incarnation={incarnation} kept={kept}");
            }
        }
        rejoin
    }

    /// After a long freeze others own the flows, and pins held here may be wrong by now: a flow sent
    /// by one of them would break. So everything is forgotten, and taken over anew from the peers.
    /// The view that says so is published first: a traffic thread that still took this balancer
    /// for an owner would take a forgotten pin for none, and send its flow to the base.
    fn forget_pins(&mut self, incarnation: u64, now: Duration) {
        self.owner = incarnation;
        let node = Node {
            id: self.settings.id,
            incarnation,
        };
        self.flow = Control::new(node, FlowSettings::default(), millis(now));
        self.flow.set_tables(self.tables.clone(), millis(now));
        self.refresh_members(now);
        if self.leaving {
            self.flow.leave();
        }
    }
}

/// Whether a balancer that joins anew for `cause` still owns the flows that it owned before.
///
/// A balancer is suspended for seconds, and the other owner of some of its flows dies meanwhile. If it
/// forgot its pins, nobody would know these flows any more: their next packets go to their base, and
/// the server there resets them, as soon as the platform's list no longer names the dead one. Peers
/// place no flow off its base while an owner is out of hearing, and don't call it gone for as long
/// as the platform lists it; so what it knew when it was suspended still holds. After
/// [`FlowSettings::stall_timeout`] callers may have used their ports again.
fn keeps_pins(cause: Cause) -> bool {
    let lapse = Duration::from_millis(FlowSettings::default().stall_timeout);
    matches!(cause, Cause::Frozen(jump) if jump <= lapse)
}
