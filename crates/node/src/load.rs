//! Load balancing in the traffic threads: the policy of each service, by which new flows are
//! admitted and placed, and the counts that the control thread makes new plans from.

use std::{net::IpAddr, sync::Arc, time::Duration};

use acacia_config::{Config, Mark, customer_index};
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

/// Guaranteed share of a trial class, relative to 1 for a paying class of the same weight. Without
/// a guarantee trial callers would be shut out for as long as paying ones fill the service; a tenth
/// keeps them served and costs paying callers little.
const TRIAL_SHARE: f64 = 0.1;
/// Maximum number of open samples that one traffic thread keeps for a service, at some 64 bytes
/// each. Beyond that, estimates rest on fewer flows, so that memory stays bounded.
const MAX_SAMPLES: usize = 8_192;
/// Interval at which a traffic thread reports its counts: half the period at which the control
/// thread makes plans, so that each plan has fresh counts.
const DRAIN_INTERVAL: Duration = Duration::from_millis(500);

/// How new flows of one service are admitted and placed. Immutable; the control thread publishes a
/// new policy with each plan.
#[derive(Debug, Clone)]
pub struct Policy {
    /// The service's servers and classes of callers, shared by all plans made for them.
    pub pool: Arc<Pool>,
    /// The plan in force.
    pub plan: Arc<Plan>,
    /// Whether flows may be refused now, because measurements show the pool under pressure.
    pub refuses: bool,
    /// Index of a server in the pool by its number in the tables.
    pub index: Arc<Map<u16, pool::Server>>,
    /// Looks up the customer of a caller. The class of customer `n` has index `n + 1`; class 0 is
    /// for callers that belong to no customer.
    pub callers: Arc<customer_index::Index>,
}

/// The policies of all services, by address.
pub type Policies = Map<Address, Policy>;

/// Index of the class for callers that belong to no customer.
pub const NO_CUSTOMER: usize = 0;

/// Returns the policies of a configuration and its tables, before anything has been measured.
/// Balancers with the same configuration and tables assign the same indices to servers and classes.
#[must_use]
pub fn policies(config: &Config, config_revision: u64, document: &Document) -> Policies {
    let callers = Arc::new(customer_index::Index::new(config));
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
    /// Returns the index of a caller's class.
    #[must_use]
    pub fn class(&self, caller: IpAddr) -> usize {
        self.callers
            .find(caller)
            .map_or(NO_CUSTOMER, |customer| customer + 1)
    }
}

/// What one traffic thread counted for one service since its previous report.
#[derive(Debug, Clone)]
pub struct Counts {
    /// The address of the service.
    pub address: Address,
    /// The pool's revision; the control thread drops counts of a revision other than its own.
    pub revision: u64,
    /// Measurements for the load crate's controller.
    pub tally: Tally,
    /// New flows admitted and refused, by index of class.
    pub flows: Vec<Flows>,
}

/// New flows of one class.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Flows {
    /// Flows admitted and placed.
    pub placed: u64,
    /// Flows refused, whose callers were told when to retry.
    pub refused: u64,
}

/// State of one traffic thread for one service.
#[derive(Debug)]
struct State {
    revision: u64,
    gate: Gate,
    tracker: Tracker,
    flows: Vec<Flows>,
}

/// Admits and places the new flows of one traffic thread, and counts them.
#[derive(Debug)]
pub struct Placer {
    services: Map<Address, State>,
    random: Pcg64,
    drained: Duration,
}

impl Placer {
    /// Creates the state of a thread that has placed no flow yet. `seed` is for its random choices,
    /// such as the retry times of refused callers.
    #[must_use]
    pub fn new(seed: u64) -> Self {
        Placer {
            services: Map::default(),
            random: Pcg64::seed_from_u64(seed),
            drained: Duration::ZERO,
        }
    }

    /// Decides whether a new flow is admitted, and to which server it goes.
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
        let Placer {
            services, random, ..
        } = self;
        let state = service_state(services, request.service.address, policy);
        let admitted = state.gate.admit(class, &policy.plan, now, random);
        if let (Err(refusal), true) = (admitted, request.refusable && policy.refuses) {
            state.flows[class].refused += 1;
            let retry_after = u32::try_from(refusal.after.as_millis()).unwrap_or(u32::MAX);
            return Placement::Refuse { retry_after };
        }
        let choices = choices(request);
        if choices.is_empty() {
            return Placement::Nowhere;
        }
        state.flows[class].placed += 1;
        let known = |number: &u16| policy.index.get(number).copied();
        let ranked: Vec<pool::Server> = choices.iter().filter_map(known).collect();
        if ranked.len() < choices.len() {
            return Placement::Server(choices[0]);
        }
        match state.gate.place(&ranked, &policy.plan, random) {
            Ok(position) => Placement::Server(choices[position]),
            Err(_) => Placement::Nowhere,
        }
    }

    /// Measures load from a packet that arrived from the fabric and goes to the server with this
    /// number.
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
        let State { gate, tracker, .. } = service_state(&mut self.services, address, policy);
        tracker.observe(packet, server, class, now, gate.tally());
    }

    /// Returns the counts since the previous report, or nothing if none is due yet.
    pub fn drain(&mut self, now: Duration) -> Vec<Counts> {
        if now.saturating_sub(self.drained) < DRAIN_INTERVAL {
            return Vec::new();
        }
        self.drained = now;
        self.services
            .iter_mut()
            .map(|(address, state)| Counts {
                address: *address,
                revision: state.revision,
                tally: state.gate.drain(),
                flows: state.flows.iter_mut().map(std::mem::take).collect(),
            })
            .collect()
    }
}

fn service_state<'a>(
    services: &'a mut Map<Address, State>,
    address: Address,
    policy: &Policy,
) -> &'a mut State {
    let fresh = || {
        let limits = Limits::default();
        State {
            revision: policy.pool.revision,
            tracker: Tracker::new(MAX_SAMPLES, limits.slow),
            gate: Gate::new(&policy.pool, limits),
            flows: vec![Flows::default(); policy.pool.classes.len()],
        }
    };
    let state = services.entry(address).or_insert_with(fresh);
    if state.revision != policy.pool.revision {
        *state = fresh();
    }
    state
}

/// Returns the servers that the flow may be placed on, best first: only its base if the flow must
/// not be placed elsewhere.
fn choices(request: &Request<'_>) -> Vec<u16> {
    if !request.off_base_allowed {
        return vec![request.service.base[request.bucket]];
    }
    place::ranked(request)
}
