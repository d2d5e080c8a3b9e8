//! Claims about the members of the own data centre: who is alive, suspected or removed.

use std::time::Duration;

use super::{Change, Gossip, Group, Letter, Member, Probe, ROUND, Status, Suspicion, Update};

impl Group {
    /// Announces a changed description of this balancer.
    pub(super) fn describe_anew(&mut self) {
        self.own.version += 1;
        self.news.tell(Update::new(&self.own, Status::Alive));
    }

    /// Handles the sender of a message from the own data centre. Returns an answer if the sender is
    /// suspected or removed here and doesn't know.
    pub(super) fn hear_near(&mut self, from: &Member, gossip: &Gossip) -> Option<Letter> {
        self.hear_alive(from.clone());
        let claim = self.claim_against(from.address)?;
        if claim.age() < from.age() {
            return None;
        }
        // An answer to a ping contains the claim as well.
        if gossip.probe.is_some() {
            return None;
        }
        let gossip = Gossip {
            updates: vec![claim],
            ..Gossip::default()
        };
        let to = from.address;
        Some(Letter { to, gossip })
    }

    /// Handles a claim about a balancer of the own data centre.
    pub(super) fn hear_claim(&mut self, update: &Update, from: &Member, now: Duration) {
        if update.address == self.own.address {
            self.refute(update);
            return;
        }
        match update.status {
            Status::Alive => self.hear_alive(Member {
                address: update.address,
                data_centre: std::sync::Arc::clone(&from.data_centre),
                incarnation: update.incarnation,
                version: update.version,
                sighted: update.sighted,
                leaving: update.leaving,
            }),
            Status::Suspected { by } => self.hear_suspicion(update, by, now),
            Status::Removed => self.hear_removal(update, now),
        }
    }

    /// Refutes a claim that this balancer is suspected or removed, or that an earlier process of it,
    /// whose clock was ahead, still runs.
    fn refute(&mut self, update: &Update) {
        let is_wrong = match update.status {
            Status::Alive => update.age() > self.own.age(),
            Status::Suspected { .. } | Status::Removed => update.age() >= self.own.age(),
        };
        if is_wrong {
            self.own.incarnation = update.incarnation;
            self.own.version = update.version;
            self.describe_anew();
        }
    }

    /// Adds or updates a balancer that is alive by its own word.
    pub(super) fn hear_alive(&mut self, member: Member) {
        if member.address == self.own.address {
            return;
        }
        let address = member.address;
        let is_old = |(_, known): &(Duration, Member)| known.age() >= member.age();
        if self.removed.get(&address).is_some_and(is_old) {
            return;
        }
        let is_new = self.members.get(address).is_none();
        if !self.members.merge(member.clone()) {
            return;
        }
        self.removed.remove(&address);
        self.suspicions.remove(&address);
        self.news.tell(Update::new(&member, Status::Alive));
        if is_new {
            self.probing.add(address, &mut self.random);
            self.changes.push(Change::Found(member));
        }
    }

    fn hear_suspicion(&mut self, update: &Update, by: u16, now: Duration) {
        let known = self.members.get(update.address);
        if known.is_none_or(|known| known.age() > update.age()) {
            return;
        }
        let is_news = match self.suspicions.get_mut(&update.address) {
            Some(suspicion) => suspicion.confirm(by),
            None => {
                let suspicion = Suspicion::new(by, now);
                self.suspicions.insert(update.address, suspicion);
                true
            }
        };
        if is_news {
            self.news.tell(*update);
        }
    }

    fn hear_removal(&mut self, update: &Update, now: Duration) {
        let known = self.members.get(update.address);
        if known.is_some_and(|known| known.age() <= update.age()) {
            self.remove(update.address, now);
        }
    }

    /// Suspects a member that answered no probe. One that announced its departure is removed at once.
    pub(super) fn suspect(&mut self, address: std::net::SocketAddrV4, now: Duration) {
        let Some(member) = self.members.get(address) else {
            return;
        };
        if member.leaving {
            self.remove(address, now);
            return;
        }
        let by = self.number();
        let update = Update::new(member, Status::Suspected { by });
        self.hear_suspicion(&update, by, now);
    }

    /// Messages that tell the members that this balancer suspects. One that lives refutes at once, even if
    /// claims spread slowly because many members are suspected at the same time.
    pub(super) fn warn_suspects(&mut self) -> Vec<Letter> {
        let own = self.number();
        let suspects = self.suspicions.iter();
        let suspects = suspects.filter(|(_, suspicion)| suspicion.is_by(own));
        let suspects: Vec<_> = suspects.map(|(address, _)| *address).collect();
        let letter = |to| Letter {
            to,
            gossip: self.near_gossip(to, Some(Probe::Ping(0))),
        };
        suspects.into_iter().map(letter).collect()
    }

    /// Removes the members that did not refute a suspicion in time.
    pub(super) fn remove_unrefuted(&mut self, now: Duration) {
        let others = self.near().count().saturating_sub(1);
        let over = self.suspicions.iter();
        let over = over.filter(|(_, suspicion)| suspicion.is_over(others, now));
        let over: Vec<_> = over.map(|(address, _)| *address).collect();
        for address in over {
            self.remove(address, now);
        }
    }

    fn remove(&mut self, address: std::net::SocketAddrV4, now: Duration) {
        self.suspicions.remove(&address);
        self.probing.remove(address);
        let Some(member) = self.members.remove(address) else {
            return;
        };
        self.news.tell(Update::new(&member, Status::Removed));
        self.removed.insert(address, (now, member.clone()));
        self.changes.push(Change::Lost(member));
    }

    /// After a pause of the process, messages that arrived meanwhile have not been handled yet.
    /// Unanswered probes then prove nothing, and refutations get as much more time.
    pub(super) fn allow_for_pause(&mut self, now: Duration) {
        let Some(last) = self.last_round else {
            return;
        };
        let paused = now.saturating_sub(last);
        if paused < ROUND * 2 {
            return;
        }
        self.probing.forget_unanswered();
        for suspicion in self.suspicions.values_mut() {
            suspicion.postpone(paused);
        }
    }
}
