//! The balancer's status for operators.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use acacia_api::{
    Status,
    status::{Peer, Phase, Service},
};
use acacia_flow::{Shards, control::Stage};
use acacia_member::{Member, State};
use acacia_rollout::Version;
use acacia_tables::next_document;
use acacia_wire::collections::Map;

use super::{Core, member::VM_NAME_PREFIX};
use crate::clock::millis;

/// Times of the latest events, for the ages in the status.
#[derive(Debug, Default)]
pub(super) struct Times {
    store: Option<Duration>,
    heartbeats: Map<u16, Duration>,
    revision: Option<(u64, Duration)>,
    follow_check: Option<Check>,
}

/// Cached result of whether the tables in force follow a configuration. Computing the tables that
/// follow a configuration takes milliseconds; done for every status, it would cost the control
/// thread more than everything else.
#[derive(Debug, Clone, Copy)]
struct Check {
    config: Version,
    table: u64,
    behind: bool,
}

impl Times {
    /// Records an answer of the platform's store.
    pub(super) fn store(&mut self, now: Duration) {
        self.store = Some(now);
    }

    /// Records an accepted heartbeat of a peer.
    pub(super) fn heartbeat(&mut self, now: Duration, peer: u16) {
        self.heartbeats.insert(peer, now);
    }

    /// Records the revision of the configuration in force; 0 for none.
    pub(super) fn revision(&mut self, now: Duration, revision: u64) {
        if revision > 0 && self.revision.is_none_or(|(before, _)| before != revision) {
            self.revision = Some((revision, now));
        }
    }
}

/// The part of the status that operators wait for. A change of it is published at once.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Progress {
    phase: Phase,
    revision: Option<u64>,
    table: u64,
}

impl Core {
    /// Returns the part of the status that operators wait for.
    #[must_use]
    pub fn progress(&self) -> Progress {
        let phase = if self.leaving {
            Phase::Leaving
        } else if self.agreement.is_ready() {
            Phase::Serving
        } else {
            Phase::Starting
        };
        Progress {
            phase,
            revision: self.agreement.version().map(|version| version.revision),
            table: self.tables.version,
        }
    }

    /// Returns the configuration document in force, encoded as in the platform's store.
    #[must_use]
    pub fn document(&self) -> Option<Arc<str>> {
        self.agreement
            .config()
            .map(|document| document.encode().into())
    }

    /// Returns the balancer's status. `unix` is the time of day.
    #[must_use]
    pub fn status(&mut self, now: Duration, unix: Duration, shards: &Shards) -> Status {
        let behind = self.is_behind(unix);
        let age = |since: Duration| millis(now.saturating_sub(since));
        let progress = self.progress();
        let view = self.group.view(now);
        let peers = view.members.iter().filter(|member| self.is_live(member));
        Status {
            name: name(self.settings.id),
            id: self.settings.id,
            data_centre: Arc::clone(&self.settings.data_centre),
            phase: progress.phase,
            revision: progress.revision,
            change: self.agreement.version().map(|version| version.change),
            behind,
            enforced_ms: self.last_seen.revision.map_or(0, |(_, since)| age(since)),
            store_ms: self.last_seen.store.map(age),
            peers: peers
                .filter_map(|member| {
                    let heard = self.last_seen.heartbeats.get(&member.id).copied();
                    self.peer(member, heard.map(age))
                })
                .collect(),
            services: self.services(),
            // This daemon doesn't count flows per backend server.
            servers: Vec::new(),
            // Data centres can only be evacuated on the users' platform.
            evacuations: Vec::new(),
            pins: (0..shards.count())
                .map(|index| shards.at(index).len() as u64)
                .sum(),
        }
    }

    /// Returns whether the tables in force don't follow the configuration in force yet. Once tables
    /// follow it, all later ones do, as they only change weights and end drains.
    fn is_behind(&mut self, unix: Duration) -> bool {
        let Some(config) = self.agreement.version() else {
            return false;
        };
        let table = self.tables.version;
        if let Some(known) = self.last_seen.follow_check
            && known.config == config
            && (!known.behind || known.table == table)
        {
            return known.behind;
        }
        let behind = self.would_change_tables(unix);
        self.last_seen.follow_check = Some(Check {
            config,
            table,
            behind,
        });
        behind
    }

    fn would_change_tables(&self, unix: Duration) -> bool {
        let (Some(config), Some(document)) = (self.agreement.config(), self.agreement.document())
        else {
            return true;
        };
        // Only the immediate part of a change counts: bases move later, when all balancers know it.
        let situation = acacia_tables::Context {
            now: unix.as_secs(),
            is_known: &|_| false,
            weight: &|_, _| None,
        };
        !matches!(next_document(Some(document), config, &situation), Ok(None))
    }

    /// Returns whether operators must ask this member if a change is in force there. That holds for
    /// all members except those that are dead or have left: one that is merely unheard may be cut
    /// off from this balancer and still serve.
    fn is_live(&self, member: &Member) -> bool {
        let heard = member.state.is_heard();
        let left = self.stages.get(&member.id) == Some(&Stage::Leaving) && !heard;
        let stopped = !heard && self.gone.contains(&member.id);
        member.state != State::Dead && !left && !stopped
    }

    /// Returns a peer's entry in the status. All balancers serve operators on the same port.
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

/// Returns the name of a balancer's VM in the platform's list.
fn name(id: u16) -> Arc<str> {
    format!("{VM_NAME_PREFIX}{id}").into()
}
