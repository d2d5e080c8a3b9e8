//! What servers were seen to do, here and at peers, and what follows for their weights.

use std::{fmt, time::Duration};

use acacia_cookie::speed;
use rand::seq::IndexedRandom as _;

use super::{Core, Outcome};
use crate::cookie::message::{self, Message, Outgoing};

/// Servers named in one message: with 30 bytes each, it stays below an Ethernet frame.
const MAX_COUNTS: usize = 32;
/// Peers told in one round. Eight: all in a small fleet. In a large one each balancer hears from as
/// many others a second, whatever its size, and passes a few hundred bytes to each.
const COUNT_FANOUT: usize = 8;
/// Servers shown in one line of the log.
const MAX_LOGGED: usize = 8;

impl Core {
    /// What the traffic threads have seen of the servers.
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

    /// A peer has seen this.
    pub(super) fn receive_counts(&mut self, message: &Message) {
        if message.seen.is_empty() {
            return;
        }
        self.peer_reports += 1;
        for seen in &message.seen {
            self.speeds.add(&speed::Count::from(seen));
        }
    }

    /// Evaluates the speeds; true if weights have changed.
    pub fn evaluate_speeds(&mut self, now: Duration) -> bool {
        let balancers = self.peers.len() + 1;
        let visible = (self.peer_reports + 1).min(balancers) as f64 / balancers as f64;
        let roster = &self.roster;
        let slots = |id: &str| Some(roster.get(id)?.slots.max(1).into());
        let Some(changed) = self.speeds.tick(now, visible, slots) else {
            return false;
        };
        let reports = std::mem::take(&mut self.peer_reports);
        if !changed.is_empty() {
            log::info!("event=speeds reports={reports} {}", SpeedList(&changed));
        }
        !changed.is_empty()
    }

    /// Tells some peers what was seen here since the last time. Servers that don't fit come next.
    pub(super) fn counts_message(&mut self, now: Duration) -> Option<Outgoing> {
        let count = self.unsent_counts.len().min(MAX_COUNTS);
        if count == 0 {
            return None;
        }
        let seen: Vec<message::Seen> = self.unsent_counts.drain(..count).map(Into::into).collect();
        let others: Vec<_> = self.peers.iter().map(|member| member.address).collect();
        let to = others
            .sample(&mut self.random, COUNT_FANOUT)
            .copied()
            .collect();
        let message = Message {
            seen,
            ..self.empty_message(now)
        };
        Some(Outgoing { to, message })
    }
}

/// The servers' speeds in a line of the log: requests a second that each answers with a slot.
struct SpeedList<'a>(&'a [speed::Change]);

impl fmt::Display for SpeedList<'_> {
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
