//! Rejoining the group with a new incarnation, with or without the pins held so far.

use std::time::Duration;

use acacia_flow::{Control, control::Settings as FlowSettings, rank::Node};
use acacia_member::{Cause, Event, State};

use super::Core;
use crate::clock::millis;

/// Whether this balancer has rejoined the group since the last tick.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Rejoin {
    /// It has not rejoined.
    No,
    /// It has rejoined, and still owns its flows.
    WithPins,
    /// It has rejoined, and its pins and caches must be cleared.
    WithoutPins,
}

impl Core {
    /// Logs membership events, and resets flow control if this balancer rejoined without its pins.
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
                let kept = incarnation - self.pins_since;
                log::info!("event=rejoined incarnation={incarnation} kept={kept}");
            }
        }
        rejoin
    }

    /// Resets flow control, so that this balancer takes over pins from its peers as a new owner.
    ///
    /// After a long freeze other balancers own the flows, and pins held here may be out of date: a
    /// flow forwarded by one of them would break. The view without ownership must be published
    /// before the pins are cleared. A traffic thread that still considered this balancer an owner
    /// would conclude from a cleared pin that the flow has none, and forward it to its base.
    fn forget_pins(&mut self, incarnation: u64, now: Duration) {
        self.pins_since = incarnation;
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

/// Returns whether a balancer that rejoins for `cause` still owns the flows that it owned before.
///
/// While a balancer is suspended for some seconds, the other owner of some of its flows may die. If
/// the balancer cleared its pins, no balancer would know these flows any more. As soon as the
/// platform's list no longer names the dead owner, their next packets would go to their base, where
/// the server resets them.
///
/// Keeping the pins is safe, because peers place no flow off its base while an owner is unheard,
/// and don't treat it as gone while the platform lists it. So the pins from before the suspension
/// are still right. After [`FlowSettings::stall_timeout`] they may not be, as callers may have
/// reused their ports.
fn keeps_pins(cause: Cause) -> bool {
    let limit = Duration::from_millis(FlowSettings::default().stall_timeout);
    matches!(cause, Cause::Frozen(jump) if jump <= limit)
}
