mod owner;

use acacia_code::Code;
use acacia_wire::{
    encap::{MAX_HOPS, NO_SERVER, Notified, Purpose, Redirect},
    packet::{Kind, Packet},
};

use crate::{
    pin::Phase,
    shard::Shard,
    snapshot::{Address, Chain, Entry, Service, Snapshot},
    verdict::{Action, Arrival, Notice, Placement, Request, Verdict},
};

/// Decides what to do with `packet`, which reached this balancer at `now`.
///
/// `shard` must be the shard of the packet's flow. `place` chooses the server of a new flow.
///
/// ```
/// use std::sync::Arc;
/// use acacia_flow::{control::{Settings, Tables}, place::by_table, rank::Node, resolve};
/// use acacia_flow::{shard::Limits, snapshot::{Address, Server, Service, State}, table::build};
/// use acacia_flow::{verdict::{Action, Arrival}, Control, Shards};
/// use acacia_wire::{flow::{Key, Protocol}, packet::{Kind, Packet}};
///
/// // A single balancer and one service with two servers.
/// let address = Address { ip: [198, 51, 100, 1].into(), port: 443, protocol: Protocol::Tcp };
/// let table: Arc<[u16]> = build(4_096, &[(1, 10), (2, 10)], &[]).into();
/// let up = Server { state: State::Up, weight: 10 };
/// let service = Service { address, since: 1, strict: false, base: table.clone(), next: table,
///     servers: [(1, up), (2, up)].into_iter().collect() };
/// let mut control = Control::new(Node { id: 1, incarnation: 1 }, Settings::default(), 0);
/// control.set_tables(Tables { version: 1, services: vec![Arc::new(service)] }, 0);
/// control.set_members(&[]);
/// let shards = Shards::new(16, Limits::default());
/// for index in 0..shards.count() {
///     control.sweep(&mut shards.at(index), index, shards.count(), 0);
/// }
/// let snapshot = control.snapshot(0);
///
/// let key = Key { client: [192, 0, 2, 1].into(), client_port: 40_000,
///     service: address.ip, service_port: 443, protocol: Protocol::Tcp };
/// let packet = Packet { key, kind: Kind::Opening { isn: 7 }, payload: 0, sequence: 7,
///     acknowledgement: 0 };
/// let mut shard = shards.of(key.hash());
/// let verdict = resolve(&snapshot, &mut shard, 0, &packet, Arrival::Ingress, &mut by_table);
/// assert!(matches!(verdict.action, Action::Forward { server: 1 | 2 }));
/// ```
pub fn resolve(
    snapshot: &Snapshot,
    shard: &mut Shard,
    now: u64,
    packet: &Packet,
    arrival: Arrival,
    place: &mut dyn FnMut(&Request<'_>) -> Placement,
) -> Verdict {
    let Some(entry) = snapshot.services.get(&Address::of(&packet.key)) else {
        return drop(Code::ServiceUnknown);
    };
    if matches!(packet.kind, Kind::Opening { .. }) && packet.payload > 0 {
        return drop(Code::OpeningWithData);
    }
    let hash = packet.key.hash();
    let mut resolution = Resolution {
        snapshot,
        entry,
        service: &entry.service,
        shard,
        now,
        packet,
        hash,
        bucket: entry.service.bucket(hash),
        hops: 0,
        place,
    };
    let verdict = resolution.resolve(arrival);
    match verdict.action {
        Action::Forward { server } if resolution.is_path_broken(server) => {
            Action::End { server }.into()
        }
        _ => verdict,
    }
}

fn drop(code: Code) -> Verdict {
    Action::Drop { code }.into()
}

fn forward(server: u16) -> Verdict {
    Action::Forward { server }.into()
}

/// Context for resolving one packet at one balancer.
struct Resolution<'a> {
    snapshot: &'a Snapshot,
    entry: &'a Entry,
    service: &'a Service,
    shard: &'a mut Shard,
    now: u64,
    packet: &'a Packet,
    hash: u64,
    bucket: usize,
    hops: u8,
    place: &'a mut dyn FnMut(&Request<'_>) -> Placement,
}

impl Resolution<'_> {
    fn resolve(&mut self, arrival: Arrival) -> Verdict {
        match arrival {
            Arrival::Ingress => self.ingress(),
            Arrival::Redirected(header) => {
                self.hops = header.hops;
                match header.purpose {
                    Purpose::Resolve => self.resolve_redirected(&header),
                    Purpose::Replicate | Purpose::Release => self.replicate(&header),
                }
            }
        }
    }

    /// Whether the caller retransmits data that the server no longer acknowledges. Counts only
    /// packets that are forwarded to the flow's own server, so that no flow is reset on a guess.
    fn is_path_broken(&mut self, server: u16) -> bool {
        let (since, now) = (self.service.since, self.now);
        self.packet.kind == Kind::Middle
            && self
                .shard
                .broken_paths
                .is_path_broken(self.hash, self.packet, since, server, now)
    }

    fn ingress(&mut self) -> Verdict {
        let flagged =
            !self.snapshot.are_flags_complete(self.now) || self.entry.flags.contains(self.bucket);
        match self.packet.kind {
            Kind::Opening { .. } if flagged || self.entry.guarded => self.consult_owner(),
            Kind::Opening { .. } => self.open_on_base(),
            _ if !flagged => self.forward_to(self.base()),
            Kind::Closing | Kind::Reset => {
                self.shard.evict_cached(&self.packet.key);
                self.consult_owner()
            }
            Kind::Middle | Kind::Datagram | Kind::Error => {
                match self.shard.cached(&self.packet.key, self.now) {
                    Some(server) => self.forward_to(server),
                    None => self.consult_owner(),
                }
            }
        }
    }

    fn base(&self) -> u16 {
        self.service.base[self.bucket]
    }

    fn forward_to(&self, server: u16) -> Verdict {
        if self.service.servers.contains_key(&server) {
            forward(server)
        } else {
            drop(Code::FlowServerUnknown)
        }
    }

    /// Opens a flow in a bucket that is not flagged; it needs no pin.
    fn open_on_base(&mut self) -> Verdict {
        match self.ask_policy(false, false) {
            Placement::Server(_) => self.forward_to(self.base()),
            Placement::Refuse { .. } => drop(Code::FlowUnsettled),
            Placement::Nowhere => drop(Code::ServerNone),
        }
    }

    fn ask_policy(&mut self, off_base_allowed: bool, refusable: bool) -> Placement {
        (self.place)(&Request {
            service: self.service,
            bucket: self.bucket,
            hash: self.hash,
            packet: self.packet,
            off_base_allowed,
            refusable,
        })
    }

    /// Whether balancer `id` can be asked about the flow; for the local one, whether it is an
    /// owner.
    fn can_ask(&self, id: u16) -> bool {
        if id == self.snapshot.me.id {
            self.snapshot.is_owner(self.now)
        } else {
            self.snapshot.is_reachable(id)
        }
    }

    fn first_available(&self, chain: &Chain) -> Option<u16> {
        chain.ids().iter().copied().find(|&id| self.can_ask(id))
    }

    /// Decides as the first available owner, or redirects the packet to it.
    fn consult_owner(&mut self) -> Verdict {
        let chain = self.snapshot.chain(self.hash);
        match self.first_available(&chain) {
            None => drop(Code::OwnersUnreachable),
            Some(id) if id == self.snapshot.me.id => self.decide(&chain),
            Some(id) => self.redirect(id, Purpose::Resolve, NO_SERVER, Notified::default()),
        }
    }

    fn redirect(&self, to: u16, purpose: Purpose, server: u16, told: Notified) -> Verdict {
        if self.hops >= MAX_HOPS {
            return drop(Code::RedirectHops);
        }
        let header = Redirect {
            purpose,
            hops: self.hops + 1,
            sender: self.snapshot.me.id,
            server,
            // Set if this balancer is not the ingress: the sender considered this one the owner.
            passed_on: purpose == Purpose::Resolve && self.hops > 0,
            notified: told,
        };
        Action::Redirect { to, header }.into()
    }

    /// Handles a packet redirected by a balancer that considers this one an owner of the flow.
    fn resolve_redirected(&mut self, header: &Redirect) -> Verdict {
        let chain = self.snapshot.chain(self.hash);
        let first = self.first_available(&chain);
        let is_owner = self.snapshot.is_owner(self.now);
        let has_pin = is_owner && self.known_pin().is_some();
        let mut verdict = match first {
            _ if has_pin => self.decide(&chain),
            None => drop(Code::OwnersUnreachable),
            Some(id) if id == self.snapshot.me.id => self.decide(&chain),
            // Two balancers that each consider the other the first owner would redirect the packet
            // back and forth.
            Some(_) if header.passed_on => drop(Code::OwnersDisagree),
            Some(id) => self.redirect(id, Purpose::Resolve, NO_SERVER, Notified::default()),
        };
        if let Action::Forward { server } = verdict.action
            && matches!(self.packet.kind, Kind::Middle | Kind::Datagram)
            && self.shard.should_send_hint(self.hash, self.now)
            && (self.known_pin().is_some() || self.store_short_lived_pin(Phase::Open))
        {
            let key = self.packet.key;
            verdict.notice = Some((header.sender, Notice::Hint { key, server }));
        }
        verdict
    }
}
