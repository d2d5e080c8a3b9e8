use acacia_code::Code;
use acacia_wire::{
    encap::{MAX_HOPS, Purpose, Redirect, Told},
    flow::Protocol,
    packet::Kind,
};

use super::{Step, drop, forward};
use crate::{
    pin::{HALF_CLOSED_DELAY, HINT_TTL, Phase, Pin},
    rank::top_two,
    snapshot::{Chain, State},
    verdict::{Action, Notice, Placement, Verdict},
};

/// What an owner of the flow does with its packet.
impl Step<'_> {
    /// The flow's pin, unless the packet opens another flow on the same ports.
    pub(super) fn known_pin(&self) -> Option<Pin> {
        let pin = self.shard.pin(&self.packet.key)?;
        let lapsed = pin.age(self.now) > pin.lifetime(self.packet.key.protocol);
        (!lapsed && !self.is_reuse(&pin)).then_some(pin)
    }

    pub(super) fn is_reuse(&self, pin: &Pin) -> bool {
        let ended = matches!(pin.phase, Phase::HalfClosed | Phase::Closing | Phase::Reset);
        let removed = !self.service.servers.contains_key(&pin.server);
        matches!(self.packet.kind, Kind::Opening { isn } if (ended || removed) && isn as u16 != pin.isn)
    }

    /// Answers as the first owner that can be asked.
    pub(super) fn decide(&mut self, chain: &Chain) -> Verdict {
        if let Some(pin) = self.known_pin() {
            return self.follow(pin, chain);
        }
        let opens = matches!(self.packet.kind, Kind::Opening { .. });
        let may_open = opens && self.snapshot.is_partitioned(self.now);
        if !may_open && !self.snapshot.knows_all_pins(self.hash) {
            return drop(Code::OwnerIncomplete);
        }
        match self.packet.kind {
            Kind::Opening { isn } => self.open(isn as u16, chain),
            Kind::Datagram => self.open(0, chain),
            _ if self.service.strict => drop(Code::FlowUnknown),
            Kind::Closing => self.end_on_base(Phase::Closing),
            Kind::Reset => self.end_on_base(Phase::Reset),
            Kind::Middle | Kind::Error => self.forward_to(self.base()),
        }
    }

    /// Remembers for a while that a flow without a pin is on its base. Other balancers may have
    /// been told so, and a new flow on the same ports must not be placed elsewhere meanwhile.
    pub(super) fn mark(&mut self, phase: Phase) -> bool {
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

    pub(super) fn end_on_base(&mut self, phase: Phase) -> Verdict {
        self.mark(phase);
        self.forward_to(self.base())
    }

    /// Serves a packet of a pinned flow.
    pub(super) fn follow(&mut self, pin: Pin, chain: &Chain) -> Verdict {
        if !self.service.servers.contains_key(&pin.server) {
            return drop(Code::FlowServerUnknown);
        }
        let moved = pin.phase == Phase::Opening && pin.server != self.base();
        if moved && !self.snapshot.reaches_owners(self.hash) {
            // The packet that should have told the other owner may have been lost to a cut. The
            // other side then knows nothing of the pin, and may have opened the flow on its base.
            return drop(Code::OwnersUnreachable);
        }
        let phase = self.phase_after(pin.phase, pin.age(self.now));
        if moved && self.snapshot.was_owner_unreachable_since(&pin) {
            // Only the packet's kind says that the flow got further, and it may have done so through
            // the other side of a cut, to another server. Each packet passes the other owners, who
            // know, until one of them has set the pin right or asked about it: followed by itself, the
            // pin would send the flow's next packet to a server that resets it.
            return self.pass_on(&Pin { phase, ..pin }, chain, Told::default());
        }
        let resent = matches!(self.packet.kind, Kind::Opening { .. });
        if resent && pin.short_lived && pin.phase == Phase::Opening && self.is_base_closed() {
            // A server that took the first copy resends its answer by itself. One that did not must not
            // take the flow any more: it is placed anew once the pin has expired.
            return drop(Code::FlowUnsettled);
        }
        let stale = pin.is_stale(self.now, self.packet.key.protocol);
        if self.packet.kind == Kind::Error || (phase == pin.phase && !stale && !resent) {
            return forward(pin.server);
        }
        let synced_at = self.seconds();
        let pin = Pin {
            phase,
            synced_at,
            ..pin
        };
        self.shard.store(self.packet.key, pin);
        self.pass_on(&pin, chain, Told::default())
    }

    pub(super) fn hears_all(&self, chain: &Chain) -> bool {
        chain.ids().iter().all(|&id| self.snapshot.is_reachable(id))
    }

    pub(super) fn seconds(&self) -> u32 {
        (self.now / 1_000) as u32
    }

    /// What the packet makes of a pin. A reset may be forged, and a server ignores one that does
    /// not fit; hence traffic after it brings the pin back.
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
    pub(super) fn open(&mut self, isn: u16, chain: &Chain) -> Verdict {
        if let Some(old) = self.shard.pin(&self.packet.key)
            && old.age(self.now) <= HINT_TTL + 1_000
        {
            return drop(Code::PortsReused);
        }
        if self.service.strict && !self.entry.accepting {
            return drop(Code::FlowUnsettled);
        }
        // An owner before this one may be placing flows still, unheard by this balancer alone.
        let is_first = chain.ids().first() == Some(&self.snapshot.me.id);
        if !is_first && !self.snapshot.is_partitioned(self.now) {
            return drop(Code::OwnersUnreachable);
        }
        if self.waits_for_owners(chain) {
            return drop(Code::OwnersUnreachable);
        }
        let room = self.shard.has_room();
        let (off_base_allowed, refusable) = (self.is_free(chain) && room, self.is_refusable());
        let server = match self.ask_policy(off_base_allowed, refusable) {
            Placement::Refuse { retry_after } if refusable => {
                return Action::Refuse { retry_after }.into();
            }
            Placement::Refuse { .. } => return drop(Code::FlowUnsettled),
            Placement::Nowhere if off_base_allowed => return drop(Code::ServerNone),
            Placement::Server(server) if off_base_allowed => server,
            _ => self.base(),
        };
        if room {
            self.pin_new(server, isn, chain)
        } else {
            self.without_pin(server)
        }
    }

    /// Whether a new flow has to be sent again once all owners are heard: its base takes no new flows,
    /// and a flow off its base needs every owner. A lost heartbeat lasts less than the caller's
    /// retransmissions. When owners stay unreachable, the base serves.
    fn waits_for_owners(&self, chain: &Chain) -> bool {
        let apart = !self.reaches_owners(chain) && !self.snapshot.is_partitioned(self.now);
        apart && self.is_base_closed()
    }

    /// Whether the base takes no new flows, and every balancer has known so for long enough that they are
    /// placed elsewhere.
    fn is_base_closed(&self) -> bool {
        self.packet.key.protocol == Protocol::Tcp
            && self.entry.off_base.contains(self.bucket)
            && !self.service.is_eligible(self.base())
    }

    fn reaches_owners(&self, chain: &Chain) -> bool {
        self.snapshot.off_base_allowed && self.hears_all(chain)
    }

    pub(super) fn is_free(&self, chain: &Chain) -> bool {
        let open = self.reaches_owners(chain) && self.entry.off_base.contains(self.bucket);
        // Nothing marks the first packet of a flow of datagrams. Only an owner that has seen all
        // that lives in the bucket knows a new flow; a server that is down keeps none alive.
        let known_new = self.packet.key.protocol == Protocol::Tcp
            || self.entry.udp_observed.contains(self.bucket)
            || !self.is_serving(self.base());
        open && known_new
    }

    pub(super) fn is_serving(&self, server: u16) -> bool {
        let servers = &self.service.servers;
        servers
            .get(&server)
            .is_some_and(|server| server.state != State::Down)
    }

    pub(super) fn is_refusable(&self) -> bool {
        let seen = self.entry.refusable || self.entry.off_base.contains(self.bucket);
        matches!(self.packet.kind, Kind::Opening { .. }) && self.snapshot.off_base_allowed && seen
    }

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
            // An owner out of hearing may hold half a pin of this flow from before a cut: only a
            // pin that lasts can set it right when it is back.
            short_lived: server == self.base() && !sticky && !self.may_be_half_made(),
            queries: 0,
        };
        self.shard.store(self.packet.key, pin);
        self.pass_on(&pin, chain, Told::default())
    }

    /// Whether an owner out of hearing may hold a pin of the flow that this one knows nothing of.
    pub(super) fn may_be_half_made(&self) -> bool {
        self.entry.flags.contains(self.bucket) && !self.snapshot.reaches_owners(self.hash)
    }

    /// A flood of openings fills the room for pins. Flows that need none still open; the others
    /// would be lost when their next packet comes in elsewhere.
    pub(super) fn without_pin(&mut self, server: u16) -> Verdict {
        let stays = server == self.base() && self.service.next[self.bucket] == server;
        let sticky = self.service.strict || self.entry.moved.contains(self.bucket);
        if stays && !sticky && self.is_serving(server) {
            forward(server)
        } else {
            drop(Code::PinsFull)
        }
    }

    /// Hands the packet to the next balancer that must know of the flow, or to its server after
    /// the last. The server's answer can't reach the caller before all of them know: one that
    /// does not would later answer base. Hence the opening of a flow off its base waits while one
    /// of them can't be reached.
    ///
    /// `told` lists the balancers that know already.
    pub(super) fn pass_on(&self, pin: &Pin, chain: &Chain, told: Told) -> Verdict {
        let me = self.snapshot.me.id;
        let is_told = |id: u16| id == me || told.contains(id);
        // Who does not know of a flow on its base answers base, which is right.
        let sticky = self.service.strict || self.entry.moved.contains(self.bucket);
        let based = pin.server == self.base() && !sticky;
        let waits = pin.phase == Phase::Opening && !pin.short_lived && !based;
        // The last in the chain first: it may be one that joins, of which the others have not all
        // heard. Told by somebody who has, it knows of the flow whatever the rest does.
        let rest = || chain.ids().iter().rev().copied().filter(|&id| !is_told(id));
        if waits && rest().any(|id| !self.snapshot.is_reachable(id)) {
            return drop(Code::OwnersUnreachable);
        }
        let purpose = match self.packet.kind {
            Kind::Closing | Kind::Reset => Purpose::Release,
            _ => Purpose::Replicate,
        };
        match rest().find(|&id| self.snapshot.is_reachable(id)) {
            Some(to) if waits || self.hops < MAX_HOPS => {
                self.redirect(to, purpose, pin.server, told.with(me))
            }
            _ => forward(pin.server),
        }
    }

    /// An owner before this one in the chain has placed the flow, or followed its pin.
    pub(super) fn told(&mut self, header: &Redirect) -> Verdict {
        if !self.snapshot.is_fresh(self.now) {
            return drop(Code::NotOwner);
        }
        let chain = self.snapshot.chain(self.hash);
        let known = self
            .known_pin()
            .filter(|pin| pin.server == header.server || self.prevails(pin, &chain, header));
        let server = known.map_or(header.server, |pin| pin.server);
        if !self.service.servers.contains_key(&server) {
            return drop(Code::FlowServerUnknown);
        }
        let before = known.map_or(Phase::Opening, |pin| pin.phase);
        let age = known.map_or(0, |pin| pin.age(self.now));
        let sticky = self.service.strict || self.entry.moved.contains(self.bucket);
        let half = self.may_be_half_made();
        let pin = Pin {
            synced_at: self.seconds(),
            isn: self.isn(known),
            server,
            phase: self.phase_after(before, age),
            short_lived: known.map_or(server == self.base() && !sticky && !half, |pin| {
                pin.short_lived
            }),
            queries: 0,
        };
        if !self.shard.store(self.packet.key, pin) {
            return drop(Code::PinsFull);
        }
        let mut verdict = self.pass_on(&pin, &chain, header.told);
        if server != header.server {
            let key = self.packet.key;
            verdict.notice = Some((header.sender, Notice::Correct { key, server }));
        }
        verdict
    }

    /// Whether the pin known here goes before that of the owners told so far.
    ///
    /// While a change of the owners' set spreads, two of them may each take itself for the first
    /// and place the same flow. Both know the set to come: who ranks higher there prevails, at
    /// whichever of them the packets meet. A flow that got beyond its opening stays where it is.
    pub(super) fn prevails(&self, pin: &Pin, chain: &Chain, header: &Redirect) -> bool {
        // A lasting pin on the base was made while the others were out of hearing.
        let apart = pin.server == self.base() && !pin.short_lived;
        if pin.phase != Phase::Opening || apart {
            return true;
        }
        // This one may be half-made, as a cut came after it, and an owner that knew nothing of it has
        // placed the flow on its base. That owner goes by its own; so must this one, or the opening
        // meets one server, and the packets after it another, which resets them.
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
        let told = chain.ids().iter().filter(|&&id| header.told.contains(id));
        told.map(|&id| rank(id))
            .min()
            .is_some_and(|best| rank(self.snapshot.me.id) < best)
    }

    pub(super) fn isn(&self, known: Option<Pin>) -> u16 {
        match self.packet.kind {
            Kind::Opening { isn } if known.is_none() => isn as u16,
            _ => known.map_or(0, |pin| pin.isn),
        }
    }
}
