use std::time::Duration;

use rand::Rng;

use crate::{
    admit::Shares,
    limits::Limits,
    place,
    plan::Plan,
    pool::{Pool, Server},
    refuse::{Reason, Refusal},
    tally::Tally,
};

/// State of a traffic thread for admission and placement of new flows of one pool.
#[derive(Debug, Clone)]
pub struct Gate {
    limits: Limits,
    shares: Shares,
    plan_number: u64,
    connections: Vec<Option<u32>>,
    tally: Tally,
}

impl Gate {
    /// Creates a gate with full buckets and zero counts.
    ///
    /// ```
    /// use std::time::Duration;
    /// use acacia_load::{gate::Gate, limits::Limits, plan::Plan, pool::{Class, Host, Mark, Pool, Server}};
    /// use rand::SeedableRng as _;
    /// let host = Host { slots: 2, connections: 2_000 };
    /// let class = Class { name: "check-ins".into(), mark: Mark::Paying, share: 1.0 };
    /// let pool = Pool { revision: 1, hosts: vec![host; 2], classes: vec![class] };
    /// let mut rng = rand_pcg::Pcg64::seed_from_u64(1);
    /// let mut gate = Gate::new(&pool, Limits::default());
    /// let plan = Plan::unrestricted(&pool);
    /// assert!(gate.admit(0, &plan, Duration::ZERO, &mut rng).is_ok());
    /// assert_eq!(gate.place(&[Server(1), Server(0)], &plan, &mut rng), Ok(0));
    /// assert_eq!(gate.drain().servers[1].opened, 1);
    /// ```
    #[must_use]
    pub fn new(pool: &Pool, limits: Limits) -> Self {
        Gate {
            shares: Shares::new(pool, &limits),
            plan_number: 0,
            connections: vec![None; pool.classes.len()],
            tally: Tally::new(pool.hosts.len(), pool.classes.len()),
            limits,
        }
    }

    /// Admits or finally refuses a new flow of `class`. An unknown class is treated as trial without
    /// a share.
    pub fn admit(
        &mut self,
        class: usize,
        plan: &Plan,
        now: Duration,
        rng: &mut impl Rng,
    ) -> Result<(), Refusal> {
        let result = self.check(class, plan, now);
        if let Some(count) = self.tally.classes.get_mut(class) {
            match result {
                Ok(()) => count.admitted += 1,
                Err(_) => count.refused += 1,
            }
        }
        let pressure = plan.rates.as_ref().map_or(1.0, |rates| rates.pressure);
        result.map_err(|reason| Refusal::new(reason, pressure, &self.limits, rng))
    }

    /// Places an admitted flow on one of `ranked`, its servers in order of preference. Returns the
    /// position of the chosen server and counts the flow as opened there. Fails only if `ranked` is
    /// empty.
    pub fn place(
        &mut self,
        ranked: &[Server],
        plan: &Plan,
        rng: &mut impl Rng,
    ) -> Result<usize, Refusal> {
        let Some(position) = place::choose(ranked, plan, rng) else {
            return Err(Refusal::new(Reason::Empty, 1.0, &self.limits, rng));
        };
        self.tally.opened(ranked[position]);
        Ok(position)
    }

    /// Returns the counts, to which the thread adds the events of flows.
    pub fn tally(&mut self) -> &mut Tally {
        &mut self.tally
    }

    /// Takes the counts since the last call, for [`crate::controller::Controller::absorb`].
    pub fn drain(&mut self) -> Tally {
        let empty = Tally::new(self.tally.servers.len(), self.tally.classes.len());
        std::mem::replace(&mut self.tally, empty)
    }

    fn check(&mut self, class: usize, plan: &Plan, now: Duration) -> Result<(), Reason> {
        if class >= self.connections.len() {
            return Err(Reason::Share);
        }
        if plan.number != self.plan_number {
            self.plan_number = plan.number;
            self.connections.clone_from(&plan.connections);
        }
        if self.connections[class] == Some(0) {
            return Err(Reason::Connections);
        }
        let shares = &mut self.shares;
        let admitted = plan
            .rates
            .as_ref()
            .is_none_or(|rates| shares.take(class, rates, &self.limits, now));
        if !admitted {
            return Err(Reason::Share);
        }
        if let Some(left) = &mut self.connections[class] {
            *left -= 1;
        }
        Ok(())
    }
}
