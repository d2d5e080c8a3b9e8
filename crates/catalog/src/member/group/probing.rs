//! Probes of the members of the own data centre.

use std::{net::SocketAddrV4, time::Duration};

use rand::{
    RngExt as _,
    seq::{IndexedRandom as _, SliceRandom as _},
};
use rand_pcg::Pcg64;

use super::{Gossip, Group, Letter, Member, Probe};

/// How long a balancer has to answer a ping before others are asked to ping it.
const ACK_TIMEOUT: Duration = Duration::from_millis(400);
/// How long a balancer has to answer any of the pings before it is suspected.
const PROBE_TIMEOUT: Duration = Duration::from_millis(900);
/// Number of members that are asked to ping a balancer that did not answer. A lost packet or a broken
/// path between two balancers then hardly ever leads to a suspicion.
const HELPERS: usize = 3;
/// How long a balancer that hears nobody at all suspects nobody: it is probably cut off itself.
const CUT_OFF_GRACE: Duration = Duration::from_secs(6);
/// Maximum number of pings on behalf of others that wait for an answer.
const MAX_RELAYED: usize = 64;

/// A ping that has not been answered.
#[derive(Debug, Clone, Copy)]
struct Ping {
    target: SocketAddrV4,
    number: u32,
    sent: Duration,
    /// Whether others have been asked to ping the target.
    is_indirect: bool,
}

/// A ping on behalf of another balancer.
#[derive(Debug, Clone, Copy)]
struct Relayed {
    number: u32,
    sent: Duration,
    asker: SocketAddrV4,
    asker_number: u32,
}

/// The state of the probes.
#[derive(Debug, Clone, Default)]
pub(super) struct Probing {
    /// The members in the order in which they are probed. Each is probed once per pass, so a dead one is
    /// found within one pass at the latest.
    order: Vec<SocketAddrV4>,
    next: usize,
    number: u32,
    pings: Vec<Ping>,
    relayed: Vec<Relayed>,
}

impl Probing {
    /// Adds a member at a random place of the order.
    pub(super) fn add(&mut self, address: SocketAddrV4, random: &mut Pcg64) {
        let place = random.random_range(0..=self.order.len());
        self.order.insert(place, address);
    }

    /// Removes a member.
    pub(super) fn remove(&mut self, address: SocketAddrV4) {
        self.order.retain(|one| *one != address);
        self.pings.retain(|ping| ping.target != address);
    }

    /// Drops all pings that wait for an answer.
    pub(super) fn forget_unanswered(&mut self) {
        self.pings.clear();
        self.relayed.clear();
    }

    fn next_number(&mut self) -> u32 {
        // 0 is the number of pings whose answers are not awaited.
        self.number = self.number.checked_add(1).unwrap_or(1);
        self.number
    }

    fn next_target(&mut self, random: &mut Pcg64) -> Option<SocketAddrV4> {
        if self.next >= self.order.len() {
            self.order.shuffle(random);
            self.next = 0;
        }
        let target = self.order.get(self.next).copied();
        self.next += 1;
        target
    }
}

impl Group {
    /// Asks others to ping the members that did not answer, and suspects those that nobody reached.
    pub(super) fn judge_probes(&mut self, now: Duration) -> Vec<Letter> {
        let mut letters = Vec::new();
        let mut unanswered = Vec::new();
        let mut pings = std::mem::take(&mut self.probing.pings);
        for ping in &mut pings {
            if !ping.is_indirect && now >= ping.sent + ACK_TIMEOUT {
                ping.is_indirect = true;
                letters.extend(self.ask_helpers(ping.target, ping.number));
            }
            if now >= ping.sent + PROBE_TIMEOUT && self.is_hearing_since(ping.sent, now) {
                unanswered.push(ping.target);
            }
        }
        pings.retain(|ping| now < ping.sent + PROBE_TIMEOUT);
        self.probing.pings = pings;
        self.probing
            .relayed
            .retain(|relayed| now < relayed.sent + PROBE_TIMEOUT);
        for target in unanswered {
            self.suspect(target, now);
        }
        letters
    }

    /// Whether messages reach this balancer, so that a missing answer says something of its sender.
    fn is_hearing_since(&self, sent: Duration, now: Duration) -> bool {
        let heard = self.heard.unwrap_or(self.started);
        heard > sent || now >= heard + CUT_OFF_GRACE
    }

    fn ask_helpers(&mut self, target: SocketAddrV4, number: u32) -> Vec<Letter> {
        let near = self.near_addresses();
        let others: Vec<SocketAddrV4> = near.into_iter().filter(|one| *one != target).collect();
        let helpers: Vec<SocketAddrV4> =
            others.sample(&mut self.random, HELPERS).copied().collect();
        let request = Probe::PingRequest { target, number };
        let letter = |to| Letter {
            to,
            gossip: self.near_gossip(to, Some(request)),
        };
        helpers.into_iter().map(letter).collect()
    }

    /// Pings the next member in order.
    pub(super) fn probe_next(&mut self, now: Duration) -> Option<Letter> {
        let target = self.probing.next_target(&mut self.random)?;
        let number = self.probing.next_number();
        self.probing.pings.push(Ping {
            target,
            number,
            sent: now,
            is_indirect: false,
        });
        let gossip = self.near_gossip(target, Some(Probe::Ping(number)));
        Some(Letter { to: target, gossip })
    }

    /// Answers a probe, or records an answer.
    pub(super) fn handle_probe(
        &mut self,
        from: &Member,
        probe: Option<Probe>,
        now: Duration,
    ) -> Option<Letter> {
        let (to, probe) = match probe? {
            Probe::Ping(number) => (from.address, Probe::Ack(number)),
            Probe::Ack(number) => return self.handle_ack(number),
            Probe::PingRequest { target, number } => {
                if self.probing.relayed.len() >= MAX_RELAYED {
                    return None;
                }
                let own_number = self.probing.next_number();
                self.probing.relayed.push(Relayed {
                    number: own_number,
                    sent: now,
                    asker: from.address,
                    asker_number: number,
                });
                (target, Probe::Ping(own_number))
            }
        };
        let near = to != from.address || from.data_centre == self.own.data_centre;
        let gossip = match near {
            true => self.near_gossip(to, Some(probe)),
            false => self.distant_gossip(&from.data_centre, Some(probe)),
        };
        Some(Letter { to, gossip })
    }

    fn handle_ack(&mut self, number: u32) -> Option<Letter> {
        self.probing.pings.retain(|ping| ping.number != number);
        let relayed = &mut self.probing.relayed;
        let place = relayed.iter().position(|one| one.number == number)?;
        let Relayed {
            asker,
            asker_number,
            ..
        } = relayed.swap_remove(place);
        let gossip: Gossip = self.near_gossip(asker, Some(Probe::Ack(asker_number)));
        Some(Letter { to: asker, gossip })
    }
}
