//! The state machine of the control thread. It takes the time, messages and events, and returns
//! messages, calls and views. It does no I/O.

mod load_control;
mod member;
mod rejoin;
mod status;

use std::{
    net::{SocketAddr, SocketAddrV4},
    sync::Arc,
    time::Duration,
};

use acacia_code::Code;
use acacia_flow::{
    Control, Shards,
    control::{Settings as FlowSettings, Stage, Tables},
    rank::Node,
    shard::{Limits, Shard},
    snapshot::Address,
    verdict::Notice,
};
use acacia_member::{Contact, Group, Heartbeat, Hint, Phase, Settings as MemberSettings, State};
use acacia_peer::Class;
use acacia_rollout::Version;
use acacia_wire::{
    collections::{Map, Set},
    control::Envelope,
    flow::Key,
};

use super::{
    agreement::{self, Agreement, Request},
    load::Pools,
    platform,
};
use crate::{
    clock::millis,
    load::Policies,
    message::{Message, Payload},
    settings::Settings,
    view::View,
};

use rejoin::Rejoin;
pub use status::Progress;

/// Number of shards swept in one tick. With 16 shards and 20 ticks per second a whole pass
/// takes 0.8 s, and traffic threads wait for one shard at most.
const SHARDS_PER_TICK: usize = 1;

/// A message for a peer.
#[derive(Debug, Clone, PartialEq)]
pub struct Outgoing {
    /// The number of the peer.
    pub to: u16,
    /// How the message is treated by the byte budget for control traffic.
    pub class: Class,
    /// The message.
    pub message: Message,
}

/// Actions for the control thread to carry out after a tick.
#[derive(Debug)]
pub struct Outcome {
    /// Messages to send.
    pub outgoing: Vec<Outgoing>,
    /// The peers to keep connections to, and their addresses.
    pub peers: Vec<(u16, SocketAddr)>,
    /// This balancer's incarnation.
    pub incarnation: u64,
    /// The view for the traffic threads; `None` while this balancer must not serve.
    pub view: Option<View>,
    /// Calls to make to the platform.
    pub platform_calls: Vec<agreement::Call>,
    /// Whether to clear all pins and caches, once the view is published.
    pub forget: bool,
}

/// What a peer has reported about the pins that it holds.
#[derive(Debug, Clone, Copy)]
struct PinReport {
    /// The peer's incarnation at the time of the report.
    incarnation: u64,
    /// The incarnation in which the peer began to collect its pins.
    since: u64,
}

/// The control state of one balancer.
#[derive(Debug)]
pub struct Core {
    settings: Arc<Settings>,
    group: Group,
    flow: Control,
    /// The incarnation in which this balancer began to collect the pins that it holds.
    pins_since: u64,
    /// The latest report of each peer about the pins that it holds.
    pin_reports: Map<u16, PinReport>,
    /// The last stage of each member while it was heard.
    stages: Map<u16, Stage>,
    /// Balancers in the platform's list of VMs.
    listed: Set<u16>,
    /// Balancers that have disappeared from that list.
    gone: Set<u16>,
    agreement: Agreement,
    pools: Pools,
    policies: Arc<Policies>,
    /// Servers that the configuration drains or removes, but the tables don't yet.
    closing: Vec<(Address, u16)>,
    tables: Tables,
    servers: Arc<Map<(Address, u16), SocketAddrV4>>,
    platform_calls: Vec<agreement::Call>,
    outgoing: Vec<Outgoing>,
    /// The shard that the next sweep starts with, modulo the number of shards.
    next_shard: usize,
    leaving: bool,
    last_seen: status::Times,
}

impl Core {
    /// Creates the state of a balancer that has just started. `incarnation` must be higher than
    /// that of any earlier process with the same number.
    #[must_use]
    pub fn new(settings: Arc<Settings>, incarnation: u64, now: Duration) -> Self {
        let contact = Contact {
            id: settings.id,
            address: SocketAddr::new(settings.advertise.into(), settings.control.port()),
            data_centre: Arc::clone(&settings.data_centre),
        };
        let mut group = Group::new(MemberSettings::default(), contact, incarnation, now);
        let seeds: Vec<Hint> = settings
            .peers
            .iter()
            .map(|(id, peer)| seed(*id, peer))
            .collect();
        group.hint(now, &seeds);
        let node = Node {
            id: settings.id,
            incarnation,
        };
        Core {
            flow: Control::new(node, FlowSettings::default(), millis(now)),
            group,
            pins_since: incarnation,
            pin_reports: Map::default(),
            stages: Map::default(),
            listed: Set::default(),
            gone: Set::default(),
            agreement: Agreement::new(&settings, incarnation, now),
            pools: Pools::default(),
            policies: Arc::default(),
            closing: Vec::new(),
            tables: Tables::default(),
            servers: Arc::default(),
            platform_calls: Vec::new(),
            outgoing: Vec::new(),
            next_shard: 0,
            leaving: false,
            last_seen: status::Times::default(),
            settings,
        }
    }

    /// Handles a message from a peer and returns the messages to send in response. The error is the
    /// code under which the message is dropped.
    pub fn receive(
        &mut self,
        now: Duration,
        envelope: &Envelope,
        message: Message,
        shards: &Shards,
    ) -> Result<Vec<Outgoing>, Code> {
        let from = envelope.sender;
        match message {
            Message::Heartbeat(heartbeat) => self.heartbeat(now, envelope, &heartbeat)?,
            Message::Batch(batch) => {
                let adopt = |key: Key, pin| shards.of(key.hash()).adopt(key, pin);
                let answer = self.flow.receive_batch(from, &batch, millis(now), adopt);
                self.send(from, Class::Urgent, Message::Acknowledgement(answer));
            }
            Message::Acknowledgement(answer) => self.flow.receive_acknowledgement(from, answer),
            Message::Notice(notice) => apply_notice(notice, shards, millis(now)),
            Message::AskConfig => {
                let document = self.agreement.config().cloned();
                self.send(from, Class::Urgent, Message::Config(document));
            }
            Message::Config(document) => {
                let outcome = self.agreement.fetched_config(now, from, document);
                self.apply_outcome(now, outcome);
            }
            Message::AskTables => {
                let text = self
                    .agreement
                    .document()
                    .and_then(|tables| tables.encode().ok());
                self.send(from, Class::Urgent, Message::Tables(text.map(Into::into)));
            }
            Message::Tables(text) => {
                let outcome = self.agreement.fetched_tables(now, from, text.as_deref())?;
                self.apply_outcome(now, outcome);
            }
        }
        Ok(std::mem::take(&mut self.outgoing))
    }

    fn heartbeat(
        &mut self,
        now: Duration,
        envelope: &Envelope,
        heartbeat: &Heartbeat,
    ) -> Result<(), Code> {
        let (from, incarnation) = (envelope.sender, envelope.incarnation);
        self.group
            .receive(now, from, incarnation, heartbeat)
            .map_err(|refusal| refusal.code())?;
        self.last_seen.heartbeat(now, from);
        let payload = Payload::decode(&heartbeat.payload);
        if let Some(payload) = &payload {
            let since = incarnation.saturating_sub(payload.kept);
            self.pin_reports
                .insert(from, PinReport { incarnation, since });
        }
        self.refresh_members(now);
        let payload = payload.ok_or(Code::ControlUndecodable)?;
        self.flow
            .receive(from, self.pins_since(from, incarnation), payload.flow);
        self.pools.merge(from, &payload.load, now);
        let version = payload
            .config
            .map(|(revision, change)| Version { revision, change });
        let outcome = self.agreement.heard(now, from, version, heartbeat.table);
        self.apply_outcome(now, outcome);
        Ok(())
    }

    /// Handles the result of a call to the platform, or its list of VMs.
    pub fn handle_platform_event(&mut self, now: Duration, event: platform::Event) {
        if event.is_answer() {
            self.last_seen.store(now);
        }
        let outcome = match event {
            platform::Event::Config(answer) => self.agreement.saw_config(now, answer),
            platform::Event::Tables(entry) => self.agreement.saw_tables(now, entry),
            platform::Event::ReadTables(entry) => self.agreement.read_tables(now, entry),
            platform::Event::WroteTables(answer) => self.agreement.wrote_tables(now, answer),
            platform::Event::Machines(machines) => return self.set_machines(now, &machines),
        };
        self.apply_outcome(now, outcome);
    }

    /// Carries out the actions that result from an event of the agreement, and updates the versions
    /// in heartbeats.
    fn apply_outcome(&mut self, now: Duration, outcome: agreement::Outcome) {
        self.platform_calls.extend(outcome.platform_calls);
        for request in outcome.peer_requests {
            match request {
                Request::Config(peer) => self.send(peer, Class::Urgent, Message::AskConfig),
                Request::Tables(peer) => self.send(peer, Class::Urgent, Message::AskTables),
            }
        }
        if outcome.tables {
            let (tables, servers) = self.agreement.tables();
            log::info!("event=tables-in-force version={}", tables.version);
            self.servers = Arc::new(servers);
            self.flow.set_tables(tables.clone(), millis(now));
            self.tables = tables;
            self.group.request_prompt_answers();
        }
        let revision = self
            .agreement
            .version()
            .map_or(0, |version| version.revision);
        self.last_seen.revision(now, revision);
        self.group.set_versions(revision, self.tables.version);
    }

    fn send(&mut self, to: u16, class: Class, message: Message) {
        self.outgoing.push(Outgoing { to, class, message });
    }

    /// Starts a graceful departure, in which pins are handed over. [`Core::may_leave`] returns
    /// `true` once it is complete.
    pub fn leave(&mut self) {
        if !self.leaving {
            self.leaving = true;
            self.flow.leave();
            self.group.set_phase(Phase::Leaving);
            log::info!("event=leaving");
        }
    }

    /// Returns whether this balancer is leaving and has handed over everything.
    #[must_use]
    pub fn may_leave(&self) -> bool {
        self.leaving && self.flow.may_leave()
    }

    /// Returns the message that carries a traffic thread's notice.
    #[must_use]
    pub fn notice(to: u16, notice: Notice) -> Outgoing {
        Outgoing {
            to,
            class: Class::Bulk,
            message: Message::Notice(notice),
        }
    }

    /// Runs everything that is due. `unix` is the time of day, for the deadlines of drains.
    pub fn tick(&mut self, now: Duration, unix: Duration, shards: &Shards) -> Outcome {
        let time = millis(now);
        self.refresh_members(now);
        self.sweep(time, shards);
        let mut snapshot = self.flow.snapshot(time);
        if !self.leaving {
            self.group.set_phase(phase(self.flow.stage()));
        }
        if self.flow.take_pending_report() {
            self.group.request_prompt_answers();
        }
        self.update_agreement(now, unix);
        self.update_load(now);
        self.send_due(now);
        let rejoin = self.take_events(now);
        if rejoin != Rejoin::No {
            // The queued messages and the snapshot belong to the previous incarnation.
            self.outgoing.clear();
            snapshot = self.flow.snapshot(time);
        }
        let peers = self.peers(now);
        let traffic = peers
            .iter()
            .filter_map(|(id, address)| Some((*id, self.traffic_address(*address)?)));
        let view = View {
            snapshot,
            servers: Arc::clone(&self.servers),
            policies: Arc::clone(&self.policies),
            peers: traffic.collect(),
        };
        Outcome {
            outgoing: std::mem::take(&mut self.outgoing),
            platform_calls: std::mem::take(&mut self.platform_calls),
            incarnation: self.group.incarnation(),
            view: self.agreement.is_ready().then_some(view),
            peers,
            forget: rejoin == Rejoin::WithoutPins,
        }
    }

    fn update_agreement(&mut self, now: Duration, unix: Duration) {
        let view = self.group.view(now);
        let outcome = self.agreement.saw_view(now, &view);
        self.apply_outcome(now, outcome);
        let flow = &self.flow;
        let outcome = self
            .agreement
            .tick(now, unix, &|version| flow.is_known_everywhere(version));
        self.apply_outcome(now, outcome);
    }

    /// Queues the heartbeats and batches of pins that are due.
    fn send_due(&mut self, now: Duration) {
        let time = millis(now);
        let config = self
            .agreement
            .version()
            .map(|version| (version.revision, version.change));
        let (flow, pools) = (&mut self.flow, &mut self.pools);
        let kept = self.group.incarnation() - self.pins_since;
        let payload = |to| {
            Payload {
                flow: flow.report(to, time),
                config,
                load: pools.reports(to),
                kept,
            }
            .encode()
        };
        for heartbeat in self.group.tick(now, payload) {
            let message = Message::Heartbeat(heartbeat.heartbeat);
            self.send(heartbeat.to, Class::Heartbeat, message);
        }
        for (to, batch) in self.flow.batches(time) {
            self.send(to, Class::Bulk, Message::Batch(batch));
        }
    }

    fn sweep(&mut self, time: u64, shards: &Shards) {
        for _ in 0..SHARDS_PER_TICK {
            let index = self.next_shard % shards.count();
            self.flow
                .sweep(&mut shards.at(index), index, shards.count(), time);
            self.next_shard = index + 1;
        }
    }

    fn peers(&self, now: Duration) -> Vec<(u16, SocketAddr)> {
        let members = self.group.view(now).members;
        members
            .iter()
            .filter_map(|member| Some((member.id, member.address?)))
            .collect()
    }

    /// Returns the address for redirected packets of a peer with this control address. All
    /// balancers receive them on the same port.
    fn traffic_address(&self, control: SocketAddr) -> Option<SocketAddrV4> {
        match control {
            SocketAddr::V4(address) => Some(SocketAddrV4::new(
                *address.ip(),
                self.settings.traffic.port(),
            )),
            SocketAddr::V6(_) => None,
        }
    }
}

/// Clears all pins and caches.
pub fn forget(shards: &Shards) {
    for index in 0..shards.count() {
        *shards.at(index) = Shard::new(Limits::default());
    }
}

fn apply_notice(notice: Notice, shards: &Shards, time: u64) {
    match notice {
        Notice::Correct { key, server } => shards.of(key.hash()).correct(&key, server),
        Notice::Hint { key, server } => shards.of(key.hash()).cache_hint(key, server, time),
    }
}

fn seed(id: u16, peer: &crate::settings::Peer) -> Hint {
    let contact = Contact {
        id,
        address: SocketAddr::V4(peer.control),
        data_centre: Arc::clone(&peer.data_centre),
    };
    Hint {
        contact,
        leaving: false,
    }
}

fn phase(stage: Stage) -> Phase {
    match stage {
        Stage::Joining => Phase::Joining,
        Stage::Ready => Phase::Ready,
        Stage::Leaving => Phase::Leaving,
    }
}

fn stage(state: State) -> Option<Stage> {
    match state {
        State::Joining => Some(Stage::Joining),
        State::Ready => Some(Stage::Ready),
        State::Leaving => Some(Stage::Leaving),
        State::Unheard | State::Dead => None,
    }
}
