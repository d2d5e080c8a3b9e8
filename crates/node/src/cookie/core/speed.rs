//! Server speeds: request counts from this balancer and its peers, and their evaluation.

use std::{fmt, net::SocketAddrV4, time::Duration};

use acacia_cookie::speed;
use rand::seq::IndexedRandom as _;

use super::{Core, Outcome, demand::Order};
use crate::cookie::message::{self, MAX_REPORT_BYTES, Message, Outgoing, encoded_size};

/// Maximum number of servers' counts in one message, in which they take about 30 bytes each.
const MAX_COUNTS: usize = 32;
/// Number of peers that get the counts in one round. In a small fleet, eight are all of them. In a
/// large one, the traffic per balancer stays the same whatever the fleet's size: it hears from as
/// many others per second, and sends a few hundred bytes to each.
const COUNT_FANOUT: usize = 8;
/// Maximum number of servers in one log line.
const MAX_LOGGED: usize = 8;

impl Core {
    /// Adds the request counts of the traffic threads, and reports failures to the servers'
    /// observers.
    pub fn record_counts(&mut self, seen: Vec<speed::Count>, now: Duration) -> Outcome {
        let outcome = self.report_failures(&seen, now);
        for seen in seen {
            self.speeds.add(&seen);
            match self
                .unsent_counts
                .iter_mut()
                .find(|old| old.server == seen.server)
            {
                Some(old) => old.count.add(&seen.count),
                None => self.unsent_counts.push(seen),
            }
        }
        outcome
    }

    /// Adds the request counts in a peer's message.
    pub(super) fn receive_counts(&mut self, message: &Message) {
        if message.seen.is_empty() {
            return;
        }
        self.peer_reports += 1;
        for seen in &message.seen {
            self.speeds.add(&speed::Count::from(seen));
        }
    }

    /// Evaluates the speeds. Returns true if weights have changed.
    pub fn evaluate_speeds(&mut self, now: Duration) -> bool {
        let balancers = self.count_peers().len() + 1;
        let visible = (self.peer_reports + 1).min(balancers) as f64 / balancers as f64;
        let roster = &self.roster;
        let slots = |id: &str| Some(roster.get(id)?.slots.max(1).into());
        let Some(changed) = self.speeds.tick(now, visible, slots) else {
            return false;
        };
        let reports = std::mem::take(&mut self.peer_reports);
        if !changed.is_empty() {
            log::info!("event=speeds reports={reports} {}", List(&changed));
        }
        !changed.is_empty()
    }

    /// The peers that exchange counts with this one: those of its data centre, whose callers mostly reach
    /// the same servers, or in a small fleet all.
    pub(super) fn count_peers(&self) -> Vec<SocketAddrV4> {
        let near = self.peers().of(&self.own().data_centre);
        let near: Vec<_> = near.map(|member| member.address).collect();
        if near.len() >= COUNT_FANOUT {
            return near;
        }
        self.peers().iter().map(|member| member.address).collect()
    }

    /// Some random ones of the peers that exchange counts.
    pub(super) fn sample_peers(&mut self, others: &[SocketAddrV4]) -> Vec<SocketAddrV4> {
        let sample = others.sample(&mut self.random, COUNT_FANOUT);
        sample.copied().collect()
    }

    /// A message to some peers with the rates of requests, and the counts that have not been sent yet.
    /// Servers that don't fit are left for the next round.
    pub(super) fn counts_message(&mut self, now: Duration) -> Option<Outgoing> {
        let has_demand = self.has_demand(now);
        if self.unsent_counts.is_empty() && !has_demand {
            return None;
        }
        let others = self.count_peers();
        let to = self.sample_peers(&others);
        let mut message = self.empty_message(now);
        self.add_rates(&mut message, Order::InTurn, now);
        let mut room = MAX_REPORT_BYTES.saturating_sub(encoded_size(&message));
        let waiting = self.unsent_counts.iter().take(MAX_COUNTS);
        let count = waiting
            .take_while(|seen| {
                let bytes = encoded_size(&message::Seen::from((*seen).clone()));
                let fits = bytes <= room;
                room = room.saturating_sub(bytes);
                fits
            })
            .count();
        message.seen = self.unsent_counts.drain(..count).map(Into::into).collect();
        Some(Outgoing { to, message })
    }
}

/// Formats the servers' speeds for the log, in requests per second and slot.
struct List<'a>(&'a [speed::Change]);

impl fmt::Display for List<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let shown = self.0.iter().take(MAX_LOGGED);
        f.write_str("servers=")?;
        for (number, speed::Change { server, speed }) in shown.enumerate() {
            let comma = if number > 0 { "," } else { "" };
            write!(f, "{comma}{server}:{speed:.1}")?;
        }
        write!(f, " more={}", self.0.len().saturating_sub(MAX_LOGGED))
    }
}
