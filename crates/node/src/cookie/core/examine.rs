//! Which servers are examined, and what follows from the result.

use std::{net::SocketAddrV4, sync::Arc, time::Duration};

use acacia_catalog::{
    member::{Member, rank},
    spread::is_chosen,
};
use acacia_cookie::{
    cookie,
    silence::{Finding, PEER_TRUST, Verdict},
};
use rand::seq::IteratorRandom as _;

use super::{Core, Outcome};
use crate::cookie::message::{Message, Outgoing};

/// How long a server that has answered a probe here is left alone where a packet went unanswered here: at
/// a loss of packets that goes on, each copy would else start an examination.
const OWN_TRUST: Duration = Duration::from_millis(300);
/// Silent servers named in one message: with 20 bytes each, it stays below an Ethernet frame.
pub const MAX_SILENT: usize = 20;

/// Balancers of each data centre that examine a server which others find silent, and the neighbours of
/// one. Three: they agree on what the others are told, also when one of them dies or is cut off itself.
/// Were each balancer of a large fleet to examine for itself, the servers that live would get more
/// connections from balancers than from callers.
const EXAMINERS: usize = 3;

/// A backend server and where it is.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Target {
    /// Its name.
    pub server: Arc<str>,
    /// Where it takes connections.
    pub address: SocketAddrV4,
}

/// Servers to probe together.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Examination {
    /// The servers under suspicion, for which the control shows whether probes are answered at all.
    pub targets: Vec<Target>,
    /// Silent servers, which may be back.
    pub silent: Vec<Target>,
    /// The control of the targets; none where nobody is above suspicion.
    pub control: Option<SocketAddrV4>,
}

impl Examination {
    /// Whether there is nothing to probe.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.targets.is_empty() && self.silent.is_empty()
    }
}

impl Core {
    /// A packet to a server went unanswered here. Whether there is something to examine.
    pub fn record_unanswered(&mut self, server: &Arc<str>, now: Duration) -> bool {
        let examine = self.detector.suspect(server, OWN_TRUST, now);
        if examine {
            log::info!("event=server-suspected server={server} by=packets");
        }
        examine
    }

    /// A peer finds these servers silent. Those that this balancer is to examine are examined; of the
    /// others, the word of several peers of the own data centre is taken.
    pub(super) fn receive_suspicions(
        &mut self,
        servers: &[Arc<str>],
        from: &Member,
        now: Duration,
    ) -> Outcome {
        let mut outcome = Outcome::default();
        let mut silent = Vec::new();
        let near = from.data_centre == self.own.data_centre;
        for server in servers {
            if !self.roster.holds(server) {
                continue;
            }
            if self.is_examiner(server) {
                if self.detector.suspect(server, PEER_TRUST, now) {
                    log::info!("event=server-suspected server={server} by=peer");
                    outcome.examine = true;
                }
            } else if near
                && self
                    .detector
                    .peer_found_silent(server, rank(from.address), now)
                    == Verdict::Silent
            {
                log::warn!("event=server-silent server={server} by=peers");
                silent.push(Arc::clone(server));
            }
        }
        if !silent.is_empty() {
            outcome.examine |= self.examine_neighbours(&silent, now);
            outcome.changed = true;
        }
        outcome
    }

    /// A peer of the own data centre has found that these silent servers answer again. Whether anything
    /// changed.
    pub(super) fn receive_recoveries(&mut self, servers: &[Arc<str>], now: Duration) -> bool {
        let mut changed = false;
        for server in servers {
            if self.detector.peer_found_back(server, now) == Verdict::Back {
                log::info!("event=server-back server={server} by=peer");
                self.roster.suspect_restart(server, now);
                changed = true;
            }
        }
        changed
    }

    fn is_examiner(&self, server: &str) -> bool {
        is_chosen(&self.own, &self.peers, cookie::hash(server), EXAMINERS)
    }

    /// The servers to examine now, and when to look again.
    pub fn examination(&mut self, now: Duration) -> (Examination, Option<Duration>) {
        let due = self.detector.due(now);
        let next = self.detector.next_due();
        let targets = self.targets(&due.suspected);
        let silent = self.targets(&due.silent);
        let near = self.has_near(&due.suspected);
        let near_control = !near || self.control_is_near;
        let control = match targets.is_empty() {
            true => None,
            false => self
                .control(near_control, &due.suspected)
                .or_else(|| self.control(!near_control, &due.suspected)),
        };
        let examination = Examination {
            targets,
            silent,
            control,
        };
        (examination, next)
    }

    fn targets(&self, servers: &[Arc<str>]) -> Vec<Target> {
        let target = |server: &Arc<str>| {
            let found = self.roster.servers().find(|known| known.id == *server)?;
            let (server, address) = (Arc::clone(server), found.address);
            Some(Target { server, address })
        };
        servers.iter().filter_map(target).collect()
    }

    /// Whether one of the servers is in the own data centre.
    fn has_near(&self, servers: &[Arc<str>]) -> bool {
        let known = servers.iter().filter_map(|server| self.roster.get(server));
        known
            .into_iter()
            .any(|server| server.data_centre == self.own.data_centre)
    }

    /// A server that nothing speaks against, in the own data centre or in another one.
    fn control(&mut self, near: bool, except: &[Arc<str>]) -> Option<SocketAddrV4> {
        let (detector, centre) = (&self.detector, &self.own.data_centre);
        let trusted = self.roster.present().filter(|server| {
            detector.is_trusted(&server.id)
                && !except.contains(&server.id)
                && (server.data_centre == *centre) == near
        });
        trusted
            .choose(&mut self.random)
            .map(|server| server.address)
    }

    /// An examination has ended.
    pub fn record_findings(
        &mut self,
        findings: Vec<(Arc<str>, Finding)>,
        now: Duration,
    ) -> Outcome {
        let (mut silent, mut back) = (Vec::new(), Vec::new());
        let unknown = |(_, finding): &&(Arc<str>, Finding)| *finding == Finding::Unknown;
        let unknown = findings.iter().filter(unknown);
        let unknown: Vec<Arc<str>> = unknown.map(|(server, _)| Arc::clone(server)).collect();
        if self.has_near(&unknown) {
            self.control_is_near = !self.control_is_near;
        }
        for (server, finding) in findings {
            match self.detector.found(&server, finding, now) {
                Verdict::Same => {}
                Verdict::Back => {
                    log::info!("event=server-back server={server} by=probe");
                    self.roster.suspect_restart(&server, now);
                    back.push(server);
                }
                Verdict::Silent => {
                    log::warn!("event=server-silent server={server} by=probes");
                    silent.push(server);
                }
            }
        }
        let mut outgoing =
            self.messages_to_data_centre(&silent, now, |message, named| message.silent = named);
        outgoing.extend(
            self.messages_to_data_centre(&back, now, |message, named| message.back = named),
        );
        Outcome {
            outgoing,
            examine: self.examine_neighbours(&silent, now),
            changed: !silent.is_empty() || !back.is_empty(),
            ..Outcome::default()
        }
    }

    /// Puts the neighbours of silent servers under examination, where it is this balancer's part; true if
    /// there are any. A cut puts all servers of a data centre out of reach in one moment: found one by
    /// one, each would cost its callers an unanswered packet first.
    fn examine_neighbours(&mut self, silent: &[Arc<str>], now: Duration) -> bool {
        let lost = silent.iter().filter_map(|id| self.roster.get(id));
        let mut centres: Vec<Arc<str>> = lost.map(|known| Arc::clone(&known.data_centre)).collect();
        centres.sort_unstable();
        centres.dedup();
        let near = self
            .roster
            .servers()
            .filter(|known| centres.contains(&known.data_centre) && self.is_examiner(&known.id));
        let near: Vec<Arc<str>> = near.map(|known| Arc::clone(&known.id)).collect();
        let mut examine = false;
        for neighbour in near {
            examine |= self.detector.suspect(&neighbour, OWN_TRUST, now);
        }
        examine
    }

    /// Messages to all of the own data centre, each with a part of `servers` as `put` places them.
    pub(super) fn messages_to_data_centre(
        &self,
        servers: &[Arc<str>],
        now: Duration,
        put: impl Fn(&mut Message, Vec<Arc<str>>),
    ) -> Vec<Outgoing> {
        let own = self
            .peers
            .iter()
            .filter(|member| member.data_centre == self.own.data_centre);
        let to: Vec<SocketAddrV4> = own.map(|member| member.address).collect();
        let outgoing = |named: &[Arc<str>]| {
            let mut message = self.empty_message(now);
            put(&mut message, named.to_vec());
            let to = to.clone();
            Outgoing { to, message }
        };
        servers.chunks(MAX_SILENT).map(outgoing).collect()
    }
}
