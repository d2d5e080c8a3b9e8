//! Which servers are examined, and what follows from the result.

use std::{net::SocketAddrV4, sync::Arc, time::Duration};

use acacia_cookie::silence::{Finding, Verdict};
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

/// A backend server and where it is.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Target {
    /// Its name.
    pub server: Arc<str>,
    /// Where it takes connections.
    pub address: SocketAddrV4,
}

/// Servers to examine together, and another that shows whether probes are answered at all.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Examination {
    /// The servers under suspicion.
    pub targets: Vec<Target>,
    /// The control; none where nobody is above suspicion.
    pub control: Option<SocketAddrV4>,
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
        if due.is_empty() {
            return (Examination::default(), next);
        }
        let targets = due.iter().filter_map(|server| {
            let found = self.roster.servers().find(|known| known.id == *server)?;
            let (server, address) = (Arc::clone(server), found.address);
            Some(Target { server, address })
        });
        let targets = targets.collect();
        let control = self
            .control(true, &due)
            .or_else(|| self.control(false, &due));
        (Examination { targets, control }, next)
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

    /// Servers have fallen silent: their neighbours are examined at once, and the own data centre is
    /// told.
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
            outcome.examine |= self.detector.suspect(&neighbour.id, OWN_TRUST, now);
        }
        outcome.changed = true;
        let own = self
            .list
            .iter()
            .filter(|member| member.data_centre == self.own.data_centre);
        let to = own.map(|member| member.address).collect();
        let mut message = self.message(now);
        message.silent = silent.into_iter().take(NAMED).collect();
        outcome.parcels.push(Parcel { to, message });
    }
}
