use acacia_flow::{
    place::by_table,
    resolve,
    verdict::{Action, Arrival},
};
use acacia_wire::{
    flow::{Key, Protocol},
    packet::{Kind, Packet},
};
use rand::RngExt;

use super::{
    balancer::Message,
    fleet::{
        ANSWER_DELAY_MS, Event, FEED_INTERVAL_MS, Fleet, Flow, MAX_RETRANSMISSIONS, NO_SERVER,
        PEER_DELAY_MS, SHORT_FLOW_MS, Step,
    },
    policy::Policy,
};

/// Traffic of the callers.
impl Fleet<'_> {
    pub(super) fn start_flow(&mut self, feed: bool) {
        let flow = Flow {
            number: self.next,
            server: NO_SERVER,
            step: Step::Open,
            resends: 0,
            feed,
            broken: false,
        };
        self.next += 1;
        self.opened += 1;
        let at = match self.free.pop() {
            Some(at) => {
                self.flows[at as usize] = flow;
                at
            }
            None => {
                self.flows.push(flow);
                self.flows.len() as u32 - 1
            }
        };
        self.due(at);
    }

    /// Sends the next packet of a flow through a running balancer chosen at random by the fabric.
    pub(super) fn due(&mut self, at: u32) {
        let flow = self.flows[at as usize];
        if flow.broken {
            return;
        }
        self.packets += 1;
        let to = loop {
            let to = self.rng.random_range(0..self.options.balancers);
            if self.balancers[usize::from(to)].running {
                break to;
            }
        };
        self.arrive(to, at, flow.step, Arrival::Ingress);
    }

    pub(super) fn arrive(&mut self, to: u16, at: u32, step: Step, arrival: Arrival) {
        let packet = packet(self.flows[at as usize].number, step);
        let balancer = &mut self.balancers[usize::from(to)];
        self.decided += 1;
        if self.policy != Policy::Ours {
            let service = &balancer.tables.services[0];
            let hashed = service.next[service.bucket(packet.key.hash())];
            let server = match self.policy {
                Policy::Track => balancer.tracked.resolve(&packet.key, packet.kind, hashed),
                _ => hashed,
            };
            return self.deliver(at, step, server);
        }
        let hash = packet.key.hash();
        let mut shard = balancer.shards.of(hash);
        let snapshot = &balancer.snapshot;
        let verdict = resolve(
            snapshot,
            &mut shard,
            self.now,
            &packet,
            arrival,
            &mut by_table,
        );
        drop(shard);
        if let Some((peer, notice)) = verdict.notice {
            let from = balancer.node;
            self.post(from, peer, Message::Notice(notice));
        }
        match verdict.action {
            Action::Forward { server } => self.deliver(at, step, server),
            Action::Redirect { to: next, header } => {
                self.redirected += u64::from(arrival == Arrival::Ingress);
                let event = Event::Packet {
                    to: next,
                    from: to,
                    flow: at,
                    step,
                    header,
                };
                self.wheel.schedule(PEER_DELAY_MS, event);
            }
            _ => self.resend(at, step),
        }
    }

    /// Delivers a packet to a server and schedules the caller's next packet. The flow breaks if the
    /// server isn't the one that accepted it.
    pub(super) fn deliver(&mut self, at: u32, step: Step, server: u16) {
        let flow = &mut self.flows[at as usize];
        if step == Step::Open {
            flow.server = server;
        } else if flow.server != server {
            flow.broken = true;
            self.broken += 1;
            if !flow.feed {
                self.free.push(at);
            }
            return;
        }
        flow.resends = 0;
        let feed = flow.feed;
        let (next, delay) = match step {
            Step::Open => (Step::Acknowledge, ANSWER_DELAY_MS),
            Step::Acknowledge if feed => return self.wait_for_feed_data(at),
            Step::Acknowledge => (Step::Send, ANSWER_DELAY_MS),
            Step::Send if feed => return self.wait_for_feed_data(at),
            Step::Send => (Step::Close, SHORT_FLOW_MS),
            Step::Close => return self.free.push(at),
        };
        flow.step = next;
        self.wheel.schedule(delay, Event::Due(at));
    }

    pub(super) fn wait_for_feed_data(&mut self, at: u32) {
        let flow = &mut self.flows[at as usize];
        flow.step = Step::Send;
        if !flow.number.is_multiple_of(3) {
            let unit: f64 = self.rng.random_range(f64::EPSILON..1.0);
            self.wheel
                .schedule((-unit.ln() * FEED_INTERVAL_MS) as u64 + 1, Event::Due(at));
        }
    }

    /// Schedules the retransmission of a dropped packet, with exponential backoff.
    pub(super) fn resend(&mut self, at: u32, step: Step) {
        self.dropped += 1;
        let flow = &mut self.flows[at as usize];
        flow.resends += 1;
        if flow.resends > MAX_RETRANSMISSIONS {
            flow.broken = true;
            self.given_up += 1;
            if !flow.feed {
                self.free.push(at);
            }
            return;
        }
        let first = if step == Step::Open { 1_000 } else { 200 };
        self.wheel
            .schedule(first << (flow.resends - 1), Event::Due(at));
    }
}

fn packet(number: u32, step: Step) -> Packet {
    let key = Key {
        client: (0x0a00_0000 + (number >> 15)).into(),
        service: [198, 51, 100, 1].into(),
        client_port: 16_384 + (number & 0x7fff) as u16,
        service_port: 443,
        protocol: Protocol::Tcp,
    };
    let (kind, payload) = match step {
        Step::Open => (Kind::Opening { isn: number }, 0),
        Step::Acknowledge => (Kind::Middle, 0),
        Step::Send => (Kind::Middle, 200),
        Step::Close => (Kind::Closing, 0),
    };
    Packet {
        key,
        kind,
        payload,
        sequence: number,
        acknowledgement: 1,
    }
}
