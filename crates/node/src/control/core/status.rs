//! The balancer's account of itself for operators.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use acacia_api::{
    Status,
    status::{Peer, Phase, Service},
};
use acacia_flow::{Shards, control::Stage};
use acacia_member::{Member, State};
use acacia_rollout::Version;
use acacia_tables::{Situation, follow};
use acacia_wire::collections::Map;

use super::{Core, member::MACHINE};
use crate::clock::millis;

/// When things were last seen, for the ages that operators are shown.
#[derive(Debug, Default)]
pub(super) struct Seen {
    store: Option<Duration>,
    heartbeats: Map<u16, Duration>,
    revision: Option<(u64, Duration)>,
    followed: Option<Followed>,
}

/// Whether tables follow a configuration. Making the tables that follow one takes milliseconds;
/// done for each account it would cost control more than all else. Hence it is remembered.
#[derive(Debug, Clone, Copy)]
struct Followed {
    config: Version,
    table: u64,
    behind: bool,
}

impl Seen {
    /// The platform's store has answered.
    pub(super) fn store(&mut self, now: Duration) {
        self.store = Some(now);
    }

    /// A heartbeat of a peer was accepted.
    pub(super) fn heartbeat(&mut self, now: Duration, peer: u16) {
        self.heartbeats.insert(peer, now);
    }

    /// This revision is in force; 0 for none.
    pub(super) fn revision(&mut self, now: Duration, revision: u64) {
        if revision > 0 && self.revision.is_none_or(|(before, _)| before != revision) {
            self.revision = Some((revision, now));
        }
    }
}

/// What operators wait for; a change of it is worth a new account at once.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ServingState {
    phase: Phase,
    revision: Option<u64>,
    table: u64,
}

impl Core {
    /// What operators wait for.
    #[must_use]
    pub fn serving_state(&self) -> ServingState {
        let phase = if self.leaving {
            Phase::Leaving
        } else if self.agreement.is_ready() {
            Phase::Serving
        } else {
            Phase::Starting
        };
        ServingState {
            phase,
            revision: self.agreement.version().map(|version| version.revision),
            table: self.tables.version,
        }
    }

    /// The document of the configuration in force, encoded as in the platform's store.
    #[must_use]
    pub fn document(&self) -> Option<Arc<str>> {
        self.agreement
            .config()
            .map(|document| document.encode().into())
    }

    /// The balancer's account of itself. `unix` is the time of day.
    #[must_use]
    pub fn status(&mut self, now: Duration, unix: Duration, shards: &Shards) -> Status {
        let behind = self.is_behind(unix);
        let age = |since: Duration| millis(now.saturating_sub(since));
        let state = self.serving_state();
        let view = self.group.view(now);
        let peers = view.members.iter().filter(|member| self.is_live(member));
        Status {
            name: name(self.settings.id),
            id: self.settings.id,
            data_centre: Arc::clone(&self.settings.data_centre),
            phase: state.phase,
            revision: state.revision,
            change: self.agreement.version().map(|version| version.change),
            behind,
            enforced_ms: self.seen.revision.map_or(0, |(_, since)| age(since)),
            store_ms: self.seen.store.map(age),
            peers: peers
                .filter_map(|member| {
                    let heard = self.seen.heartbeats.get(&member.id).copied();
                    self.peer(member, heard.map(age))
                })
                .collect(),
            services: self.services(),
            // Flows of single backend servers are not counted here.
            servers: Vec::new(),
            // Data centres are evacuated on the users' platform alone.
            evacuations: Vec::new(),
            pins: (0..shards.count())
                .map(|index| shards.at(index).len() as u64)
                .sum(),
        }
    }

    /// Whether the tables in force don't follow the configuration in force yet. Once they have, they
    /// do: later tables only bring weights and the ends of drains.
    fn is_behind(&mut self, unix: Duration) -> bool {
        let Some(config) = self.agreement.version() else {
            return false;
        };
        let table = self.tables.version;
        if let Some(known) = self.seen.followed
            && known.config == config
            && (!known.behind || known.table == table)
        {
            return known.behind;
        }
        let behind = self.makes_other_tables(unix);
        self.seen.followed = Some(Followed {
            config,
            table,
            behind,
        });
        behind
    }

    fn makes_other_tables(&self, unix: Duration) -> bool {
        let (Some(config), Some(document)) = (self.agreement.config(), self.agreement.document())
        else {
            return true;
        };
        // What a change brings at once: bases move later, when all know of it.
        let situation = Situation {
            now: unix.as_secs(),
            is_known: &|_| false,
            weight: &|_, _| None,
        };
        !matches!(follow(Some(document), config, &situation), Ok(None))
    }

    /// Whether operators have to ask the member whether a change is in force there: all but those
    /// that are dead or have left. One that is only unheard may be cut off and still serve.
    fn is_live(&self, member: &Member) -> bool {
        let heard = member.state.is_heard();
        let left = self.stages.get(&member.id) == Some(&Stage::Leaving) && !heard;
        let stopped = !heard && self.gone.contains(&member.id);
        member.state != State::Dead && !left && !stopped
    }

    /// All balancers answer operators on the port that this one does.
    fn peer(&self, member: &Member, heard_ms: Option<u64>) -> Option<Peer> {
        let admin = SocketAddr::new(member.address?.ip(), self.settings.admin.port());
        Some(Peer {
            id: member.id,
            name: name(member.id),
            admin,
            heard_ms,
            revision: (member.revision > 0).then_some(member.revision),
        })
    }

    fn services(&self) -> Vec<Service> {
        let Some(document) = self.agreement.document() else {
            return Vec::new();
        };
        let service = |service: &acacia_tables::Service| Service {
            name: Arc::clone(&service.name),
            instance: service.instance,
            table: document.version,
            flows: None,
        };
        document.services.iter().map(service).collect()
    }
}

/// The name that a balancer's VM has in the platform's list.
fn name(id: u16) -> Arc<str> {
    format!("{MACHINE}{id}").into()
}
