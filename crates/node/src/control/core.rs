//! The control thread's state: time and messages in, messages and views out. No sockets.

use std::{
    net::{SocketAddr, SocketAddrV4},
    sync::Arc,
    time::Duration,
};

use acacia_code::Code;
use acacia_config::document::Document;
use acacia_flow::{
    Control, Shards,
    control::{Member, Settings as FlowSettings, Stage, Tables},
    rank::Node,
    shard::{Limits, Shard},
    snapshot::Address,
    verdict::Notice,
};
use acacia_member::{Contact, Event, Group, Hint, Phase, Settings as MemberSettings, State};
use acacia_peer::Class;
use acacia_platform::machine;
use acacia_wire::{
    collections::{Map, Set},
    control::Envelope,
};

use crate::{
    control::tables,
    message::{Message, Payload},
    settings::Settings,
    view::View,
};

/// VMs of balancers carry this name and their number in the platform's list.
const MACHINE: &str = "balancer-";
/// Shards looked through in one tick. With 16 shards and 20 ticks a second a whole pass takes
/// 0.8 s, and no traffic thread waits for more than one shard.
const SWEPT: usize = 1;

/// A message for a peer.
#[derive(Debug, Clone, PartialEq)]
pub struct Outgoing {
    /// The peer.
    pub to: u16,
    /// Its treatment under the byte budget.
    pub class: Class,
    /// The message.
    pub message: Message,
}

/// What a tick asks to be done.
#[derive(Debug)]
pub struct Outcome {
    /// Messages to send.
    pub outgoing: Vec<Outgoing>,
    /// To whom connections are to be kept.
    pub peers: Vec<(u16, SocketAddr)>,
    /// This balancer's incarnation.
    pub incarnation: u64,
    /// What traffic threads are to go by.
    pub view: View,
}

/// The state of one balancer's control.
#[derive(Debug)]
pub struct Core {
    settings: Arc<Settings>,
    group: Group,
    flow: Control,
    stages: Map<u16, Stage>,
    listed: Set<u16>,
    gone: Set<u16>,
    tables: Tables,
    servers: Arc<Map<(Address, u16), SocketAddrV4>>,
    revision: u64,
    swept: usize,
    leaving: bool,
}

impl Core {
    /// The state of a balancer that has just started. `incarnation` must be higher than that of an
    /// earlier process with this number.
    #[must_use]
    pub fn new(settings: Arc<Settings>, incarnation: u64, now: Duration) -> Self {
        let contact = Contact {
            id: settings.id,
            address: SocketAddr::V4(settings.control),
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
            stages: Map::default(),
            listed: Set::default(),
            gone: Set::default(),
            tables: Tables::default(),
            servers: Arc::default(),
            revision: 0,
            swept: 0,
            leaving: false,
            settings,
        }
    }

    /// Takes in a message from a peer; gives the answers. The error is the code under which the
    /// message is dropped.
    pub fn receive(
        &mut self,
        now: Duration,
        envelope: &Envelope,
        message: Message,
        shards: &Shards,
    ) -> Result<Vec<Outgoing>, Code> {
        let from = envelope.sender;
        match message {
            Message::Heartbeat(heartbeat) => {
                self.group
                    .receive(now, from, envelope.incarnation, &heartbeat)
                    .map_err(|refusal| refusal.code())?;
                self.refresh_members(now);
                let payload =
                    Payload::decode(&heartbeat.payload).ok_or(Code::ControlUndecodable)?;
                self.flow.receive(from, envelope.incarnation, payload.flow);
                Ok(Vec::new())
            }
            Message::Batch(batch) => {
                let answer = self
                    .flow
                    .receive_batch(from, &batch, millis(now), |key, pin| {
                        shards.of(key.hash()).adopt(key, pin)
                    });
                let message = Message::Acknowledgement(answer);
                Ok(vec![Outgoing {
                    to: from,
                    class: Class::Urgent,
                    message,
                }])
            }
            Message::Acknowledgement(answer) => {
                self.flow.receive_acknowledgement(from, answer);
                Ok(Vec::new())
            }
            Message::Notice(notice) => {
                take_notice(notice, shards, millis(now));
                Ok(Vec::new())
            }
        }
    }

    /// Puts a configuration in force; an older one than that in force changes nothing.
    pub fn set_document(&mut self, document: &Document) -> Result<(), Code> {
        if document.revision <= self.revision {
            return Ok(());
        }
        let config = document.config().map_err(|error| error.code())?;
        let (tables, servers) = tables::build(document.revision, &config, &self.tables);
        self.revision = document.revision;
        self.tables = tables;
        self.servers = Arc::new(servers);
        self.flow.set_tables(self.tables.clone());
        self.group.set_versions(self.revision, self.tables.version);
        self.group.hasten();
        log::info!("event=config-in-force revision={}", self.revision);
        Ok(())
    }

    /// Takes in the platform's list of VMs.
    pub fn set_machines(&mut self, now: Duration, machines: &[machine::Machine]) {
        let hints: Vec<Hint> = machines.iter().filter_map(|vm| self.hint(vm)).collect();
        let listed: Set<u16> = hints.iter().map(|hint| hint.contact.id).collect();
        // Who was listed and no longer is has been stopped: its pins can't be in use any more.
        self.gone.extend(self.listed.difference(&listed));
        self.gone.retain(|id| !listed.contains(id));
        self.listed = listed;
        self.group.hint(now, &hints);
    }

    /// Starts the handover; see [`Core::may_leave`].
    pub fn leave(&mut self) {
        if !self.leaving {
            self.leaving = true;
            self.flow.leave();
            self.group.set_phase(Phase::Leaving);
            log::info!("event=leaving");
        }
    }

    /// Whether everything is handed over.
    #[must_use]
    pub fn may_leave(&self) -> bool {
        self.leaving && self.flow.may_leave()
    }

    /// A notice of a traffic thread, to be sent.
    #[must_use]
    pub fn notice(to: u16, notice: Notice) -> Outgoing {
        Outgoing {
            to,
            class: Class::Bulk,
            message: Message::Notice(notice),
        }
    }

    /// Brings everything up to date.
    pub fn tick(&mut self, now: Duration, shards: &Shards) -> Outcome {
        let time = millis(now);
        self.refresh_members(now);
        self.sweep(time, shards);
        let snapshot = self.flow.snapshot(time);
        if !self.leaving {
            self.group.set_phase(phase(self.flow.stage()));
        }
        if self.flow.has_news() {
            self.group.hasten();
        }
        let flow = &mut self.flow;
        let heartbeats = self.group.tick(now, |to| {
            Payload {
                flow: flow.report(to, time),
            }
            .encode()
        });
        let mut outgoing: Vec<Outgoing> = heartbeats
            .into_iter()
            .map(|heartbeat| Outgoing {
                to: heartbeat.to,
                class: Class::Urgent,
                message: Message::Heartbeat(heartbeat.heartbeat),
            })
            .collect();
        outgoing.extend(
            self.flow
                .batches(time)
                .into_iter()
                .map(|(to, batch)| Outgoing {
                    to,
                    class: Class::Bulk,
                    message: Message::Batch(batch),
                }),
        );
        self.take_events(now, shards);
        let peers = self.peers(now);
        let traffic = peers
            .iter()
            .filter_map(|(id, address)| Some((*id, self.traffic(*address)?)));
        Outcome {
            outgoing,
            incarnation: self.group.incarnation(),
            view: View {
                snapshot,
                servers: Arc::clone(&self.servers),
                peers: traffic.collect(),
            },
            peers,
        }
    }

    fn sweep(&mut self, time: u64, shards: &Shards) {
        for _ in 0..SWEPT {
            let index = self.swept % shards.count();
            self.flow
                .sweep(&mut shards.at(index), index, shards.count(), time);
            self.swept = index + 1;
        }
    }

    fn take_events(&mut self, now: Duration, shards: &Shards) {
        for event in self.group.take_events() {
            match event.code() {
                Some(code) => log::warn!("event=membership change=\"{event:?}\" code={code}"),
                None => log::info!("event=membership change=\"{event:?}\""),
            }
            if let Event::Rejoined { incarnation, .. } = event {
                self.rejoin(incarnation, now, shards);
            }
        }
    }

    /// After a freeze others own the flows, and pins held here may be wrong by now: a flow sent by
    /// one of them would break. So everything is forgotten, and taken over anew from the peers.
    fn rejoin(&mut self, incarnation: u64, now: Duration, shards: &Shards) {
        for index in 0..shards.count() {
            *shards.at(index) = Shard::new(Limits::default());
        }
        let node = Node {
            id: self.settings.id,
            incarnation,
        };
        self.flow = Control::new(node, FlowSettings::default(), millis(now));
        self.flow.set_tables(self.tables.clone());
        self.refresh_members(now);
        if self.leaving {
            self.flow.leave();
        }
    }

    fn refresh_members(&mut self, now: Duration) {
        let view = self.group.view(now);
        let mut members = Vec::new();
        for member in &view.members {
            let Some(incarnation) = member.incarnation else {
                continue;
            };
            let last = stage(member.state).or(self.stages.get(&member.id).copied());
            let Some(last) = last else { continue };
            self.stages.insert(member.id, last);
            let dead = member.state == State::Dead;
            let left = last == Stage::Leaving && !member.state.is_heard();
            if left || (dead && self.gone.contains(&member.id)) {
                continue;
            }
            let node = Node {
                id: member.id,
                incarnation,
            };
            members.push(Member {
                node,
                stage: last,
                dead,
            });
        }
        self.flow.set_members(&members);
    }

    fn peers(&self, now: Duration) -> Vec<(u16, SocketAddr)> {
        let members = self.group.view(now).members;
        members
            .iter()
            .filter_map(|member| Some((member.id, member.address?)))
            .collect()
    }

    /// All balancers take redirected packets on the port that this one does.
    fn traffic(&self, control: SocketAddr) -> Option<SocketAddrV4> {
        match control {
            SocketAddr::V4(address) => Some(SocketAddrV4::new(
                *address.ip(),
                self.settings.traffic.port(),
            )),
            SocketAddr::V6(_) => None,
        }
    }

    /// All balancers take control messages on the port that this one does.
    fn hint(&self, vm: &machine::Machine) -> Option<Hint> {
        let id: u16 = vm.name.strip_prefix(MACHINE)?.parse().ok()?;
        let contact = Contact {
            id,
            address: SocketAddr::new(vm.address, self.settings.control.port()),
            data_centre: Arc::clone(&vm.data_centre),
        };
        let known = id != self.settings.id;
        known.then_some(Hint {
            contact,
            leaving: vm.state == machine::State::Leaving,
        })
    }
}

fn take_notice(notice: Notice, shards: &Shards, time: u64) {
    match notice {
        Notice::Correct { key, server } => shards.of(key.hash()).correct(&key, server),
        Notice::Hint { key, server } => shards.of(key.hash()).remember(key, server, time),
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

fn millis(time: Duration) -> u64 {
    time.as_millis() as u64
}
