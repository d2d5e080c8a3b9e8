use std::{sync::Arc, time::Duration};

use acacia_cookie::{
    place::{Candidate, choose},
    speed::{self, Speeds},
};
use acacia_load::tally::Tally;

use super::fleet::BALANCERS;

/// Number of flow classes that are counted: paying and trial.
const MARKS: usize = 2;

/// State of one balancer.
#[derive(Debug)]
struct Balancer {
    tally: Tally,
    speeds: Speeds,
    /// Weight factor of each server.
    factors: Vec<f64>,
}

/// Balancers that run the product's decision code for packets with a routing cookie: they place
/// flows by their own open flows and by server speeds estimated from the counts of all balancers.
#[derive(Debug)]
pub struct Cookie {
    names: Vec<Arc<str>>,
    slots: u32,
    balancers: Vec<Balancer>,
}

impl Cookie {
    /// Creates balancers without any measurements of the servers.
    #[must_use]
    pub fn new(servers: usize, slots: u32) -> Self {
        let balancer = || Balancer {
            tally: Tally::new(servers, MARKS),
            speeds: Speeds::default(),
            factors: vec![1.0; servers],
        };
        Cookie {
            names: (0..servers).map(|n| format!("server-{n}").into()).collect(),
            slots,
            balancers: (0..BALANCERS).map(|_| balancer()).collect(),
        }
    }

    /// Records an event of a flow that the balancer `at` observed.
    pub fn record(&mut self, at: usize, event: impl FnOnce(&mut Tally)) {
        event(&mut self.balancers[at].tally);
    }

    /// Runs the periodic update, once per second: balancers exchange their counts, unless the
    /// network between them is `cut`, and update their speed estimates.
    pub fn tick(&mut self, cut: bool, now: f64) {
        let seen: Vec<Vec<speed::Count>> = self
            .balancers
            .iter_mut()
            .map(|b| drain(b, &self.names))
            .collect();
        for (at, balancer) in self.balancers.iter_mut().enumerate() {
            let heard = |from: &usize| *from == at || !cut;
            let heard = (0..BALANCERS).filter(heard);
            let visible = heard.clone().count() as f64 / BALANCERS as f64;
            for seen in heard.flat_map(|from| &seen[from]) {
                balancer.speeds.add(seen);
            }
            let now = Duration::from_secs_f64(now);
            balancer.speeds.tick(now, visible, |_| Some(self.slots));
            let names = self.names.iter().map(|name| &**name);
            balancer.factors = balancer.speeds.factors(names);
        }
    }

    /// Chooses a server among the `usable` ones for the flow with the hash `flow`. `open` is the
    /// number of open flows that the balancer has at each server.
    #[must_use]
    pub fn place(
        &self,
        at: usize,
        flow: u64,
        open: &[u32],
        usable: impl Fn(usize) -> bool,
    ) -> usize {
        let factors = &self.balancers[at].factors;
        let candidate = |server: usize| Candidate {
            position: server as u32,
            hash: acacia_cookie::cookie::hash(&self.names[server]),
            weight: factors[server],
            local: true,
        };
        let candidates = (0..factors.len()).filter(|s| usable(*s)).map(candidate);
        let load = |server: u32| {
            let server = server as usize;
            f64::from(open[server] + 1) / factors[server]
        };
        choose(flow, candidates, load).unwrap_or(0) as usize
    }
}

fn drain(balancer: &mut Balancer, names: &[Arc<str>]) -> Vec<speed::Count> {
    let empty = Tally::new(names.len(), MARKS);
    let tally = std::mem::replace(&mut balancer.tally, empty);
    let seen = |(server, count): (&Arc<str>, _)| speed::Count {
        server: Arc::clone(server),
        count,
    };
    names.iter().zip(tally.servers).map(seen).collect()
}
