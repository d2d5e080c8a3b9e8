//! Rounds of gossip: who is there, and who knows how much.

use std::{net::SocketAddrV4, sync::Arc, time::Duration};

use acacia_catalog::member::{Heartbeat, Member};
use rand::{RngExt as _, seq::IndexedRandom as _};

use super::{Core, examine};
use crate::cookie::message::{Message, Outgoing};

/// Other balancers described in one message: with 40 bytes each, it stays below an Ethernet frame.
const MAX_DESCRIBED: usize = 24;
/// Other balancers named by their heartbeats in one message: 14 bytes each.
const MAX_HEARTBEATS: usize = 72;
/// Balancers told in one round. Two: news double each round.
const FANOUT: usize = 2;

impl Core {
    pub(super) fn merge_member(&mut self, member: Member, now: Duration) {
        if member.address == self.own.address {
            return;
        }
        let (address, centre) = (member.address, Arc::clone(&member.data_centre));
        if self.peers.merge(member, now) {
            log::info!("event=peer-found peer={address} data_centre={centre}");
        }
    }

    /// A round of gossip.
    pub fn gossip(&mut self, now: Duration) -> Vec<Outgoing> {
        self.own.beat += 1;
        self.forget_removed(now);
        for lost in self.peers.expire(now) {
            log::info!("event=peer-lost peer={}", lost.address);
        }
        let others: Vec<SocketAddrV4> = self.peers.iter().map(|member| member.address).collect();
        let told = others.sample(&mut self.random, FANOUT);
        let mut to: Vec<SocketAddrV4> = told.copied().collect();
        let is_unknown =
            |seed: &&SocketAddrV4| **seed != self.own.address && !others.contains(seed);
        let mut unknown_peers = self.seeds.iter().filter(is_unknown);
        // A balancer that knows nobody asks all that it was given; later one of them a round, so that
        // two halves that lost each other meet again.
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

    /// A balancer that has no configuration yet asks the one that knew more when it started, now that
    /// the store has had its time. Left to chance, it would wait for long where most of those that it
    /// has heard of are paused.
    fn status_request(&self, now: Duration) -> Option<Outgoing> {
        if self.is_informed() || self.awaits_store(now) {
            return None;
        }
        let message = Message {
            // Makes the peer answer, and shortly; any answer tells how much it knows.
            unknown: vec![self.own.address],
            ..self.empty_message(now)
        };
        let to = vec![self.peer_ahead?];
        Some(Outgoing { to, message })
    }

    /// Tells all of the own data centre that this balancer leaves.
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

    /// Takes in that some balancers live; gives those that are unknown here.
    pub(super) fn receive_heartbeats(
        &mut self,
        heartbeats: &[Heartbeat],
        now: Duration,
    ) -> Vec<SocketAddrV4> {
        let own = self.own.address;
        let named = heartbeats.iter().filter(|named| named.address != own);
        let unknown = named.filter(|named| !self.peers.confirm(named, now));
        unknown
            .map(|named| named.address)
            .take(MAX_DESCRIBED)
            .collect()
    }

    /// The message of a round. `wants` asks for a message in return.
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

    /// What a balancer is answered that asks for the description of others, or of any.
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
