use acacia_flow::{
    Verdict,
    place::by_table,
    resolve,
    verdict::{Action, Arrival, Placement},
};
use acacia_wire::packet::{Kind, Packet};
use rand::RngExt;

use super::{Event, Fleet, Message, Truth};

/// Callers and backend servers, and the checks of what reaches them.
impl Fleet {
    /// Sends `packet` to a random running balancer, as the fabric does.
    pub fn spray(&mut self, packet: &Packet) {
        let running: Vec<u16> = self.running();
        if running.is_empty() {
            return;
        }
        let at = running[self.rng.random_range(0..running.len())];
        self.send(at, packet);
    }

    pub fn running(&self) -> Vec<u16> {
        let running = self.balancers.iter().filter(|balancer| balancer.running);
        running.map(|balancer| balancer.node.id).collect()
    }

    /// Sends `packet` to balancer `id`.
    pub fn send(&mut self, id: u16, packet: &Packet) {
        self.flows.entry(packet.key).or_insert(Truth {
            service: None,
            server: None,
            data: false,
            opened_at: 0,
            established: false,
            delivered: 0,
            refused: false,
        });
        if self.now < self.balancers[usize::from(id)].suspended_until {
            return;
        }
        self.arrive(id, packet, Arrival::Ingress);
    }

    pub(super) fn arrive(&mut self, id: u16, packet: &Packet, arrival: Arrival) {
        let refusing = self.refusing;
        let balancer = &self.balancers[usize::from(id)];
        let mut shard = balancer.shards.of(packet.key.hash());
        let mut place = |request: &acacia_flow::verdict::Request<'_>| match refusing {
            true => Placement::Refuse { retry_after: 1_000 },
            false => by_table(request),
        };
        let snapshot = &balancer.snapshot;
        let Verdict { action, notice } =
            resolve(snapshot, &mut shard, self.now, packet, arrival, &mut place);
        drop(shard);
        let from = balancer.node;
        if let Some((to, notice)) = notice {
            self.post(Event {
                from,
                to,
                message: Message::Notice(notice),
            });
        }
        match action {
            Action::Redirect { to, header } => {
                let message = Message::Packet(header, *packet);
                self.post(Event { from, to, message });
            }
            Action::Forward { server } => self.deliver(server, packet),
            Action::Refuse { .. } => self.refuse(packet),
            Action::Drop { code } => *self.drops.entry(code).or_default() += 1,
            Action::End { .. } => {
                self.ends.insert(packet.key, self.now);
            }
        }
    }

    pub(super) fn refuse(&mut self, packet: &Packet) {
        let Some(truth) = self.flows.get_mut(&packet.key) else {
            return;
        };
        truth.refused = true;
        if truth.data {
            let line = format!("{} flow refused after it sent data, {packet:?}", self.now);
            self.failures.push(line);
        }
    }

    /// Delivers a packet to a backend server, and records a failure if it is the wrong one.
    pub(super) fn deliver(&mut self, server: u16, packet: &Packet) {
        let service = self.owner_of[&server];
        let Some(truth) = self.flows.get_mut(&packet.key) else {
            return;
        };
        let now = self.now;
        if *truth.service.get_or_insert(service) != service {
            self.failures.push(format!(
                "{now} server {server} of another service, {packet:?}"
            ));
            return;
        }
        if truth.is_abandoned(now) {
            // The balancers forwarded the packet correctly; the server has merely dropped the flow.
            truth.delivered += u32::from(truth.server == Some(server));
            return;
        }
        truth.delivered += 1;
        let opens = matches!(packet.kind, Kind::Opening { .. } | Kind::Datagram);
        truth.data |= packet.payload > 0;
        truth.established |= truth.server.is_some() && !matches!(packet.kind, Kind::Opening { .. });
        if opens && truth.server.is_none() {
            truth.server = Some(server);
            truth.opened_at = now;
            self.last_opened_at.insert(server, now);
        } else if truth.server != Some(server) {
            let right = truth.server;
            self.failures
                .push(format!("{now} server {server}, not {right:?}, {packet:?}"));
        }
    }
}
