//! Gossip rounds: membership of the fleet, and the revision that each balancer knows.

use std::{net::SocketAddrV4, sync::Arc, time::Duration};

use acacia_catalog::member::{Heartbeat, Member};
use rand::{RngExt as _, seq::IndexedRandom as _};

use super::{Core, examine};
use crate::cookie::message::{Message, Outgoing};

/// Maximum number of full descriptions of balancers in one message. At 40 bytes each, the message
/// fits into one Ethernet frame.
const MAX_DESCRIBED: usize = 24;
/// Maximum number of heartbeats of other balancers in one message, at 14 bytes each.
const MAX_HEARTBEATS: usize = 72;
/// Number of peers contacted in one round. With two, the number of informed balancers roughly
/// doubles with each round.
const FANOUT: usize = 2;

impl Core {
    /// Adds a balancer to the list of peers, or updates its entry.
    pub(super) fn merge_member(&mut self, member: Member, now: Duration) {
        if member.address == self.own.address {
            return;
        }
        let (address, centre) = (member.address, Arc::clone(&member.data_centre));
        if self.peers.merge(member, now) {
            log::info!("event=peer-found peer={address} data_centre={centre}");
        }
    }

    /// Runs a round of gossip: expires peers without recent heartbeats, and returns the messages to
    /// send.
    pub fn gossip(&mut self, now: Duration) -> Vec<Outgoing> {
        self.own.beat += 1;
        self.forget_removed(now);
        for lost in self.peers.expire(now) {
            log::info!("event=peer-lost peer={}", lost.address);
        }
        let others: Vec<SocketAddrV4> = self.peers.iter().map(|member| member.address).collect();
        let targets = others.sample(&mut self.random, FANOUT);
        let mut to: Vec<SocketAddrV4> = targets.copied().collect();
        let is_unknown =
            |seed: &&SocketAddrV4| **seed != self.own.address && !others.contains(seed);
        let mut unknown_peers = self.seeds.iter().filter(is_unknown);
        // A balancer without known peers contacts all its seeds. Later it contacts one unknown seed
        // per round, so that the two sides of a healed partition find each other again.
        match others.len() {
            0 => to.extend(unknown_peers),
            _ => to.extend(unknown_peers.nth(self.own.beat as usize % self.seeds.len().max(1))),
        }
        let message = self.gossip_message(others.is_empty(), now);
        let round = Outgoing { to, message };
        [
            Some(round),
            self.status_request(now),
            self.counts_message(now),
        ]
        .into_iter()
        .flatten()
        .collect()
    }

    /// A request to the peer that knew a later revision at the start, sent if this balancer still
    /// has no configuration once the store's grace period is over. Without it, the balancer would
    /// depend on random gossip, and wait long if most of the peers that it knows are paused.
    fn status_request(&self, now: Duration) -> Option<Outgoing> {
        if self.is_informed() || self.awaits_store(now) {
            return None;
        }
        let message = Message {
            // Makes the peer answer with a short message; any answer contains the revision it
            // knows.
            unknown: vec![self.own.address],
            ..self.empty_message(now)
        };
        let to = vec![self.peer_ahead?];
        Some(Outgoing { to, message })
    }

    /// Announces to the own data centre that this balancer is leaving.
    pub fn leave(&mut self, now: Duration) -> Vec<Outgoing> {
        self.own.leaving = true;
        self.own.beat += 1;
        let message = self.empty_message(now);
        let near = self
            .peers
            .iter()
            .filter(|member| member.data_centre == self.own.data_centre);
        let to = near.map(|member| member.address).collect();
        vec![Outgoing { to, message }]
    }

    /// Applies the heartbeats of other balancers. Returns those whose full description is needed.
    pub(super) fn receive_heartbeats(
        &mut self,
        heartbeats: &[Heartbeat],
        now: Duration,
    ) -> Vec<SocketAddrV4> {
        let own = self.own.address;
        let others = heartbeats
            .iter()
            .filter(|heartbeat| heartbeat.address != own);
        let unknown = others.filter(|heartbeat| !self.peers.confirm(heartbeat, now));
        unknown
            .map(|heartbeat| heartbeat.address)
            .take(MAX_DESCRIBED)
            .collect()
    }

    /// The message of a gossip round. `wants` requests an answer.
    fn gossip_message(&mut self, wants: bool, now: Duration) -> Message {
        let latest = self.peers.latest(self.random.random(), now);
        let heartbeats = latest.into_iter().take(MAX_HEARTBEATS).map(Heartbeat::from);
        let heartbeats = heartbeats.collect();
        let silent = self.detector.found_silent().into_iter();
        let silent = silent.take(examine::MAX_SILENT);
        Message {
            heartbeats,
            silent: silent.collect(),
            wants,
            ..self.empty_message(now)
        }
    }

    /// The answer to a balancer that requested descriptions of the `unknown` balancers or, with
    /// `wants`, of any.
    pub(super) fn member_descriptions(
        &mut self,
        unknown: &[SocketAddrV4],
        wants: bool,
        now: Duration,
    ) -> Message {
        let asked = unknown
            .iter()
            .filter_map(|address| self.peers.get(*address));
        let mut others: Vec<Member> = asked.take(MAX_DESCRIBED).cloned().collect();
        if wants {
            let latest = self.peers.latest(self.random.random(), now);
            others.extend(
                latest
                    .into_iter()
                    .take(MAX_DESCRIBED - others.len())
                    .cloned(),
            );
        }
        Message {
            others,
            ..self.empty_message(now)
        }
    }
}
