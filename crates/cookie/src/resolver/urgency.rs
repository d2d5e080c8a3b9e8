//! Refusal of new flows in favour of more urgent ones.

use std::{net::Ipv4Addr, sync::Arc, time::Duration};

use acacia_code::Code;
use acacia_load::{overload, quota, urgency::Rank};

use super::{Refusal, Resolver, open::seconds};
use crate::snapshot::Snapshot;

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

    /// Refuses a part of the new flows while callers ask for more than all servers of the service can do; see
    /// [`Quota`](acacia_load::quota::Quota). The more urgent flows are admitted first.
    ///
    /// All are admitted until the speed of a server has been measured. A capacity from answer times alone
    /// would be a fraction of the real one where callers are far away, so that flows would be refused while
    /// servers are idle.
    ///
    /// # Errors
    /// If the flow is to be refused.
    pub(super) fn enforce_quota(
        &mut self,
        snapshot: &Snapshot,
        objective: &overload::Objective,
        caller: Ipv4Addr,
        placed: u32,
        now: Duration,
    ) -> Result<(), Refusal> {
        let service = &snapshot.servers[placed as usize].service;
        let priority = objective.priority.unwrap_or(u32::MAX);
        let demand = Arc::clone(&self.demand);
        let pool = snapshot.pool(service);
        let idle = pool.and_then(|pool| pool.idle);
        let capacity = pool.and_then(|pool| self.capacity(pool));
        let (Some(load), Some(idle), Some(capacity)) = (demand.total(service), idle, capacity)
        else {
            self.arrivals(service, now).offer(priority, 1.0, true, now);
            return Ok(());
        };
        let quiet = self.delays.since_last_answer(service, now);
        let mean = self.delays.usual(service, now) - quiet;
        let admission = self.admissions.entry(Arc::clone(service)).or_default();
        let admitted = admission.quota.admitted(capacity, load, priority);
        let exceeded = admission.quota.is_exceeded(capacity, load);
        let times = quota::Times {
            mean,
            idle: idle.whole(),
            objective: objective.latency.as_secs_f64(),
        };
        admission.quota.follow(&times, exceeded, now);
        admission.kept_work = admission.kept_work.or(Some(idle.work)).filter(|_| exceeded);
        let is_admitted = self.is_admitted(caller, admitted, now);
        let arrivals = self.arrivals(service, now);
        arrivals.offer(priority, admitted, is_admitted, now);
        if is_admitted {
            return Ok(());
        }
        let is_urgent = load.offered.iter().all(|(other, _)| *other >= priority);
        let (demand, capacity) = self.demand_and_capacity(snapshot, service);
        Err(Refusal {
            code: if is_urgent {
                Code::ServersBusy
            } else {
                Code::LessUrgent
            },
            server: placed,
            expected: seconds(mean),
            limit: objective.latency,
            demand,
            capacity,
        })
    }
}
