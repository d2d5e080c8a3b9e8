//! Which new flows make room for more urgent ones.

use std::{sync::Arc, time::Duration};

use acacia_code::Code;
use acacia_load::{
    overload::LatencyObjective,
    throttle::{MIN_WAIT, Pressure},
    urgency::Rank,
};
use acacia_wire::flow::{mix, uniform};

use super::{Busy, Resolver, open::seconds};
use crate::snapshot::Snapshot;

/// Tells the draw among less urgent flows from the flow's other uses of its hash.
const SALT: u64 = 0x0079_6965_6c64;

impl Resolver {
    /// How urgent a new flow is beside others of its service.
    pub(super) fn rank(
        &mut self,
        service: &Arc<str>,
        demand: &LatencyObjective,
        now: Duration,
    ) -> Rank {
        let Some(priority) = demand.priority else {
            return Rank::default();
        };
        let known = self.priorities.entry(Arc::clone(service)).or_default();
        known.add(priority, now)
    }

    /// Refuses some of the flows that share their servers with more urgent ones, see
    /// [`Throttle`](acacia_load::throttle::Throttle).
    ///
    /// # Errors
    /// By what the flow is to be refused.
    pub(super) fn make_room(
        &mut self,
        snapshot: &Snapshot,
        service: &Arc<str>,
        flow: u64,
        placed: u32,
        now: Duration,
    ) -> Result<(), Busy> {
        let Some(baseline) = self.delays.baseline(service) else {
            return Ok(());
        };
        let quiet = self.delays.since_last_answer(service, now);
        let mean = self.delays.usual(service, now) - quiet;
        let pools = snapshot.pools.iter();
        let slots: u32 = pools
            .filter(|pool| pool.service == *service)
            .map(|pool| pool.slots)
            .sum();
        let requests = self.requests.get(service);
        let here = requests.map_or(0.0, |rate| rate.per_second(now));
        let pressure = Pressure {
            demand: here * f64::from(snapshot.balancers) * baseline / f64::from(slots.max(1)),
            wait: mean / baseline,
        };
        let throttle = self.throttles.entry(Arc::clone(service)).or_default();
        let part = throttle.follow(&pressure, now);
        if uniform(mix(flow ^ SALT)) >= part {
            return Ok(());
        }
        Err(Busy {
            code: Code::LessUrgent,
            server: placed,
            expected: seconds(mean),
            limit: seconds(baseline * MIN_WAIT),
        })
    }
}
