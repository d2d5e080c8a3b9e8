//! The load crate in the daemon: a pool for each service, what traffic threads decide by, and what
//! the control thread makes of their counts.

use std::{net::IpAddr, sync::Arc, time::Duration};

use acacia_config::{Config, CustomerIndex, Mark};
use acacia_flow::{
    place,
    snapshot::Address,
    verdict::{Placement, Request},
};
use acacia_load::{
    gate::Gate,
    limits::Limits,
    plan::Plan,
    pool::{self, Class, Host, Pool},
    tally::Tally,
    track::Tracker,
};
use acacia_tables::Document;
use acacia_wire::{collections::Map, packet::Packet};
use rand::SeedableRng as _;
use rand_pcg::Pcg64;

/// What a trial class is guaranteed, against 1 for a paying one of the same weight. Without any
/// guarantee trial callers would be shut out for as long as paying ones fill the service; a tenth
/// keeps them served and costs paying ones little.
const TRIAL_SHARE: f64 = 0.1;
/// Samples that one traffic thread keeps for a service: 8,192 of some 64 bytes. Beyond it the
/// estimates rest on fewer flows and no memory grows.
const SAMPLES: usize = 8_192;
/// Between two reports of a traffic thread's counts. Half of the control thread's period, so that
/// each of its turns has fresh ones.
const DRAIN: Duration = Duration::from_millis(500);

/// What one service's new flows are decided by. Immutable; the control thread publishes a new one
/// with each plan.
#[derive(Debug, Clone)]
pub struct Policy {
    /// The pool, shared by all plans made for it.
    pub pool: Arc<Pool>,
    /// The plan in force.
    pub plan: Arc<Plan>,
    /// Whether flows may be refused now: the pool is under pressure by what is measured in it.
    pub refuses: bool,
    /// Index in the pool by number in the tables.
    pub index: Arc<Map<u16, pool::Server>>,
    /// Finds the customer of a caller; its class has the next higher index, and class 0 is for
    /// callers of no customer.
    pub callers: Arc<CustomerIndex>,
}

/// The policies of all services.
pub type Policies = Map<Address, Policy>;

/// The class of callers that belong to no customer.
pub const NO_CUSTOMER: usize = 0;

/// The policies of a configuration and its tables before anything was measured. All balancers that
/// have both number servers and classes alike.
#[must_use]
pub fn policies(config: &Config, config_revision: u64, document: &Document) -> Policies {
    let callers = Arc::new(CustomerIndex::new(config));
    let revision = document.version << 32 | (config_revision & u64::from(u32::MAX));
    let policy = |service: &acacia_tables::Service| {
        let wanted = config.service(&service.name);
        let index = service
            .servers
            .iter()
            .zip(0..)
            .map(|(server, at)| (server.number, pool::Server(at)));
        let hosts = service.servers.iter().map(|server| Host {
            slots: u32::from(server.slots),
            connections: server.connections,
        });
        let default = wanted.map_or(Mark::Trial, |wanted| wanted.callers);
        let pool = Arc::new(Pool {
            revision,
            hosts: hosts.collect(),
            classes: classes(&service.name, default, config),
        });
        let policy = Policy {
            plan: Arc::new(Plan::unrestricted(&pool)),
            refuses: false,
            pool,
            index: Arc::new(index.collect()),
            callers: Arc::clone(&callers),
        };
        (service.address, policy)
    };
    document.services.iter().map(policy).collect()
}

fn classes(service: &str, default: Mark, config: &Config) -> Vec<Class> {
    let class = |name: &str, mark: Mark, weight: u16| Class {
        name: format!("{service}/{name}").into(),
        mark: match mark {
            Mark::Paying => pool::Mark::Paying,
            Mark::Trial => pool::Mark::Trial,
        },
        share: f64::from(weight)
            * match mark {
                Mark::Paying => 1.0,
                Mark::Trial => TRIAL_SHARE,
            },
    };
    let others = config.customers().iter();
    std::iter::once(class(default.label(), default, 1))
        .chain(others.map(|customer| class(&customer.name, customer.mark, customer.weight)))
        .collect()
}

impl Policy {
    /// The class of a caller.
    #[must_use]
    pub fn class(&self, caller: IpAddr) -> usize {
        self.callers
            .find(caller)
            .map_or(NO_CUSTOMER, |customer| customer + 1)
    }
}

/// Counts of one service from one traffic thread.
#[derive(Debug, Clone)]
pub struct Counts {
    /// The service.
    pub address: Address,
    /// The pool's revision; counts made under another one are dropped.
    pub revision: u64,
    /// The counts.
    pub tally: Tally,
    /// What became of new flows, by index of class.
    pub flows: Vec<Flows>,
}

/// What became of the new flows of one class.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Flows {
    /// Let in.
    pub placed: u64,
    /// Answered as not run.
    pub refused: u64,
}

/// One traffic thread's part for one service.
#[derive(Debug)]
struct Local {
    revision: u64,
    gate: Gate,
    tracker: Tracker,
    flows: Vec<Flows>,
}

/// One traffic thread's part for all services.
#[derive(Debug)]
pub struct Desk {
    locals: Map<Address, Local>,
    random: Pcg64,
    drained: Duration,
}

impl Desk {
    /// A thread that has decided nothing yet. `seed` spreads the times to come back.
    #[must_use]
    pub fn new(seed: u64) -> Self {
        Desk {
            locals: Map::default(),
            random: Pcg64::seed_from_u64(seed),
            drained: Duration::ZERO,
        }
    }

    /// Decides on a new flow.
    pub fn place(
        &mut self,
        request: &Request<'_>,
        policies: &Policies,
        now: Duration,
    ) -> Placement {
        let Some(policy) = policies.get(&request.service.address) else {
            return place::by_table(request);
        };
        let class = policy.class(IpAddr::V4(request.packet.key.client));
        let Desk { locals, random, .. } = self;
        let local = local(locals, request.service.address, policy);
        let admitted = local.gate.admit(class, &policy.plan, now, random);
        if let (Err(refusal), true) = (admitted, request.refusable && policy.refuses) {
            local.flows[class].refused += 1;
            let retry_after = u32::try_from(refusal.after.as_millis()).unwrap_or(u32::MAX);
            return Placement::Refuse { retry_after };
        }
        let choices = choices(request);
        if choices.is_empty() {
            return Placement::Nowhere;
        }
        local.flows[class].placed += 1;
        let known = |number: &u16| policy.index.get(number).copied();
        let ranked: Vec<pool::Server> = choices.iter().filter_map(known).collect();
        if ranked.len() < choices.len() {
            return Placement::Server(choices[0]);
        }
        match local.gate.place(&ranked, &policy.plan, random) {
            Ok(position) => Placement::Server(choices[position]),
            Err(_) => Placement::Nowhere,
        }
    }

    /// Looks at a packet from the fabric that goes to the server with this number.
    pub fn observe(
        &mut self,
        packet: &Packet,
        address: Address,
        server: u16,
        policies: &Policies,
        now: Duration,
    ) {
        let Some(policy) = policies.get(&address) else {
            return;
        };
        let Some(server) = policy.index.get(&server).copied() else {
            return;
        };
        let class = policy.class(IpAddr::V4(packet.key.client));
        let Local { gate, tracker, .. } = local(&mut self.locals, address, policy);
        tracker.observe(packet, server, class, now, gate.tally());
    }

    /// The counts since the last time, when they are due.
    pub fn drain(&mut self, now: Duration) -> Vec<Counts> {
        if now.saturating_sub(self.drained) < DRAIN {
            return Vec::new();
        }
        self.drained = now;
        self.locals
            .iter_mut()
            .map(|(address, local)| Counts {
                address: *address,
                revision: local.revision,
                tally: local.gate.drain(),
                flows: local.flows.iter_mut().map(std::mem::take).collect(),
            })
            .collect()
    }
}

fn local<'a>(
    locals: &'a mut Map<Address, Local>,
    address: Address,
    policy: &Policy,
) -> &'a mut Local {
    let fresh = || {
        let limits = Limits::default();
        Local {
            revision: policy.pool.revision,
            tracker: Tracker::new(SAMPLES, limits.slow),
            gate: Gate::new(&policy.pool, limits),
            flows: vec![Flows::default(); policy.pool.classes.len()],
        }
    };
    let local = locals.entry(address).or_insert_with(fresh);
    if local.revision != policy.pool.revision {
        *local = fresh();
    }
    local
}

/// The servers that may take the flow, best first: only the base where the flow may not leave it.
fn choices(request: &Request<'_>) -> Vec<u16> {
    if !request.off_base_allowed {
        return vec![request.service.base[request.bucket]];
    }
    place::ranked(request)
}
