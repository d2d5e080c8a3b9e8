//! Examination of servers that may be down: which ones to probe, and how results are applied and
//! shared.

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

/// How long unanswered packets to a server are ignored after it answered a probe of this balancer.
/// Under sustained packet loss, each retransmission would otherwise start an examination.
const OWN_TRUST: Duration = Duration::from_millis(300);
/// Maximum number of servers listed in one message. At 20 bytes each, the message fits into one
/// Ethernet frame.
pub const MAX_SILENT: usize = 20;

/// Number of balancers per data centre that examine a server which peers report as silent, or which
/// is in the data centre of a silent one. With three, two still agree when one of them crashes or
/// is cut off itself. If each balancer of a large fleet examined for itself, healthy servers would
/// get more connections from balancers than from callers.
const EXAMINERS: usize = 3;

/// A backend server to probe.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Target {
    /// Its id.
    pub server: Arc<str>,
    /// The address at which it accepts connections.
    pub address: SocketAddrV4,
}

/// Servers to probe together.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Examination {
    /// Suspected servers. The result counts only if the control shows that probes are answered at
    /// all.
    pub targets: Vec<Target>,
    /// Silent servers that may answer again.
    pub silent: Vec<Target>,
    /// Address of a server that is probed as the control for `targets`; `None` if no server is
    /// trusted.
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
    /// Records that a packet to a server went unanswered here. Returns true if the server is to be
    /// examined.
    pub fn record_unanswered(&mut self, server: &Arc<str>, now: Duration) -> bool {
        let examine = self.detector.suspect_unanswered(server, OWN_TRUST, now);
        if examine {
            log::info!("event=server-suspected server={server} by=packets");
        }
        examine
    }

    /// Handles a peer's report that servers are silent. This balancer examines those for which it
    /// is an examiner; for the others, it adopts the verdict once enough peers of its own data
    /// centre agree.
    pub(super) fn receive_suspicions(
        &mut self,
        servers: &[Arc<str>],
        from: &Member,
        now: Duration,
    ) -> Outcome {
        let mut outcome = Outcome::default();
        let mut silent = Vec::new();
        if servers.is_empty() {
            return outcome;
        }
        let unreported = self.unreported_centres();
        let near = from.data_centre == self.own().data_centre;
        for server in servers {
            if !self.roster.holds(server) || self.is_in_any(server, &unreported) {
                continue;
            }
            if near {
                outcome.examine |= self.sample_data_centre_of(server, now);
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
        outcome.changed = !silent.is_empty();
        outcome
    }

    /// Handles the report of a peer in the same data centre that silent servers answer again.
    /// Returns true if this balancer uses any of them again.
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

    pub(super) fn is_examiner(&self, server: &str) -> bool {
        is_chosen(self.own(), self.peers(), cookie::hash(server), EXAMINERS)
    }

    /// Returns the servers to examine now, and when the next examination is due.
    pub fn examination(&mut self, now: Duration) -> (Examination, Option<Duration>) {
        let due = self.detector.due(now);
        let next = [self.detector.next_due(), self.paths.next_due()];
        let next = next.into_iter().flatten().min();
        let suspected = due.suspected;
        // A few probes for the whole of a data centre that can't be reached show its return.
        let is_probed = |server: &Arc<str>| !self.is_in_lost_centre(server);
        let silent: Vec<Arc<str>> = due.silent.into_iter().filter(is_probed).collect();
        let targets = self.targets(&suspected);
        let mut silent = self.targets(&silent);
        silent.extend(self.path_probes(now));
        let near = self.has_near(&suspected);
        let near_control = !near || self.control_is_near;
        let control = match targets.is_empty() {
            true => None,
            false => self
                .control(near_control, &suspected)
                .or_else(|| self.control(!near_control, &suspected)),
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
            let found = self
                .roster
                .get(server)
                .filter(|_| self.roster.holds(server))?;
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
            .any(|server| server.data_centre == self.own().data_centre)
    }

    /// The address of a random server that the detector trusts, of a data centre that can be reached: of the
    /// own one if `near`, else of another one.
    fn control(&mut self, near: bool, except: &[Arc<str>]) -> Option<SocketAddrV4> {
        let (detector, centre) = (&self.detector, &self.group.own().data_centre);
        let lost = self.paths.lost();
        let trusted = self.roster.present().filter(|server| {
            detector.is_trusted(&server.id)
                && !lost.contains(&server.data_centre)
                && self.roster.is_named(&server.service)
                && !except.contains(&server.id)
                && (server.data_centre == *centre) == near
        });
        trusted
            .choose(&mut self.random)
            .map(|server| server.address)
    }

    /// Applies the results of an examination and reports them to the own data centre.
    pub fn record_findings(
        &mut self,
        findings: Vec<(Arc<str>, Finding)>,
        now: Duration,
    ) -> Outcome {
        let (mut silent, mut back, mut any_silent) = (Vec::new(), Vec::new(), false);
        let unknown = |(_, finding): &&(Arc<str>, Finding)| *finding == Finding::Unknown;
        let unknown = findings.iter().filter(unknown);
        let unknown: Vec<Arc<str>> = unknown.map(|(server, _)| Arc::clone(server)).collect();
        if self.has_near(&unknown) {
            self.control_is_near = !self.control_is_near;
        }
        let mut outcome = Outcome::default();
        let lost_before = self.paths.lost();
        for (server, finding) in &findings {
            outcome.append(self.record_path_finding(server, *finding, now));
        }
        // The verdict on a data centre tells peers enough of the sample that led to it.
        let mut unreported = &self.paths.lost() - &lost_before;
        unreported.extend(self.unreported_centres());
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
                    outcome.examine |= self.sample_data_centre_of(&server, now);
                    any_silent = true;
                    if !self.is_in_any(&server, &unreported) {
                        silent.push(server);
                    }
                }
            }
        }
        outcome.changed |= any_silent || !back.is_empty();
        outcome.outgoing.extend(
            self.messages_to_data_centre(&silent, now, |message, listed| message.silent = listed),
        );
        outcome.outgoing.extend(
            self.messages_to_data_centre(&back, now, |message, listed| message.back = listed),
        );
        outcome
    }

    /// Messages to all peers in the own data centre that together list `servers`; `put` stores a
    /// chunk of them in the message's field.
    pub(super) fn messages_to_data_centre(
        &self,
        servers: &[Arc<str>],
        now: Duration,
        put: impl Fn(&mut Message, Vec<Arc<str>>),
    ) -> Vec<Outgoing> {
        let near = self.peers().of(&self.own().data_centre);
        let to: Vec<SocketAddrV4> = near.map(|member| member.address).collect();
        let outgoing = |listed: &[Arc<str>]| {
            let mut message = self.empty_message(now);
            put(&mut message, listed.to_vec());
            let to = to.clone();
            Outgoing { to, message }
        };
        servers.chunks(MAX_SILENT).map(outgoing).collect()
    }
}
