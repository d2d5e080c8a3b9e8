//! Rounds of gossip: who is there, and who knows how much.

use std::{net::SocketAddrV4, sync::Arc, time::Duration};

use acacia_catalog::member::{Heartbeat, Member};
use rand::{RngExt as _, seq::IndexedRandom as _};

use super::{Core, examine};
use crate::cookie::message::{Message, Outgoing};

/// Other balancers described in one message: with 40 bytes each, it stays below an Ethernet frame.
const DESCRIBED: usize = 24;
/// Other balancers named by their heartbeats in one message: 14 bytes each.
const NAMED: usize = 72;
/// Balancers told in one round. Two: news double each round.
const FANOUT: usize = 2;

impl Core {
    pub(super) fn meet(&mut self, member: Member, now: Duration) {
        if member.address == self.own.address {
            return;
        }
        let (address, centre) = (member.address, Arc::clone(&member.data_centre));
        if self.list.merge(member, now) {
            log::info!("event=peer-found peer={address} data_centre={centre}");
        }
    }

    /// A round of gossip.
    pub fn gossip(&mut self, now: Duration) -> Vec<Outgoing> {
        self.own.beat += 1;
        self.forget_removed(now);
        for lost in self.list.expire(now) {
            log::info!("event=peer-lost peer={}", lost.address);
        }
        let others: Vec<SocketAddrV4> = self.list.iter().map(|member| member.address).collect();
        let told = others.sample(&mut self.random, FANOUT);
        let mut to: Vec<SocketAddrV4> = told.copied().collect();
        let is_strange =
            |seed: &&SocketAddrV4| **seed != self.own.address && !others.contains(seed);
        let mut strangers = self.seeds.iter().filter(is_strange);
        // A balancer that knows nobody asks all that it was given; later one of them a round, so that
        // two halves that lost each other meet again.
        match others.len() {
            0 => to.extend(strangers),
            _ => to.extend(strangers.nth(self.own.beat as usize % self.seeds.len().max(1))),
        }
        let message = self.gossip_message(others.is_empty(), now);
        let round = Outgoing { to, message };
        [Some(round), self.question(now), self.tell_seen(now)]
            .into_iter()
            .flatten()
            .collect()
    }

    /// A balancer that has no configuration yet asks the one that knew more when it started, now that
    /// the store has had its time. Left to chance, it would wait for long where most of those that it
    /// has heard of are paused.
    fn question(&self, now: Duration) -> Option<Outgoing> {
        if self.is_informed() || self.is_reading_first(now) {
            return None;
        }
        let message = Message {
            // Makes the peer answer, and shortly; any answer tells how much it knows.
            unknown: vec![self.own.address],
            ..self.message(now)
        };
        let to = vec![self.informant?];
        Some(Outgoing { to, message })
    }

    /// Tells all of the own data centre that this balancer leaves.
    pub fn leave(&mut self, now: Duration) -> Vec<Outgoing> {
        self.own.leaving = true;
        self.own.beat += 1;
        let message = self.message(now);
        let near = self
            .list
            .iter()
            .filter(|member| member.data_centre == self.own.data_centre);
        let to = near.map(|member| member.address).collect();
        vec![Outgoing { to, message }]
    }

    /// Takes in that some balancers live; gives those that are unknown here.
    pub(super) fn hear_heartbeats(
        &mut self,
        heartbeats: &[Heartbeat],
        now: Duration,
    ) -> Vec<SocketAddrV4> {
        let own = self.own.address;
        let named = heartbeats.iter().filter(|named| named.address != own);
        let unknown = named.filter(|named| !self.list.confirm(named, now));
        unknown.map(|named| named.address).take(DESCRIBED).collect()
    }

    /// The message of a round. `wants` asks for a message in return.
    fn gossip_message(&mut self, wants: bool, now: Duration) -> Message {
        let latest = self.list.latest(self.random.random(), now);
        let heartbeats = latest.into_iter().take(NAMED).map(Heartbeat::from);
        let heartbeats = heartbeats.collect();
        let silent = self.detector.found_silent().into_iter();
        let silent = silent.take(examine::NAMED);
        Message {
            heartbeats,
            silent: silent.collect(),
            wants,
            ..self.message(now)
        }
    }

    /// What a balancer is answered that asks for the description of others, or of any.
    pub(super) fn introduction(
        &mut self,
        unknown: &[SocketAddrV4],
        wants: bool,
        now: Duration,
    ) -> Message {
        let asked = unknown.iter().filter_map(|address| self.list.get(*address));
        let mut others: Vec<Member> = asked.take(DESCRIBED).cloned().collect();
        if wants {
            let latest = self.list.latest(self.random.random(), now);
            others.extend(latest.into_iter().take(DESCRIBED - others.len()).cloned());
        }
        Message {
            others,
            ..self.message(now)
        }
    }
}
