//! Rounds of gossip: who is there, and who knows how much.

use std::{net::SocketAddrV4, sync::Arc, time::Duration};

use acacia_catalog::member::Member;
use rand::{RngExt as _, seq::IndexedRandom as _};

use super::{Core, examine};
use crate::cookie::message::{Message, Parcel};

/// Other balancers named in one message: with 40 bytes each, it stays below an Ethernet frame.
const NAMED: usize = 24;
/// Balancers told in one round. Two: news double each round.
const FANOUT: usize = 2;

impl Core {
    pub(super) fn meet(&mut self, member: Member, now: Duration) {
        if member.address == self.own.address {
            return;
        }
        let (address, centre) = (member.address, Arc::clone(&member.data_centre));
        if self.list.hear(member, now) {
            log::info!("event=peer-found peer={address} data_centre={centre}");
        }
    }

    /// A round of gossip.
    pub fn gossip(&mut self, now: Duration) -> Vec<Parcel> {
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
        let round = Parcel { to, message };
        [Some(round), self.tell_seen(now)]
            .into_iter()
            .flatten()
            .collect()
    }

    /// Tells all of the own data centre that this balancer leaves.
    pub fn leave(&mut self, now: Duration) -> Vec<Parcel> {
        self.own.leaving = true;
        self.own.beat += 1;
        let message = self.message(now);
        let near = self
            .list
            .iter()
            .filter(|member| member.data_centre == self.own.data_centre);
        let to = near.map(|member| member.address).collect();
        vec![Parcel { to, message }]
    }

    pub(super) fn gossip_message(&mut self, wants: bool, now: Duration) -> Message {
        let latest = self.list.latest(self.random.random());
        let latest = latest.into_iter().take(NAMED);
        let others = latest.cloned().collect();
        let silent = self.detector.silent().into_iter().take(examine::NAMED);
        Message {
            others,
            silent: silent.collect(),
            wants,
            ..self.message(now)
        }
    }
}
