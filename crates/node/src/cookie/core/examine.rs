//! Which servers are examined, and what follows from the result.

use std::{net::SocketAddrV4, sync::Arc, time::Duration};

use acacia_catalog::spread::is_chosen;
use acacia_cookie::{
    cookie,
    silence::{Finding, Verdict},
};
use rand::seq::IteratorRandom as _;

use super::{Core, Outcome};
use crate::cookie::message::Parcel;

/// How long a server that has answered a probe here is left alone whatever peers say of it: a
/// server may be out of reach for one balancer alone, which goes on saying so.
const PEER_TRUST: Duration = Duration::from_secs(2);
/// The same where a packet went unanswered here: at a loss of packets that goes on, each copy would
/// else start an examination.
const OWN_TRUST: Duration = Duration::from_millis(300);
/// Silent servers named in one message: with 20 bytes each, it stays below an Ethernet frame.
pub const NAMED: usize = 20;

/// Balancers of each data centre that examine the neighbours of a silent server. Three: they agree on
/// what the others are told, also when one of them dies or is cut off itself.
///
/// Load: a server dies in a large fleet, where all see it fall silent within a second. Harm: if each
/// balancer examined all neighbours for itself, the death of one of 150 servers would make 11,000
/// connections to living ones at 73 balancers, three times what their callers open meanwhile.
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
    pub fn unanswered(&mut self, server: &Arc<str>, now: Duration) -> bool {
        let examine = self.detector.suspect(server, OWN_TRUST, now);
        if examine {
            log::info!("event=server-suspected server={server} by=packets");
        }
        examine
    }

    /// A peer finds these servers silent. Whether there is something to examine.
    pub(super) fn doubt(&mut self, servers: &[Arc<str>], now: Duration) -> bool {
        let mut examine = false;
        let known: Vec<&Arc<str>> = self.roster.servers().map(|known| &known.id).collect();
        for server in servers.iter().filter(|server| known.contains(server)) {
            if self.detector.suspect(server, PEER_TRUST, now) {
                log::info!("event=server-suspected server={server} by=peer");
                examine = true;
            }
        }
        examine
    }

    /// The servers to examine now, and when to look again.
    pub fn examination(&mut self, now: Duration) -> (Examination, Option<Duration>) {
        let due = self.detector.due(now);
        let next = self.detector.next();
        let targets = self.targets(&due.doubted);
        let silent = self.targets(&due.silent);
        let control = match targets.is_empty() {
            true => None,
            false => self
                .control(true, &due.doubted)
                .or_else(|| self.control(false, &due.doubted)),
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

    /// A server that nothing speaks against, in the own data centre or anywhere.
    fn control(&mut self, near: bool, except: &[Arc<str>]) -> Option<SocketAddrV4> {
        let (detector, centre) = (&self.detector, &self.own.data_centre);
        let trusted = self.roster.present().filter(|server| {
            detector.is_trusted(&server.id)
                && !except.contains(&server.id)
                && (!near || server.data_centre == *centre)
        });
        trusted
            .choose(&mut self.random)
            .map(|server| server.address)
    }

    /// An examination has ended.
    pub fn examined(&mut self, findings: Vec<(Arc<str>, Finding)>, now: Duration) -> Outcome {
        let mut silent = Vec::new();
        let mut outcome = Outcome::default();
        for (server, finding) in findings {
            match self.detector.found(&server, finding, now) {
                Verdict::Same => {}
                Verdict::Back => {
                    log::info!("event=server-back server={server}");
                    outcome.changed = true;
                }
                Verdict::Silent => {
                    log::warn!("event=server-silent server={server}");
                    silent.push(server);
                }
            }
        }
        if !silent.is_empty() {
            self.fell_silent(silent, &mut outcome, now);
        }
        outcome
    }

    /// Servers have fallen silent: their neighbours are examined at once by some of the data centre's
    /// balancers, and all of it is told.
    ///
    /// Load: a cut puts all servers of a data centre out of reach in one moment. Harm: found one by
    /// one, each costs its callers an unanswered packet first, and new flows go from one lost server
    /// to the next.
    fn fell_silent(&mut self, silent: Vec<Arc<str>>, outcome: &mut Outcome, now: Duration) {
        let lost = self
            .roster
            .servers()
            .filter(|known| silent.contains(&known.id));
        let centres: Vec<Arc<str>> = lost.map(|known| Arc::clone(&known.data_centre)).collect();
        let near = self
            .roster
            .servers()
            .filter(|known| centres.contains(&known.data_centre));
        for neighbour in near {
            let key = cookie::hash(&neighbour.id);
            if is_chosen(&self.own, &self.list, key, EXAMINERS) {
                outcome.examine |= self.detector.suspect(&neighbour.id, OWN_TRUST, now);
            }
        }
        outcome.changed = true;
        let own = self
            .list
            .iter()
            .filter(|member| member.data_centre == self.own.data_centre);
        let to: Vec<SocketAddrV4> = own.map(|member| member.address).collect();
        for silent in silent.chunks(NAMED) {
            let mut message = self.message(now);
            message.silent = silent.to_vec();
            let to = to.clone();
            outcome.parcels.push(Parcel { to, message });
        }
    }
}
