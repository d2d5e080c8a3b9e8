use std::sync::Arc;

use acacia_flow::{
    control::Tables,
    rank::Node,
    snapshot::{Address, Server, Service, State},
    table::build,
};
use acacia_wire::flow::Protocol;
use rand::RngExt;

use super::{
    Options,
    balancer::{Balancer, Message},
    case::Change,
    fleet::{Event, Fleet},
    policy::Policy,
};

/// Changes by operators, and faults.
impl Fleet<'_> {
    pub(super) fn apply(&mut self, change: Change) {
        let id = |id: u16| usize::from(id);
        match change {
            Change::Drain(server) => self.publish(|service| {
                if let Some(entry) = service.servers.get_mut(&server) {
                    entry.state = State::Draining;
                }
            }),
            Change::Add(server) => self.publish(|service| {
                service.servers.insert(
                    server,
                    Server {
                        state: State::Up,
                        weight: 100,
                    },
                );
            }),
            Change::Reweight => self.publish(|service| {
                for (id, server) in &mut service.servers {
                    server.weight = match id % 3 {
                        0 => server.weight / 2,
                        1 => server.weight * 2,
                        _ => server.weight,
                    };
                }
            }),
            Change::Replace(at) => {
                self.balancers[id(at)].control.leave();
                self.replacing.insert(at, u64::MAX);
            }
            Change::Crash(at) => self.end(at),
            Change::Start(at) => self.start(at),
            Change::Cut => self.cut = true,
            Change::Heal => self.cut = false,
            Change::StoreDown => self.spread = 8_000,
        }
    }

    pub(super) fn publish(&mut self, edit: impl FnOnce(&mut Service)) {
        self.tables.version += 1;
        let service = Arc::make_mut(&mut self.tables.services[0]);
        edit(service);
        let eligible = service
            .servers
            .iter()
            .filter(|(_, server)| server.is_eligible());
        let weights: Vec<_> = eligible.map(|(&id, server)| (id, server.weight)).collect();
        service.next = build(service.base.len(), &weights, &service.next).into();
        for to in 0..self.options.balancers {
            let delay = self.rng.random_range(1..=self.spread);
            self.wheel.schedule(
                delay,
                Event::Tables {
                    to,
                    tables: self.tables.clone(),
                },
            );
        }
    }

    pub(super) fn end(&mut self, at: u16) {
        let balancer = &mut self.balancers[usize::from(at)];
        balancer.running = false;
        self.ended.push((balancer.node, self.now));
    }

    pub(super) fn start(&mut self, at: u16) {
        let others = self.balancers.iter().filter(|other| other.running);
        let others: Vec<_> = others.map(|b| (b.node, b.control.stage())).collect();
        let old = &self.balancers[usize::from(at)];
        let node = Node {
            incarnation: old.node.incarnation + 1,
            ..old.node
        };
        let (sent, peak) = (old.sent, old.peak);
        let mut balancer = Balancer::new(node, &self.tables, &others, self.now);
        (balancer.sent, balancer.peak) = (sent, peak);
        self.balancers[usize::from(at)] = balancer;
    }

    /// Advances graceful replacements: a leaving balancer announces its exit once it may leave,
    /// serves packets that still arrive for one second, and is then replaced by a new process.
    pub(super) fn advance_replacements(&mut self) {
        for (at, until) in self.replacing.clone() {
            let balancer = &self.balancers[usize::from(at)];
            let node = balancer.node;
            let may_leave = balancer.control.may_leave() || self.policy != Policy::Ours;
            if until == u64::MAX && may_leave {
                self.balancers[usize::from(at)].control.depart();
                let others = 0..self.options.balancers;
                others
                    .filter(|&to| to != at)
                    .for_each(|to| self.post(node, to, Message::Bye));
                self.replacing.insert(at, self.now + 1_000);
            } else if self.now >= until {
                self.replacing.remove(&at);
                self.end(at);
                self.start(at);
            }
        }
    }
}

/// The initial tables, in which all servers have the same weight.
pub(super) fn tables(options: &Options) -> Tables {
    let weights: Vec<_> = (0..options.servers).map(|id| (id, 100)).collect();
    let table: Arc<[u16]> = build(options.buckets, &weights, &[]).into();
    let server = |id| {
        (
            id,
            Server {
                state: State::Up,
                weight: 100,
            },
        )
    };
    let service = Service {
        address: Address {
            ip: [198, 51, 100, 1].into(),
            port: 443,
            protocol: Protocol::Tcp,
        },
        since: 1,
        strict: false,
        base: Arc::clone(&table),
        next: table,
        servers: (0..options.servers).map(server).collect(),
    };
    Tables {
        version: 1,
        services: vec![Arc::new(service)],
    }
}
