use acacia_code::Code;
use acacia_wire::{
    encap::{MAX_HOPS, Notified, Purpose, Redirect},
    flow::Protocol,
    packet::Kind,
};

use super::{Resolution, drop, forward};
use crate::{
    pin::{HALF_CLOSED_DELAY, HINT_TTL, Phase, Pin},
    rank::top_two,
    snapshot::{Chain, State},
    verdict::{Action, Notice, Placement, Verdict},
};

/// Handling of a packet by an owner of its flow.
impl Resolution<'_> {
    /// Returns the flow's pin, unless it has expired or the packet opens another flow on the same
    /// ports.
    pub(super) fn known_pin(&self) -> Option<Pin> {
        let pin = self.shard.pin(&self.packet.key)?;
        let expired = pin.age(self.now) > pin.lifetime(self.packet.key.protocol);
        (!expired && !self.is_reuse(&pin)).then_some(pin)
    }

    /// Whether the packet opens a new flow on the ports of the pinned one.
    pub(super) fn is_reuse(&self, pin: &Pin) -> bool {
        let ended = matches!(pin.phase, Phase::HalfClosed | Phase::Closing | Phase::Reset);
        let removed = !self.service.servers.contains_key(&pin.server);
        matches!(self.packet.kind, Kind::Opening { isn } if (ended || removed) && isn as u16 != pin.isn)
    }

    /// Decides as the first available owner.
    pub(super) fn decide(&mut self, chain: &Chain) -> Verdict {
        if let Some(pin) = self.known_pin() {
            return self.forward_pinned(pin, chain);
        }
        let opens = matches!(self.packet.kind, Kind::Opening { .. });
        let may_open = opens && self.snapshot.is_partitioned(self.now);
        if !may_open && !self.snapshot.knows_all_pins(self.hash) {
            return drop(Code::OwnerIncomplete);
        }
        match self.packet.kind {
            Kind::Opening { isn } => self.open_flow(isn as u16, chain),
            Kind::Datagram => self.open_flow(0, chain),
            _ if self.service.strict => drop(Code::FlowUnknown),
            Kind::Closing => self.end_on_base(Phase::Closing),
            Kind::Reset => self.end_on_base(Phase::Reset),
            Kind::Middle | Kind::Error => self.forward_to(self.base()),
        }
    }

    /// Pins a flow to its base for a short time. Other balancers may have cached the base server
    /// for it, so a new flow on the same ports must not be placed elsewhere until their entries
    /// expire.
    pub(super) fn store_short_lived_pin(&mut self, phase: Phase) -> bool {
        let pin = Pin {
            synced_at: self.seconds(),
            isn: 0,
            server: self.base(),
            phase,
            short_lived: true,
            queries: 0,
        };
        self.shard.store(self.packet.key, pin)
    }

    /// Forwards the closing packet of a flow without a pin to its base server.
    pub(super) fn end_on_base(&mut self, phase: Phase) -> Verdict {
        self.store_short_lived_pin(phase);
        self.forward_to(self.base())
    }

    /// Handles a packet of a pinned flow.
    pub(super) fn forward_pinned(&mut self, pin: Pin, chain: &Chain) -> Verdict {
        if !self.service.servers.contains_key(&pin.server) {
            return drop(Code::FlowServerUnknown);
        }
        let moved = pin.phase == Phase::Opening && pin.server != self.base();
        if moved && !self.snapshot.reaches_owners(self.hash) {
            // The packet that should have told the other owner may have been lost in a network
            // partition. The other side then has no pin and may have opened the flow on its base.
            return drop(Code::OwnersUnreachable);
        }
        let phase = self.phase_after(pin.phase, pin.age(self.now));
        if moved && self.snapshot.was_owner_unreachable_since(&pin) {
            // Only the packet's kind shows that the flow was established, which may have happened
            // on the other side of a partition and with another server. Every packet therefore goes
            // through the other owners until one of them has corrected the pin or queried it. Used
            // alone, the pin could send the flow's next packet to a server that resets it.
            return self.pass_on(&Pin { phase, ..pin }, chain, Notified::default());
        }
        let is_opening = matches!(self.packet.kind, Kind::Opening { .. });
        if is_opening && pin.short_lived && pin.phase == Phase::Opening && self.is_base_closed() {
            // A server that received the first copy retransmits its answer by itself. A server that
            // did not must no longer get the flow; the flow is placed again once the pin has
            // expired.
            return drop(Code::FlowUnsettled);
        }
        let stale = pin.is_stale(self.now, self.packet.key.protocol);
        if self.packet.kind == Kind::Error || (phase == pin.phase && !stale && !is_opening) {
            return forward(pin.server);
        }
        let synced_at = self.seconds();
        let pin = Pin {
            phase,
            synced_at,
            ..pin
        };
        self.shard.store(self.packet.key, pin);
        self.pass_on(&pin, chain, Notified::default())
    }

    /// Whether every balancer in the chain is reachable.
    pub(super) fn reaches_chain(&self, chain: &Chain) -> bool {
        chain.ids().iter().all(|&id| self.snapshot.is_reachable(id))
    }

    /// The current time in seconds, as stored in [`Pin::synced_at`].
    pub(super) fn seconds(&self) -> u32 {
        (self.now / 1_000) as u32
    }

    /// Returns the phase of a pin after the packet. A reset may be forged, and a server ignores one
    /// with a wrong sequence number, so later traffic reopens the pin.
    pub(super) fn phase_after(&self, phase: Phase, age: u64) -> Phase {
        match (self.packet.kind, phase) {
            (Kind::Closing, _) => Phase::Closing,
            (Kind::Reset, _) => Phase::Reset,
            (Kind::Middle | Kind::Datagram, Phase::Opening | Phase::Reset) => Phase::Open,
            (Kind::Middle, Phase::Closing) if self.packet.payload > 0 => Phase::Open,
            (Kind::Middle, Phase::Closing) if age > HALF_CLOSED_DELAY => Phase::HalfClosed,
            _ => phase,
        }
    }

    /// Places a new flow.
    pub(super) fn open_flow(&mut self, isn: u16, chain: &Chain) -> Verdict {
        if let Some(old) = self.shard.pin(&self.packet.key)
            && old.age(self.now) <= HINT_TTL + 1_000
        {
            return drop(Code::PortsReused);
        }
        if self.service.strict && !self.entry.accepting {
            return drop(Code::FlowUnsettled);
        }
        // An owner earlier in the chain may be unreachable only from this balancer and still be
        // placing flows.
        let is_first = chain.ids().first() == Some(&self.snapshot.me.id);
        if !is_first && !self.snapshot.is_partitioned(self.now) {
            return drop(Code::OwnersUnreachable);
        }
        if self.waits_for_owners(chain) {
            return drop(Code::OwnersUnreachable);
        }
        let has_room = self.shard.has_room();
        let (off_base_allowed, refusable) =
            (self.may_leave_base(chain) && has_room, self.is_refusable());
        let server = match self.ask_policy(off_base_allowed, refusable) {
            Placement::Refuse { retry_after } if refusable => {
                return Action::Refuse { retry_after }.into();
            }
            Placement::Refuse { .. } => return drop(Code::FlowUnsettled),
            Placement::Nowhere if off_base_allowed => return drop(Code::ServerNone),
            Placement::Server(server) if off_base_allowed => server,
            _ => self.base(),
        };
        if has_room {
            self.pin_new(server, isn, chain)
        } else {
            self.place_without_pin(server)
        }
    }

    /// Whether a new flow has to wait for unreachable owners: its base takes no new flows, and
    /// placing it off its base requires every owner. Lost heartbeats make an owner unreachable for
    /// less time than the caller keeps retransmitting. If owners stay unreachable, the base gets
    /// the flow.
    fn waits_for_owners(&self, chain: &Chain) -> bool {
        let owner_unreachable =
            !self.reaches_all_owners(chain) && !self.snapshot.is_partitioned(self.now);
        owner_unreachable && self.is_base_closed()
    }

    /// Whether the base takes no new flows, and every balancer has known this for long enough that
    /// new flows are placed elsewhere.
    fn is_base_closed(&self) -> bool {
        self.packet.key.protocol == Protocol::Tcp
            && self.entry.off_base.contains(self.bucket)
            && !self.service.is_eligible(self.base())
    }

    /// Whether every balancer, including those in the chain, is reachable.
    fn reaches_all_owners(&self, chain: &Chain) -> bool {
        self.snapshot.off_base_allowed && self.reaches_chain(chain)
    }

    /// Whether a new flow may be placed on a server other than its base.
    pub(super) fn may_leave_base(&self, chain: &Chain) -> bool {
        let allowed = self.reaches_all_owners(chain) && self.entry.off_base.contains(self.bucket);
        // Nothing marks the first packet of a UDP flow. Only an owner that has seen every live flow
        // of the bucket can recognize a new one, unless the base is down and so has no live flows.
        let known_new = self.packet.key.protocol == Protocol::Tcp
            || self.entry.udp_observed.contains(self.bucket)
            || !self.is_serving(self.base());
        allowed && known_new
    }

    /// Whether `server` is listed and not down.
    pub(super) fn is_serving(&self, server: u16) -> bool {
        let servers = &self.service.servers;
        servers
            .get(&server)
            .is_some_and(|server| server.state != State::Down)
    }

    /// Whether the flow may be refused: the packet opens it, and any earlier copy went through the
    /// owners.
    pub(super) fn is_refusable(&self) -> bool {
        let seen = self.entry.refusable || self.entry.off_base.contains(self.bucket);
        matches!(self.packet.kind, Kind::Opening { .. }) && self.snapshot.off_base_allowed && seen
    }

    /// Pins a new flow to `server` and replicates the pin.
    pub(super) fn pin_new(&mut self, server: u16, isn: u16, chain: &Chain) -> Verdict {
        let sticky = self.service.strict || self.entry.moved.contains(self.bucket);
        let settled = self.snapshot.off_base_allowed && self.entry.off_base.contains(self.bucket);
        if !self.service.servers.contains_key(&server) {
            return drop(Code::FlowServerUnknown);
        }
        if sticky && !settled {
            return drop(Code::FlowUnsettled);
        }
        let pin = Pin {
            synced_at: self.seconds(),
            isn,
            server,
            phase: Phase::Opening,
            // An unreachable owner may hold an unreplicated pin of this flow from before a
            // partition. Only a pin that lasts can correct it when that owner is reachable again.
            short_lived: server == self.base() && !sticky && !self.may_have_unknown_pin(),
            queries: 0,
        };
        self.shard.store(self.packet.key, pin);
        self.pass_on(&pin, chain, Notified::default())
    }

    /// Whether an unreachable owner may hold a pin of the flow that was never replicated to this
    /// one.
    pub(super) fn may_have_unknown_pin(&self) -> bool {
        self.entry.flags.contains(self.bucket) && !self.snapshot.reaches_owners(self.hash)
    }

    /// Handles a new flow when there is no room for its pin, as in a flood of openings. A flow that
    /// needs no pin is opened. Any other is dropped, because it would break as soon as a packet
    /// arrived at another balancer.
    pub(super) fn place_without_pin(&mut self, server: u16) -> Verdict {
        let stays = server == self.base() && self.service.next[self.bucket] == server;
        let sticky = self.service.strict || self.entry.moved.contains(self.bucket);
        if stays && !sticky && self.is_serving(server) {
            forward(server)
        } else {
            drop(Code::PinsFull)
        }
    }

    /// Redirects the packet to the next balancer that must know of the flow, or forwards it to the
    /// server after the last one. All of them then know of the flow before the server's answer
    /// reaches the caller; a balancer that did not would send later packets to the base. The
    /// opening of a flow off its base is therefore dropped while one of them is unreachable.
    ///
    /// `told` lists the balancers that already know.
    pub(super) fn pass_on(&self, pin: &Pin, chain: &Chain, told: Notified) -> Verdict {
        let me = self.snapshot.me.id;
        let is_told = |id: u16| id == me || told.contains(id);
        // A balancer that does not know of a flow on its base sends it to the base, which is
        // correct.
        let sticky = self.service.strict || self.entry.moved.contains(self.bucket);
        let on_base = pin.server == self.base() && !sticky;
        let needs_all = pin.phase == Phase::Opening && !pin.short_lived && !on_base;
        // The last in the chain goes first: it may be a joining balancer that some of the others
        // don't know yet. Told by one that does, it knows of the flow whatever the others do.
        let untold = || chain.ids().iter().rev().copied().filter(|&id| !is_told(id));
        if needs_all && untold().any(|id| !self.snapshot.is_reachable(id)) {
            return drop(Code::OwnersUnreachable);
        }
        let purpose = match self.packet.kind {
            Kind::Closing | Kind::Reset => Purpose::Release,
            _ => Purpose::Replicate,
        };
        match untold().find(|&id| self.snapshot.is_reachable(id)) {
            Some(to) if needs_all || self.hops < MAX_HOPS => {
                self.redirect(to, purpose, pin.server, told.with(me))
            }
            _ => forward(pin.server),
        }
    }

    /// Stores the pin of a flow that another balancer in the chain has placed or forwarded.
    pub(super) fn replicate(&mut self, header: &Redirect) -> Verdict {
        if !self.snapshot.is_fresh(self.now) {
            return drop(Code::NotOwner);
        }
        let chain = self.snapshot.chain(self.hash);
        let known = self.known_pin().filter(|pin| {
            pin.server == header.server || self.takes_precedence(pin, &chain, header)
        });
        let server = known.map_or(header.server, |pin| pin.server);
        if !self.service.servers.contains_key(&server) {
            return drop(Code::FlowServerUnknown);
        }
        let before = known.map_or(Phase::Opening, |pin| pin.phase);
        let age = known.map_or(0, |pin| pin.age(self.now));
        let sticky = self.service.strict || self.entry.moved.contains(self.bucket);
        let may_have_unknown_pin = self.may_have_unknown_pin();
        let pin = Pin {
            synced_at: self.seconds(),
            isn: self.isn(known),
            server,
            phase: self.phase_after(before, age),
            short_lived: known.map_or(
                server == self.base() && !sticky && !may_have_unknown_pin,
                |pin| pin.short_lived,
            ),
            queries: 0,
        };
        if !self.shard.store(self.packet.key, pin) {
            return drop(Code::PinsFull);
        }
        let mut verdict = self.pass_on(&pin, &chain, header.notified);
        if server != header.server {
            let key = self.packet.key;
            verdict.notice = Some((header.sender, Notice::Correct { key, server }));
        }
        verdict
    }

    /// Whether the local pin takes precedence over the pin of the balancers told so far.
    ///
    /// While a change of the owner set spreads, two owners may each consider themselves the first
    /// and place the same flow. Both know the target set, and the one that ranks higher there wins,
    /// wherever the packets meet. An established flow stays on its server.
    pub(super) fn takes_precedence(&self, pin: &Pin, chain: &Chain, header: &Redirect) -> bool {
        // A pin on the base that is not short-lived was created while other owners were
        // unreachable.
        let isolated = pin.server == self.base() && !pin.short_lived;
        if pin.phase != Phase::Opening || isolated {
            return true;
        }
        // The local pin may never have been replicated because of a partition, so that an owner
        // without it placed the flow on its base. That owner uses its own pin, and this one must
        // use the same. Otherwise the opening would go to one server and later packets to another,
        // which would reset the flow.
        if header.server == self.base() && self.snapshot.was_owner_unreachable_since(pin) {
            return false;
        }
        let owners = top_two(self.hash, &self.snapshot.target).map(|node| node.map(|node| node.id));
        let rank = |id: u16| {
            owners
                .iter()
                .position(|owner| *owner == Some(id))
                .unwrap_or(2)
        };
        let told = chain
            .ids()
            .iter()
            .filter(|&&id| header.notified.contains(id));
        told.map(|&id| rank(id))
            .min()
            .is_some_and(|best| rank(self.snapshot.me.id) < best)
    }

    /// The initial sequence number to store: that of the known pin, or of the opening packet.
    pub(super) fn isn(&self, known: Option<Pin>) -> u16 {
        match self.packet.kind {
            Kind::Opening { isn } if known.is_none() => isn as u16,
            _ => known.map_or(0, |pin| pin.isn),
        }
    }
}
