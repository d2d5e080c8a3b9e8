//! Membership of the fleet: rounds of probes, and the log of members that were found or lost.

use std::{fmt::Write as _, time::Duration};

use acacia_catalog::member::{Change, Letter, Probe};

use super::{Core, examine};
use crate::cookie::message::{Message, Outgoing};

/// Maximum number of balancers named in one log line.
const MAX_LOGGED: usize = 8;

impl Core {
    /// Runs a round: probes members, and returns the messages to send.
    pub fn gossip(&mut self, now: Duration) -> Vec<Outgoing> {
        self.forget_removed(now);
        let letters = self.group.round(now);
        self.log_member_changes();
        let mut outgoing = self.letters(letters, now);
        self.add_silent_servers(&mut outgoing);
        self.forget_old_demand(now);
        self.add_demands(&mut outgoing, now);
        outgoing.extend(self.status_request(now));
        outgoing.extend(self.counts_message(now));
        outgoing
    }

    /// A request to the peer that knew a later revision at the start, sent if this balancer still
    /// has no configuration once the store's grace period is over. Without it, the balancer would
    /// depend on random probes, and wait long if most of the peers that it knows are paused.
    fn status_request(&self, now: Duration) -> Option<Outgoing> {
        if self.is_informed() || self.awaits_store(now) {
            return None;
        }
        let mut message = self.empty_message(now);
        // Any answer contains the revision that the peer knows.
        message.gossip.probe = Some(Probe::Ping(0));
        let to = vec![self.peer_ahead?];
        Some(Outgoing { to, message })
    }

    /// Announces to the own data centre that this balancer is leaving.
    pub fn leave(&mut self, now: Duration) -> Vec<Outgoing> {
        let letters = self.group.leave();
        self.letters(letters, now)
    }

    /// Completes membership messages with what every message contains.
    pub(super) fn letters(&self, letters: Vec<Letter>, now: Duration) -> Vec<Outgoing> {
        let claims = self.some_claims(now);
        let outgoing = |Letter { to, gossip }| Outgoing {
            to: vec![to],
            message: Message {
                gossip,
                claims: claims.clone(),
                ..self.empty_message(now)
            },
        };
        letters.into_iter().map(outgoing).collect()
    }

    /// Adds the servers that this balancer found silent, and the data centres that it found unreachable, to
    /// the messages of a round.
    fn add_silent_servers(&self, outgoing: &mut [Outgoing]) {
        let found = self.detector.found_silent().into_iter();
        let unreported = self.unreported_centres();
        let found = found.filter(|server| !self.is_in_any(server, &unreported));
        let silent: Vec<_> = found.take(examine::MAX_SILENT).collect();
        // In another data centre, a report only starts a sample, so adopted verdicts may be reported there.
        let (found, known) = (self.paths.found_lost(), Vec::from_iter(self.paths.lost()));
        for Outgoing { to, message } in outgoing {
            let receiver = to.first().and_then(|to| self.peers().get(*to));
            let near = receiver.is_some_and(|peer| peer.data_centre == self.own().data_centre);
            message.silent.clone_from(&silent);
            message.lost.clone_from(if near { &found } else { &known });
        }
    }

    /// Logs the balancers that were found or lost since the last call, in one line each.
    pub(super) fn log_member_changes(&mut self) {
        let changes = self.group.take_changes();
        let found = changes.iter().filter_map(|change| match change {
            Change::Found(member) => Some(member.address),
            Change::Lost(_) => None,
        });
        let lost = changes.iter().filter_map(|change| match change {
            Change::Lost(member) => Some(member.address),
            Change::Found(_) => None,
        });
        let known = self.peers().len();
        for (event, list) in [("peers-found", list(found)), ("peers-lost", list(lost))] {
            if let Some(list) = list {
                log::info!("event={event} {list} known={known}");
            }
        }
    }
}

/// Formats the number of balancers and the first few of them; `None` if there are none.
fn list(addresses: impl Iterator<Item = std::net::SocketAddrV4>) -> Option<String> {
    let mut text = String::new();
    let mut count = 0;
    for address in addresses {
        count += 1;
        if count <= MAX_LOGGED {
            let comma = if count > 1 { "," } else { "" };
            // Writing to a string can't fail.
            let _ = write!(text, "{comma}{address}");
        }
    }
    (count > 0).then(|| format!("count={count} peers={text}"))
}
