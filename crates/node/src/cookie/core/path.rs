//! Verdicts on whole data centres: which servers to sample, and how results are applied and shared.

use std::{collections::BTreeSet, sync::Arc, time::Duration};

use acacia_catalog::{
    member::{Member, rank},
    spread::is_chosen,
};
use acacia_cookie::{
    cookie,
    path::{PROBES, SAMPLE, Verdict},
    silence::{self, Finding},
};
use rand::seq::IteratorRandom as _;

use super::{Core, Outcome, examine::Target};
use crate::cookie::message::{Message, Outgoing};

/// Number of balancers per data centre that sample another data centre. With three, two still agree when
/// one of them crashes or is cut off itself.
const SAMPLERS: usize = 3;
/// Number of servers up to which those of a data centre that can't be reached are reported as silent one by
/// one: as many as are examined together.
const MAX_REPORTED: usize = silence::MAX_EXAMINED;
/// How long before a sample an answer of a server still counts.
const SAMPLE_TRUST: Duration = Duration::from_millis(300);

impl Core {
    /// Whether a server is in one of these data centres.
    pub(super) fn is_in_any(&self, server: &str, data_centres: &BTreeSet<Arc<str>>) -> bool {
        let known = self.roster.get(server);
        known.is_some_and(|known| data_centres.contains(&known.data_centre))
    }

    /// Whether a server is in a data centre that can't be reached.
    pub(super) fn is_in_lost_centre(&self, server: &str) -> bool {
        let known = self.roster.get(server);
        known.is_some_and(|known| self.paths.is_lost(&known.data_centre))
    }

    /// The data centres that can't be reached and are too large for reports on their single servers: everybody
    /// would examine and pass on thousands.
    pub(super) fn unreported_centres(&self) -> BTreeSet<Arc<str>> {
        let mut lost = self.paths.lost();
        lost.retain(|centre| {
            let servers = self.roster.present();
            let servers = servers.filter(|server| server.data_centre == *centre);
            servers.take(MAX_REPORTED + 1).count() > MAX_REPORTED
        });
        lost
    }

    /// The number of servers that are silent or in a data centre that can't be reached.
    pub(super) fn unreachable_servers(&self) -> usize {
        let lost = self.paths.lost();
        let silent = self.detector.silent().into_iter();
        let silent = silent.filter(|server| !self.is_in_lost_centre(server));
        let in_lost = match lost.is_empty() {
            true => 0,
            false => {
                let servers = self.roster.servers();
                let servers = servers.filter(|server| lost.contains(&server.data_centre));
                servers.count()
            }
        };
        silent.count() + in_lost
    }

    /// Updates whether this balancer reaches hardly any server.
    pub(super) fn update_isolated(&mut self) {
        let (silent, known) = (self.unreachable_servers(), self.roster.count());
        let isolated = silence::is_isolated(silent, known);
        if isolated != self.isolated {
            self.isolated = isolated;
            log::warn!("event=isolated isolated={isolated} servers={known}");
        }
    }

    /// Starts a sample of the data centre of a server that was found silent, if this balancer is one of
    /// those that do so. Returns true if there are servers to examine.
    pub(super) fn sample_data_centre_of(&mut self, server: &str, now: Duration) -> bool {
        let Some(known) = self.roster.get(server) else {
            return false;
        };
        let centre = Arc::clone(&known.data_centre);
        self.is_sampler(&centre) && self.sample_data_centre(&centre, now)
    }

    fn is_sampler(&self, data_centre: &str) -> bool {
        let key = cookie::hash(data_centre);
        is_chosen(self.own(), self.peers(), key, SAMPLERS)
    }

    fn sample_data_centre(&mut self, data_centre: &Arc<str>, now: Duration) -> bool {
        if !self.paths.wants_sample(data_centre, now) {
            return false;
        }
        let detector = &self.detector;
        let candidates = self
            .roster
            .present()
            .filter(|server| server.data_centre == *data_centre && !detector.is_silent(&server.id))
            .filter(|server| self.roster.is_named(&server.service));
        let sample = candidates.sample(&mut self.random, SAMPLE);
        let sample: Vec<Arc<str>> = sample
            .into_iter()
            .map(|server| Arc::clone(&server.id))
            .collect();
        self.paths
            .begin_sample(data_centre, sample.iter().cloned(), now);
        let mut examine = false;
        for server in &sample {
            examine |= self.detector.suspect(server, SAMPLE_TRUST, now);
        }
        examine
    }

    /// The servers of unreachable data centres that are to be probed for their return.
    pub(super) fn path_probes(&mut self, now: Duration) -> Vec<Target> {
        let mut targets = Vec::new();
        for centre in self.paths.due(now) {
            let servers = self.roster.present();
            let servers = servers.filter(|server| server.data_centre == centre);
            let servers = servers.filter(|server| self.roster.is_named(&server.service));
            let drawn = servers.sample(&mut self.random, PROBES);
            targets.extend(drawn.into_iter().map(|server| Target {
                server: Arc::clone(&server.id),
                address: server.address,
            }));
        }
        targets
    }

    /// Applies the result of a server's examination to its data centre, and announces a verdict on that.
    pub(super) fn record_path_finding(
        &mut self,
        server: &Arc<str>,
        finding: Finding,
        now: Duration,
    ) -> Outcome {
        let Some(known) = self.roster.get(server) else {
            return Outcome::default();
        };
        let centre = Arc::clone(&known.data_centre);
        if finding == Finding::Answered && self.paths.reached(&centre) {
            log::info!("event=data-centre-back data_centre={centre} by=probe");
            self.resume(&centre, now);
            return self.announce(now, |message| message.reached = vec![centre.clone()]);
        }
        match self.paths.record(&centre, server, finding, now) {
            Verdict::None => Outcome::default(),
            Verdict::Lost => {
                log::warn!("event=data-centre-silent data_centre={centre} by=probes");
                self.announce(now, |message| message.lost = vec![centre.clone()])
            }
            Verdict::Scattered => {
                let mut outcome = self.announce_scattered(&centre, now);
                outcome.examine |= self.examine_scattered(std::slice::from_ref(&centre), now);
                outcome
            }
        }
    }

    /// Uses a data centre's servers again. Those that were found silent are probed at once.
    fn resume(&mut self, data_centre: &str, now: Duration) {
        self.roster.suspect_restarts_in(data_centre, now);
        for server in self.detector.silent() {
            let known = self.roster.get(&server);
            if known.is_some_and(|known| &*known.data_centre == data_centre) {
                self.detector.probe_at_once(&server, now);
            }
        }
    }

    /// A message to the own data centre.
    fn announce(&self, now: Duration, put: impl Fn(&mut Message)) -> Outcome {
        let near = self.peers().of(&self.own().data_centre);
        let to = near.map(|member| member.address).collect();
        let mut message = self.empty_message(now);
        put(&mut message);
        Outcome {
            outgoing: vec![Outgoing { to, message }],
            changed: true,
            ..Outcome::default()
        }
    }

    fn announce_scattered(&self, data_centre: &Arc<str>, now: Duration) -> Outcome {
        if !self.examines_each_server_of(data_centre) {
            return Outcome::default();
        }
        self.announce(now, |message| message.scattered = vec![data_centre.clone()])
    }

    /// Whether the balancers of this data centre examine each server of another one. If that one has
    /// balancers, these do it, and others learn of a silent server when a packet to it goes unanswered.
    fn examines_each_server_of(&self, data_centre: &str) -> bool {
        let own = &*self.own().data_centre == data_centre;
        own || self.peers().of(data_centre).next().is_none()
    }

    /// Suspects the servers of data centres in which several are silent, as far as this balancer is their
    /// examiner. Returns true if any is to be examined.
    pub(super) fn examine_scattered(&mut self, data_centres: &[Arc<str>], now: Duration) -> bool {
        let mut examine = false;
        for centre in data_centres {
            if !self.examines_each_server_of(centre)
                || !self.paths.wants_full_examination(centre, now)
            {
                continue;
            }
            let servers = self.roster.servers();
            let servers = servers.filter(|known| known.data_centre == *centre);
            let servers = servers.filter(|known| self.roster.is_named(&known.service));
            let servers = servers.filter(|known| self.is_examiner(&known.id));
            let servers: Vec<Arc<str>> = servers.map(|known| Arc::clone(&known.id)).collect();
            for server in servers {
                examine |= self.detector.suspect(&server, SAMPLE_TRUST, now);
            }
        }
        examine
    }

    /// Handles a peer's report that it reaches no server of some data centres. One from another data centre
    /// only starts a sample.
    pub(super) fn receive_losses(
        &mut self,
        data_centres: &[Arc<str>],
        from: &Member,
        now: Duration,
    ) -> Outcome {
        let mut outcome = Outcome::default();
        let near = from.data_centre == self.own().data_centre;
        for centre in data_centres {
            if self.paths.is_lost(centre) {
                continue;
            }
            if !near || self.is_sampler(centre) {
                outcome.examine |= self.sample_data_centre(centre, now);
            } else if self.paths.peer_found_lost(centre, rank(from.address), now) {
                log::warn!("event=data-centre-silent data_centre={centre} by=peers");
                outcome.changed = true;
            }
        }
        outcome
    }

    /// Handles a peer's report that it reaches data centres again. Returns true if this balancer uses any
    /// of them again.
    pub(super) fn receive_reached(&mut self, data_centres: &[Arc<str>], now: Duration) -> bool {
        let mut changed = false;
        for centre in data_centres {
            if self.paths.peer_reached(centre, now) {
                log::info!("event=data-centre-back data_centre={centre} by=peer");
                self.resume(centre, now);
                changed = true;
            }
        }
        changed
    }
}
