use std::collections::BTreeMap;
use std::time::Duration;

use crate::record::{Listed, Record};
use crate::{Cause, Contact, Event, Hint, MAX_GROUP, Member, Phase, Settings, State, View};

/// The membership state machine of one balancer.
#[derive(Debug)]
pub struct Group {
    pub(crate) settings: Settings,
    pub(crate) contact: Contact,
    pub(crate) incarnation: u64,
    pub(crate) phase: Phase,
    pub(crate) revision: u64,
    pub(crate) table: u64,
    /// The number of the last round of heartbeats.
    pub(crate) number: u64,
    /// When this incarnation started.
    pub(crate) started: Duration,
    /// The latest time that was passed in.
    pub(crate) last_advance: Duration,
    pub(crate) records: BTreeMap<u16, Record>,
    pub(crate) events: Vec<Event>,
    /// An incarnation of this balancer that a peer knows and that is later than the current one.
    pub(crate) outdated: Option<u64>,
}

impl Group {
    /// Creates a balancer that starts to join. `incarnation` must be higher than that of any earlier
    /// process with this id. The wall clock in milliseconds is good enough: if it was set back, the
    /// peers' echoes carry the later incarnation and this balancer takes a higher one.
    ///
    /// ```
    /// use std::time::Duration;
    /// use acacia_member::{Contact, Group, Settings};
    /// let contact = Contact { id: 1, address: "127.0.0.1:7000".parse().unwrap(), data_centre: "hervanta".into() };
    /// let now = Duration::ZERO;
    /// let mut group = Group::new(Settings::default(), contact, 1, now);
    /// assert!(group.tick(now, |_peer| Vec::new()).is_empty(), "no peer is known");
    /// assert!(!group.view(now).is_sure(now), "other members may not be known yet");
    /// ```
    #[must_use]
    pub fn new(settings: Settings, contact: Contact, incarnation: u64, now: Duration) -> Self {
        Group {
            settings,
            contact,
            incarnation,
            phase: Phase::Joining,
            revision: 0,
            table: 0,
            number: 0,
            started: now,
            last_advance: now,
            records: BTreeMap::new(),
            events: Vec::new(),
            outdated: None,
        }
    }

    /// Applies the platform's list of VMs. A member that was listed and no longer is counts as
    /// gone; one that has never been listed may just be too new for the list.
    pub fn hint(&mut self, now: Duration, hints: &[Hint]) {
        for hint in hints {
            let Some(record) = self.record_or_insert(hint.contact.id, now) else {
                continue;
            };
            // A heard member's own address takes precedence; once it is unheard, a new VM may have
            // its id and another address.
            if record.contact.is_none() || !record.state.is_heard() {
                record.contact = Some(hint.contact.clone());
            }
            record.listed = if hint.leaving {
                Listed::Ending
            } else {
                Listed::Live
            };
        }
        for record in self.records.values_mut() {
            let listed = hints.iter().any(|hint| hint.contact.id == record.id);
            if !listed && record.listed != Listed::Never {
                record.listed = Listed::Ending;
            }
        }
    }

    /// Sets this balancer's phase, and notifies the heard peers at the next tick.
    pub fn set_phase(&mut self, phase: Phase) {
        if self.phase != phase {
            self.phase = phase;
            self.request_prompt_answers();
        }
    }

    /// Sets the versions of the configuration and tables that are in force on this balancer.
    pub fn set_versions(&mut self, revision: u64, table: u64) {
        self.revision = revision;
        self.table = table;
    }

    /// Makes heartbeats to all heard peers due after the minimum gap, and has them ask for immediate
    /// answers. Used after a change that waits for acknowledgements.
    pub fn request_prompt_answers(&mut self) {
        for record in self
            .records
            .values_mut()
            .filter(|record| record.state.is_heard())
        {
            record.urgent = true;
            record.prompt = true;
        }
    }

    /// This balancer's incarnation. It changes when the balancer has to join again.
    #[must_use]
    pub fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// This balancer's phase. It returns to [`Phase::Joining`] when the balancer has to join again.
    #[must_use]
    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// Returns the events since the last call.
    pub fn take_events(&mut self) -> Vec<Event> {
        std::mem::take(&mut self.events)
    }

    /// The group as of `now`.
    #[must_use]
    pub fn view(&self, now: Duration) -> View {
        let interval = self.interval();
        let member = |record: &Record| Member {
            id: record.id,
            address: record.contact.as_ref().map(|contact| contact.address),
            data_centre: record
                .contact
                .as_ref()
                .map(|contact| contact.data_centre.clone()),
            incarnation: record.incarnation,
            state: record.state,
            revision: record.revision,
            table: record.table,
            acknowledged: record.acknowledged,
            hears_us: record.is_fresh(now, record.freshness_timeout(&self.settings, interval)),
        };
        View {
            id: self.contact.id,
            incarnation: self.incarnation,
            phase: self.phase,
            members: self.records.values().map(member).collect(),
            sure_until: self.sure_until(now),
        }
    }

    /// The time until which every member that is not dead stays fresh without a further heartbeat.
    /// `None` during the first freshness timeout of an incarnation, in which this balancer may not
    /// know all members yet.
    fn sure_until(&self, now: Duration) -> Option<Duration> {
        let interval = self.interval();
        let bound = interval * self.settings.fresh_intervals;
        if now.saturating_sub(self.started) < bound {
            return None;
        }
        // Without other members, only the last call limits the view.
        let alone = Some(self.last_advance + bound);
        let freshness_timeout =
            |record: &Record| record.freshness_timeout(&self.settings, interval);
        let living = self
            .living()
            .map(|record| Some(record.echoed? + freshness_timeout(record)));
        living.fold(alone, |least, until| Some(least?.min(until?)))
    }

    pub(crate) fn living(&self) -> impl Iterator<Item = &Record> {
        self.records
            .values()
            .filter(|record| record.state != State::Dead)
    }

    /// The interval of our heartbeats to a heard member; the control transport uses it too. Members
    /// that are not heard don't count: a platform list full of VMs that are long gone would
    /// otherwise stretch the interval until the live members miss our heartbeats.
    #[must_use]
    pub fn interval(&self) -> Duration {
        let heard = self
            .records
            .values()
            .filter(|record| record.state.is_heard());
        self.settings.interval_for(heard.count())
    }

    /// Returns the record of this id, and inserts one if needed. A full group drops the member that
    /// has been dead for longest; `None` if there is none, or for this balancer's own id.
    pub(crate) fn record_or_insert(&mut self, id: u16, now: Duration) -> Option<&mut Record> {
        if id == self.contact.id {
            return None;
        }
        if !self.records.contains_key(&id) {
            if self.records.len() + 1 >= MAX_GROUP {
                let dead = self
                    .records
                    .values()
                    .filter(|record| record.state == State::Dead);
                let oldest = dead.min_by_key(|record| record.unheard_since)?.id;
                self.forget(oldest);
            }
            self.records.insert(id, Record::new(id, now));
            let to = State::Unheard;
            self.events.push(Event::Changed { id, from: None, to });
        }
        self.records.get_mut(&id)
    }

    pub(crate) fn forget(&mut self, id: u16) {
        self.records.remove(&id);
        self.events.push(Event::Forgotten { id });
    }

    /// Advances the time, and joins again if this process was suspended or its incarnation is
    /// outdated.
    ///
    /// The peers of a suspended balancer may have declared it dead and taken its flows over. It
    /// would otherwise continue with its old view and flows, so a jump between two calls counts as
    /// a suspension.
    pub(crate) fn advance(&mut self, now: Duration) {
        let jump = now.saturating_sub(self.last_advance);
        self.last_advance = self.last_advance.max(now);
        if jump > self.settings.suspension_threshold_at(self.interval()) {
            self.rejoin(now, Cause::Frozen(jump));
        }
        if let Some(known) = self
            .outdated
            .take()
            .filter(|known| *known > self.incarnation)
        {
            self.incarnation = known;
            self.rejoin(now, Cause::Outdated(known));
        }
    }

    fn rejoin(&mut self, now: Duration, cause: Cause) {
        self.incarnation += 1;
        self.phase = Phase::Joining;
        self.started = now;
        let incarnation = self.incarnation;
        self.events.push(Event::Rejoined { incarnation, cause });
        let ids: Vec<u16> = self.records.keys().copied().collect();
        for id in ids {
            self.discard_proof(now, id);
        }
        self.records.values_mut().for_each(Record::forget_sent);
    }

    /// Discards the evidence that a member is alive, so that it has to prove it again.
    pub(crate) fn discard_proof(&mut self, now: Duration, id: u16) {
        let Some(record) = self.records.get_mut(&id) else {
            return;
        };
        let from = record.state;
        record.discard_proof(now);
        let to = record.state;
        if from != to {
            self.events.push(Event::Changed {
                id,
                from: Some(from),
                to,
            });
        }
    }
}
