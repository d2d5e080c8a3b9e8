mod claims;
mod distant;
mod probing;

use std::{collections::BTreeMap, net::SocketAddrV4, sync::Arc, time::Duration};

use acacia_wire::flow::mix;
use rand::{RngExt as _, SeedableRng as _, seq::IndexedRandom as _};
use rand_pcg::Pcg64;

use super::{
    Delegation, Gossip, Letter, Member, Members, Probe, Status, Update,
    delegation::representatives,
    news::{MAX_UPDATES, News},
    rank,
    suspicion::Suspicion,
};
use distant::Distant;
use probing::Probing;

/// Interval between two rounds. A round that comes later than twice this shows that the process stood
/// still.
pub const ROUND: Duration = Duration::from_millis(500);
/// How long a removed balancer is remembered, so that no old claim puts it back on the list, and is
/// contacted now and then, as it may only have been unreachable.
const REMOVED_RETENTION: Duration = Duration::from_secs(120);
/// Interval between two pulls of a whole list while this balancer is new.
const EARLY_PULL_INTERVAL: Duration = ROUND;
/// Interval between two pulls later. Lists differ for moments whenever a member joins or leaves; a pull
/// is needed only if a claim was lost.
const PULL_INTERVAL: Duration = Duration::from_secs(6);
/// Mean number of rounds between two contacts of unknown seeds by a representative.
const SEED_INTERVAL: u32 = 8;
/// How long a balancer counts as new.
const EARLY: Duration = Duration::from_secs(4);

/// A change of the list of members.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Change {
    /// A balancer was added.
    Found(Member),
    /// A balancer was removed: it died, or its data centre can't be reached.
    Lost(Member),
}

/// Membership as one balancer knows it: all of its own data centre, and the representatives of the
/// others.
///
/// Rounds and received messages go in, messages to send come out. It opens no socket and reads no clock.
#[derive(Debug, Clone)]
pub struct Group {
    own: Member,
    seeds: Vec<SocketAddrV4>,
    started: Duration,
    members: Members,
    /// Members of the own data centre that are suspected to be dead.
    suspicions: BTreeMap<SocketAddrV4, Suspicion>,
    /// The last descriptions of removed balancers of the own data centre, and when each was removed.
    removed: BTreeMap<SocketAddrV4, (Duration, Member)>,
    news: News,
    probing: Probing,
    distant: Distant,
    last_round: Option<Duration>,
    /// When any other balancer was last heard.
    heard: Option<Duration>,
    /// When the next pull is allowed.
    next_pull: Duration,
    changes: Vec<Change>,
    random: Pcg64,
}

impl Group {
    /// The group of a balancer that starts at `now` and knows only the addresses of `seeds`.
    ///
    /// ```
    /// use std::time::Duration;
    /// use acacia_catalog::member::{Group, Member};
    /// let member = |number: u8| Member {
    ///     address: std::net::SocketAddrV4::new([10, 0, 0, number].into(), 7000),
    ///     data_centre: "lima-a".into(), incarnation: 1, version: 0, sighted: true, leaving: false,
    /// };
    /// let (one, other) = (member(1), member(2));
    /// let mut first = Group::new(one.clone(), vec![other.address], Duration::ZERO, 1);
    /// let mut second = Group::new(other.clone(), vec![], Duration::ZERO, 2);
    /// let sent = first.round(Duration::from_millis(500));
    /// let answers = second.receive(&one, &sent[0].gossip, Duration::from_millis(501));
    /// first.receive(&other, &answers[0].gossip, Duration::from_millis(502));
    /// assert_eq!(first.members().len(), 1);
    /// ```
    #[must_use]
    pub fn new(own: Member, seeds: Vec<SocketAddrV4>, now: Duration, seed: u64) -> Self {
        Group {
            own,
            seeds,
            started: now,
            members: Members::default(),
            suspicions: BTreeMap::new(),
            removed: BTreeMap::new(),
            news: News::default(),
            probing: Probing::default(),
            distant: Distant::default(),
            last_round: None,
            heard: None,
            next_pull: now,
            changes: Vec::new(),
            random: Pcg64::seed_from_u64(seed),
        }
    }

    /// This balancer's description of itself.
    #[must_use]
    pub const fn own(&self) -> &Member {
        &self.own
    }

    /// The other balancers that are known to be alive: all of the own data centre, and the
    /// representatives of the others.
    #[must_use]
    pub const fn members(&self) -> &Members {
        &self.members
    }

    /// The number of other balancers in the whole fleet, as representatives last announced it.
    #[must_use]
    pub fn population(&self) -> usize {
        self.near().count() + self.distant.population()
    }

    /// The other data centres that can be reached, with their numbers of balancers as representatives last
    /// announced them.
    pub fn distant_populations(&self) -> impl Iterator<Item = (&Arc<str>, u32)> {
        let reachable = self.distant.reachable();
        reachable.map(|known| (&known.data_centre, known.population))
    }

    /// Replaces the seeds.
    pub fn set_seeds(&mut self, seeds: Vec<SocketAddrV4>) {
        self.seeds = seeds;
    }

    /// Records whether the store answers this balancer.
    pub fn set_sighted(&mut self, sighted: bool) {
        if self.own.sighted != sighted {
            self.own.sighted = sighted;
            self.describe_anew();
        }
    }

    /// Records that this balancer is leaving, and returns the announcement to its data centre.
    pub fn leave(&mut self) -> Vec<Letter> {
        self.own.leaving = true;
        self.describe_anew();
        let update = Update::new(&self.own, Status::Alive);
        let near = self.near().map(|member| member.address);
        let letter = |to| Letter {
            to,
            gossip: Gossip {
                updates: vec![update],
                digest: self.digest(),
                ..Gossip::default()
            },
        };
        near.map(letter).collect()
    }

    /// Takes the changes of the list since the last call.
    pub fn take_changes(&mut self) -> Vec<Change> {
        std::mem::take(&mut self.changes)
    }

    /// Runs a round: judges unanswered probes and unrefuted suspicions, and returns the messages to send.
    pub fn round(&mut self, now: Duration) -> Vec<Letter> {
        self.allow_for_pause(now);
        self.last_round = Some(now);
        self.removed
            .retain(|_, (at, _)| now < *at + REMOVED_RETENTION);
        let mut letters = self.judge_probes(now);
        self.remove_unrefuted(now);
        self.drop_unreachable_data_centres(now);
        self.announce_delegation();
        letters.extend(self.warn_suspects());
        letters.extend(self.probe_next(now));
        letters.extend(self.contact_distant());
        letters.extend(self.contact_lost(now));
        letters
    }

    /// Handles the membership part of a message, and returns the answers.
    pub fn receive(&mut self, from: &Member, gossip: &Gossip, now: Duration) -> Vec<Letter> {
        if from.address == self.own.address {
            return Vec::new();
        }
        self.heard = Some(now);
        let near = from.data_centre == self.own.data_centre;
        let mut letters = Vec::new();
        if near {
            if let Some(answer) = self.hear_near(from, gossip) {
                letters.push(answer);
            }
            for update in &gossip.updates {
                self.hear_claim(update, from, now);
            }
            let differs = gossip.digest != 0 && gossip.digest != self.digest();
            if differs && now >= self.next_pull {
                letters.push(self.pull(from.address, now));
            }
        } else {
            self.distant.hear(&from.data_centre, now);
        }
        for delegation in &gossip.delegations {
            self.hear_delegation(delegation);
        }
        letters.extend(self.handle_probe(from, gossip.probe, now));
        if gossip.pull {
            letters.extend(self.whole_list(from));
        }
        letters
    }

    /// The members of the own data centre.
    fn near(&self) -> impl Iterator<Item = &Member> {
        self.members.of(&self.own.data_centre)
    }

    /// A list of members' addresses from which to draw.
    fn near_addresses(&self) -> Vec<SocketAddrV4> {
        self.near().map(|member| member.address).collect()
    }

    /// The number that stands for this balancer in [`Status::Suspected`].
    fn number(&self) -> u16 {
        rank(self.own.address) as u16
    }

    /// A message to a member of the own data centre, with what is to be passed on. A claim against the
    /// receiver itself comes first, so that it can refute it at once.
    fn near_gossip(&mut self, to: SocketAddrV4, probe: Option<Probe>) -> Gossip {
        let count = self.near().count() + 1;
        let mut updates: Vec<Update> = self.claim_against(to).into_iter().collect();
        updates.extend(self.news.take_updates(count));
        Gossip {
            probe,
            updates,
            delegations: self.news.take_delegations(count),
            digest: self.digest(),
            pull: false,
        }
    }

    /// The claim against a balancer of the own data centre that is suspected or removed here.
    fn claim_against(&self, address: SocketAddrV4) -> Option<Update> {
        if let Some((_, member)) = self.removed.get(&address) {
            return Some(Update::new(member, Status::Removed));
        }
        self.suspicions.get(&address)?;
        let member = self.members.get(address)?;
        let by = self.number();
        Some(Update::new(member, Status::Suspected { by }))
    }

    /// Asks a member for its whole list.
    fn pull(&mut self, to: SocketAddrV4, now: Duration) -> Letter {
        let early = now < self.started + EARLY;
        self.next_pull = now
            + if early {
                EARLY_PULL_INTERVAL
            } else {
                PULL_INTERVAL
            };
        let gossip = Gossip {
            pull: true,
            ..self.near_gossip(to, None)
        };
        Letter { to, gossip }
    }

    /// Answers a pull: the whole list to a balancer of the own data centre, all delegations to any other.
    fn whole_list(&self, to: &Member) -> Vec<Letter> {
        let letter = |updates: &[Update], delegations: Vec<Delegation>| Letter {
            to: to.address,
            gossip: Gossip {
                updates: updates.to_vec(),
                delegations,
                ..Gossip::default()
            },
        };
        let known = self.distant.known().cloned().chain([self.delegation()]);
        let delegations: Vec<Delegation> = known.collect();
        let mut letters: Vec<Letter> = delegations
            .chunks(MAX_UPDATES / 4)
            .map(|part| letter(&[], part.to_vec()))
            .collect();
        if to.data_centre == self.own.data_centre {
            let alive = self.near().chain([&self.own]);
            let alive = alive.map(|member| Update::new(member, Status::Alive));
            let removed = self.removed.values();
            let removed = removed.map(|(_, member)| Update::new(member, Status::Removed));
            let updates: Vec<Update> = alive.chain(removed).collect();
            letters.extend(updates.chunks(MAX_UPDATES).map(|part| letter(part, vec![])));
        }
        letters
    }

    /// Digest of the list: the same on all balancers of a data centre whose lists are the same, and
    /// never 0.
    fn digest(&self) -> u64 {
        let members = self.near().chain([&self.own]);
        let members = members.map(|member| {
            let flags = u64::from(member.sighted) << 1 | u64::from(member.leaving);
            let state = mix(member.incarnation) ^ mix(u64::from(member.version) << 2 | flags);
            mix(rank(member.address) ^ state)
        });
        let distant = self.distant.known().map(|known| {
            let centre = known.data_centre.bytes();
            let centre = centre.fold(0, |hash, byte| mix(hash ^ u64::from(byte)));
            mix(centre ^ known.stamp)
        });
        members.chain(distant).fold(0, |one, other| one ^ other) | 1
    }

    /// The delegation of the own data centre, as this balancer would announce it.
    fn delegation(&self) -> Delegation {
        let members = representatives(self.near().chain([&self.own]).cloned());
        self.distant
            .announcement(&self.own, members, self.near().count() as u32 + 1)
    }

    /// Whether to contact an unknown seed in this round. One in another data centre that doesn't represent
    /// it stays unknown, so only representatives go on contacting such seeds, and seldom.
    fn is_seed_due(&mut self) -> bool {
        self.random.random_ratio(1, SEED_INTERVAL) && self.is_representative()
    }

    /// A message to one of the addresses that this balancer should know and doesn't: seeds, and now and
    /// then a removed balancer. The two sides of a healed partition find each other again in this way.
    fn contact_lost(&mut self, now: Duration) -> Vec<Letter> {
        let lonely = self.near().next().is_none();
        let unknown =
            |seed: &&SocketAddrV4| **seed != self.own.address && self.members.get(**seed).is_none();
        let seeds: Vec<SocketAddrV4> = self.seeds.iter().filter(unknown).copied().collect();
        let removed: Vec<SocketAddrV4> = self.removed.keys().copied().collect();
        let mut to: Vec<SocketAddrV4> = match lonely {
            true => seeds,
            false if self.is_seed_due() => seeds
                .choose(&mut self.random)
                .into_iter()
                .copied()
                .collect(),
            false => Vec::new(),
        };
        to.extend(removed.choose(&mut self.random));
        to.sort_unstable();
        to.dedup();
        let pull = lonely || now < self.started + EARLY;
        to.into_iter()
            .map(|to| {
                let mut gossip = self.near_gossip(to, None);
                gossip.probe = Some(Probe::Ping(0));
                gossip.delegations.push(self.delegation());
                gossip.pull = pull && lonely;
                Letter { to, gossip }
            })
            .collect()
    }
}
