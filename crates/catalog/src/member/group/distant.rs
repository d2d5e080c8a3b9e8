//! What is known of other data centres, and the exchange between representatives.

use std::{collections::BTreeMap, net::SocketAddrV4, sync::Arc, time::Duration};

use rand::seq::IndexedRandom as _;

use super::{Change, Delegation, Gossip, Group, Letter, Member, Probe, ROUND};

/// Number of other data centres that a representative contacts in one round.
const CONTACTS: usize = 2;
/// How often a representative contacts each other data centre, without an answer, before the data
/// centre counts as unreachable.
const UNANSWERED_CONTACTS: u32 = 6;
/// Minimum time after which a silent data centre counts as unreachable.
const MIN_TIMEOUT: Duration = Duration::from_secs(6);
/// Relative change of the own data centre's size that is announced, as its reciprocal.
const ANNOUNCED_GROWTH: u32 = 16;

/// Another data centre.
#[derive(Debug, Clone)]
struct Centre {
    delegation: Delegation,
    /// The representatives before the data centre became unreachable.
    contacts: Vec<SocketAddrV4>,
    /// When a balancer of the data centre was last heard by this one.
    heard: Duration,
}

/// The other data centres, and the delegation of the own one as it was last announced.
#[derive(Debug, Clone, Default)]
pub(super) struct Distant {
    centres: BTreeMap<Arc<str>, Centre>,
    own: Option<Delegation>,
    /// Position in the rotation of contacts.
    next: usize,
}

impl Distant {
    /// The known delegations of other data centres.
    pub(super) fn known(&self) -> impl Iterator<Item = &Delegation> {
        self.centres.values().map(|centre| &centre.delegation)
    }

    /// The data centres that can be reached.
    pub(super) fn reachable(&self) -> impl Iterator<Item = &Delegation> {
        self.known().filter(|known| !known.members.is_empty())
    }

    /// The number of balancers in other data centres.
    pub(super) fn population(&self) -> usize {
        self.reachable()
            .map(|known| known.population as usize)
            .sum()
    }

    /// Records that a balancer of a data centre was heard.
    pub(super) fn hear(&mut self, data_centre: &str, now: Duration) {
        if let Some(centre) = self.centres.get_mut(data_centre) {
            centre.heard = now;
        }
    }

    /// The delegation of the own data centre with these members. Its stamp is later than the last known
    /// one if the members have changed, or the number of balancers has by much.
    pub(super) fn announcement(
        &self,
        own: &Member,
        members: Vec<Member>,
        population: u32,
    ) -> Delegation {
        let announced = self.own.as_ref();
        if let Some(announced) = announced
            && announced.members == members
            && announced.population.abs_diff(population) * ANNOUNCED_GROWTH <= announced.population
        {
            return announced.clone();
        }
        Delegation {
            data_centre: Arc::clone(&own.data_centre),
            stamp: announced.map_or(0, |announced| announced.stamp) + 1,
            population,
            members,
        }
    }
}

impl Group {
    /// Whether this balancer represents its data centre.
    pub(super) fn is_representative(&self) -> bool {
        let delegation = self.delegation();
        let mut members = delegation.members.iter();
        members.any(|member| member.address == self.own.address)
    }

    /// Updates the delegation of the own data centre if this balancer represents it.
    pub(super) fn announce_delegation(&mut self) {
        if self.is_representative() {
            self.distant.own = Some(self.delegation());
        }
    }

    /// Handles a delegation.
    pub(super) fn hear_delegation(&mut self, delegation: &Delegation) {
        if delegation.data_centre == self.own.data_centre {
            self.hear_own_delegation(delegation);
            return;
        }
        let now = self.heard.unwrap_or(self.started);
        let centre = Arc::clone(&delegation.data_centre);
        let changed = match self.distant.centres.get_mut(&centre) {
            Some(known) => known.delegation.merge(delegation),
            None if delegation.members.is_empty() => false,
            None => {
                let known = Centre {
                    delegation: delegation.clone(),
                    contacts: Vec::new(),
                    heard: now,
                };
                self.distant.centres.insert(Arc::clone(&centre), known);
                true
            }
        };
        if changed {
            self.list_representatives(&centre);
        }
    }

    /// Handles what others know as the delegation of the own data centre.
    fn hear_own_delegation(&mut self, delegation: &Delegation) {
        match &mut self.distant.own {
            Some(known) => {
                known.merge(delegation);
            }
            None => self.distant.own = Some(delegation.clone()),
        }
        for member in &delegation.members {
            self.hear_alive(member.clone());
        }
    }

    /// Makes the list of members agree with a data centre's delegation, and passes it on.
    fn list_representatives(&mut self, data_centre: &Arc<str>) {
        let Some(centre) = self.distant.centres.get_mut(data_centre) else {
            return;
        };
        let delegation = centre.delegation.clone();
        if !delegation.members.is_empty() {
            let members = delegation.members.iter();
            centre.contacts = members.map(|member| member.address).collect();
        }
        let is_listed = |member: &Member| {
            let mut members = delegation.members.iter();
            members.any(|listed| listed.address == member.address)
        };
        let listed: Vec<Member> = self.members.of(data_centre).cloned().collect();
        for member in listed.into_iter().filter(|member| !is_listed(member)) {
            self.members.remove(member.address);
            // One that is replaced may live on, and only represents its data centre no more.
            if delegation.members.is_empty() {
                self.changes.push(Change::Lost(member));
            }
        }
        for member in &delegation.members {
            let is_new = self.members.get(member.address).is_none();
            if self.members.merge(member.clone()) && is_new {
                self.changes.push(Change::Found(member.clone()));
            }
        }
        self.news.tell_delegation(delegation);
    }

    /// Contacts other data centres in turn, if this balancer represents its own one.
    pub(super) fn contact_distant(&mut self) -> Vec<Letter> {
        if !self.is_representative() {
            return Vec::new();
        }
        let centres: Vec<Arc<str>> = self.distant.centres.keys().cloned().collect();
        let count = CONTACTS.min(centres.len());
        let mut letters = Vec::new();
        for step in 0..count {
            let centre = &centres[(self.distant.next + step) % centres.len()];
            let contacts = &self.distant.centres[centre].contacts;
            let Some(to) = contacts.choose(&mut self.random).copied() else {
                continue;
            };
            // The answer is not awaited: whatever is heard of the data centre shows that it is reachable.
            let gossip = self.distant_gossip(centre, Some(Probe::Ping(0)));
            letters.push(Letter { to, gossip });
        }
        self.distant.next = (self.distant.next + count) % centres.len().max(1);
        letters
    }

    /// A message to another data centre: the own delegation, what is known as that of the receiver's data
    /// centre, and others that have changed.
    pub(super) fn distant_gossip(&mut self, receiver: &str, probe: Option<Probe>) -> Gossip {
        let count = self.near().count() + 1;
        let mut delegations = vec![self.delegation()];
        delegations.extend(
            self.distant
                .centres
                .get(receiver)
                .map(|centre| centre.delegation.clone()),
        );
        let news = self.news.take_delegations(count).into_iter();
        delegations
            .extend(news.filter(|news| !news.members.is_empty() && &*news.data_centre != receiver));
        Gossip {
            probe,
            delegations,
            ..Gossip::default()
        }
    }

    /// Removes the representatives of data centres that don't answer. The first representative of the own
    /// data centre decides for it, as one verdict is enough.
    pub(super) fn drop_unreachable_data_centres(&mut self, now: Duration) {
        let delegation = self.delegation();
        let first = delegation.members.first();
        if first.is_none_or(|first| first.address != self.own.address) {
            self.restart_timeouts(now);
            return;
        }
        let rounds = self.distant.centres.len().div_ceil(CONTACTS) as u32;
        let timeout = (ROUND * rounds * UNANSWERED_CONTACTS).max(MIN_TIMEOUT);
        let silent = self.distant.centres.iter().filter(|(_, centre)| {
            !centre.delegation.members.is_empty() && now >= centre.heard + timeout
        });
        let silent: Vec<Arc<str>> = silent.map(|(name, _)| Arc::clone(name)).collect();
        for name in silent {
            if let Some(centre) = self.distant.centres.get_mut(&name) {
                centre.delegation.stamp += 1;
                centre.delegation.members.clear();
            }
            self.list_representatives(&name);
        }
    }

    /// A balancer that doesn't decide hears little of other data centres. If it becomes the one that
    /// does, its timeouts start then.
    fn restart_timeouts(&mut self, now: Duration) {
        for centre in self.distant.centres.values_mut() {
            centre.heard = now;
        }
    }
}
