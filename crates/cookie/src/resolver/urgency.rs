//! Refusal of new flows in favour of more urgent ones.

use std::{sync::Arc, time::Duration};

use acacia_code::Code;
use acacia_load::{
    overload,
    throttle::{MIN_WAIT_RATIO, Pressure},
    urgency::Rank,
};
use acacia_wire::flow::{mix, uniform};

use super::{Refusal, Resolver, open::seconds};
use crate::snapshot::Snapshot;

/// Makes the random choice among less urgent flows independent of other uses of the flow's hash.
const SALT: u64 = 0x0079_6965_6c64;

impl Resolver {
    /// Records a new flow's priority, and returns how urgent it is among recent flows of its service.
    pub(super) fn rank(
        &mut self,
        service: &Arc<str>,
        objective: &overload::Objective,
        now: Duration,
    ) -> Rank {
        let Some(priority) = objective.priority else {
            return Rank::default();
        };
        let known = self.priorities.entry(Arc::clone(service)).or_default();
        known.add(priority, now)
    }

    /// Refuses a share of the flows whose servers also serve more urgent ones, see
    /// [`Throttle`](acacia_load::throttle::Throttle).
    ///
    /// # Errors
    /// If the flow is to be refused.
    pub(super) fn throttle_less_urgent(
        &mut self,
        snapshot: &Snapshot,
        service: &Arc<str>,
        flow: u64,
        placed: u32,
        now: Duration,
    ) -> Result<(), Refusal> {
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
        let rate = requests.map_or(0.0, |requests| requests.per_second(now));
        let pressure = Pressure {
            demand: rate * f64::from(snapshot.balancers) * baseline / f64::from(slots.max(1)),
            wait: mean / baseline,
        };
        let throttle = self.throttles.entry(Arc::clone(service)).or_default();
        let refused = throttle.follow(&pressure, now);
        if uniform(mix(flow ^ SALT)) >= refused {
            return Ok(());
        }
        Err(Refusal {
            code: Code::LessUrgent,
            server: placed,
            expected: seconds(mean),
            limit: seconds(baseline * MIN_WAIT_RATIO),
        })
    }
}
