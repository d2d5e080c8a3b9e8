//! Several writers over one store, with pauses, lost answers and old reads.

use std::{collections::BTreeMap, sync::Arc};

use acacia_config::document;
use acacia_tables::{
    Document, State,
    writer::{Action, Answer, Moment, Writer},
};
use proptest::prelude::*;

use crate::{
    fixture::{Operator, draining, live},
    sequence::check_base,
};

const BALANCERS: usize = 3;

#[derive(Debug, Clone, Copy)]
enum Event {
    /// An operator wants so many servers, the first of which may be drained.
    Configure(u8, Option<u64>),
    /// A balancer hears of the configuration as it was some changes ago.
    Hear(usize, usize),
    /// A balancer decides; its call is then under way.
    Decide(usize),
    /// A balancer's call ends.
    Finish(usize, How),
    /// A balancer's watch tells what the store held some writes ago.
    Watch(usize, usize),
    /// A balancer hears of another's tables.
    Pass(usize, usize),
    /// A balancer takes another place in rank, which may be wrong.
    Rank(usize, Option<u16>),
    Wait(u64),
}

#[derive(Debug, Clone, Copy, PartialEq)]
enum How {
    Answered,
    /// The store does it and its answer is lost.
    Lost,
    /// The answer is given up, and the store does it at some later time.
    Late,
    Unreached,
}

fn event() -> impl Strategy<Value = Event> {
    use How::{Answered, Late, Lost, Unreached};
    let (at, ago) = (|| 0..BALANCERS, || 0_usize..3);
    let how = prop::sample::select(vec![Answered, Answered, Answered, Lost, Late, Unreached]);
    prop_oneof![
        2 => (0_u8..5, prop::option::of(0_u64..20)).prop_map(|(n, end)| Event::Configure(n, end)),
        4 => (at(), ago()).prop_map(|(at, ago)| Event::Hear(at, ago)),
        8 => at().prop_map(Event::Decide),
        8 => (at(), how).prop_map(|(at, how)| Event::Finish(at, how)),
        4 => (at(), ago()).prop_map(|(at, ago)| Event::Watch(at, ago)),
        2 => (at(), at()).prop_map(|(from, to)| Event::Pass(from, to)),
        2 => (at(), prop::option::of(0_u16..2)).prop_map(|(at, rank)| Event::Rank(at, rank)),
        4 => (0_u64..4_000).prop_map(Event::Wait),
    ]
}

#[derive(Default)]
struct Fleet {
    operator: Operator,
    accepted: Vec<Arc<document::Document>>,
    /// What the store's key held at revisions 1, 2 and so on.
    store: Vec<(Arc<Document>, String)>,
    writers: Vec<Writer>,
    calls: BTreeMap<usize, Action>,
    late: Vec<(u64, Arc<Document>)>,
    now: u64,
}

impl Fleet {
    fn new() -> Self {
        let mut fleet = Fleet::default();
        fleet.writers.resize_with(BALANCERS, || Writer::new(0));
        let writers = fleet.writers.iter_mut();
        writers.for_each(|writer| writer.set_rank(Some(0)));
        fleet.play(Event::Configure(3, None));
        fleet
    }

    /// The version that every balancer has.
    fn known(&self) -> u64 {
        self.writers.iter().map(version).min().unwrap_or_default()
    }

    fn history(&self) -> Vec<Arc<Document>> {
        self.store
            .iter()
            .map(|(document, _)| Arc::clone(document))
            .collect()
    }

    fn swap(&mut self, expected: u64, document: &Arc<Document>) -> Answer {
        if self.store.len() as u64 != expected {
            return Answer::Conflict;
        }
        let before = self.store.last().map(|(before, _)| before);
        assert_eq!(
            document.version,
            before.map_or(0, |before| before.version) + 1
        );
        for service in &document.services {
            if let Some(old) = before.and_then(|before| before.service(&service.address)) {
                check_base(old, service, self.known(), &self.history())
                    .expect("no live flow's base moved");
            }
        }
        let text = document.encode().expect("text");
        self.store.push((Arc::clone(document), text));
        Answer::Written {
            revision: expected + 1,
        }
    }

    fn decide(&mut self, at: usize) {
        let (known, unix) = (self.known(), self.now / 1_000);
        let now = Moment {
            monotonic: self.now,
            unix,
        };
        let action = self.writers[at].step(now, &|version| version <= known);
        let action = action.expect("an action");
        if action != Action::Idle {
            self.calls.insert(at, action);
        }
    }

    fn finish(&mut self, at: usize, how: How) {
        let answer = match (self.calls.remove(&at), how) {
            (None | Some(Action::Idle), _) => return,
            (Some(Action::Read), How::Answered) => {
                self.play(Event::Watch(at, 0));
                Answer::Read
            }
            (Some(Action::Read), _) | (_, How::Unreached) => Answer::Unreached,
            (Some(Action::Write { expected, document }), How::Late) => {
                self.late.push((expected, document));
                Answer::Lost
            }
            (Some(Action::Write { expected, document }), how) => {
                let answer = self.swap(expected, &document);
                if how == How::Lost {
                    Answer::Lost
                } else {
                    answer
                }
            }
        };
        self.writers[at].answered(answer, self.now);
    }

    fn play(&mut self, event: Event) {
        match event {
            Event::Configure(servers, drained) => {
                let mut config = live(servers);
                if let Some(seconds) = drained.filter(|_| servers > 0) {
                    config = draining(&config, 1, Some(self.now / 1_000 + seconds));
                }
                self.accepted.push(Arc::new(self.operator.apply(&config)));
            }
            Event::Hear(at, ago) => {
                let index = (self.accepted.len() - 1).saturating_sub(ago);
                self.writers[at].saw_config(Arc::clone(&self.accepted[index]));
            }
            Event::Decide(at) => self.decide(at),
            Event::Finish(at, how) => self.finish(at, how),
            Event::Watch(at, ago) => {
                let revision = self.store.len().saturating_sub(ago);
                let value = revision.checked_sub(1).map(|last| &*self.store[last].1);
                let read = self.writers[at].saw_store(revision as u64, value, self.now);
                read.expect("a document");
            }
            Event::Pass(from, to) => {
                let document = self.writers[from].current().cloned();
                document.map(|document| self.writers[to].saw_tables(document, self.now));
            }
            Event::Rank(at, rank) => self.writers[at].set_rank(rank),
            Event::Wait(ms) => {
                self.now += ms;
                if let Some((expected, document)) = self.late.pop() {
                    self.swap(expected, &document);
                }
            }
        }
    }

    /// Everything works again, for 30 s, after which every deadline has passed.
    fn heal(&mut self) {
        for _ in 0..60 {
            self.now += 500;
            for at in 0..BALANCERS {
                self.finish(at, How::Answered);
                self.play(Event::Rank(at, Some(at as u16)));
                self.play(Event::Hear(at, 0));
                self.play(Event::Watch(at, 0));
                self.decide(at);
            }
        }
    }
}

fn version(writer: &Writer) -> u64 {
    writer.current().map_or(0, |document| document.version)
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(48))]

    /// Balancers pause between decision and write, answers are lost, reads are old, two balancers
    /// both think that they rank first. If two documents of one version came into force, a feed
    /// that one balancer sends to its server would be reset by the server of another.
    #[test]
    fn every_version_is_one_document_and_all_end_with_the_last(
        events in prop::collection::vec(event(), 1..80),
    ) {
        let mut fleet = Fleet::new();
        for &event in &events {
            let before: Vec<u64> = fleet.writers.iter().map(version).collect();
            fleet.play(event);
            for (writer, before) in fleet.writers.iter().zip(before) {
                prop_assert!(version(writer) >= before, "went back");
                let stored = fleet.history();
                let stored = stored.into_iter().find(|stored| stored.version == version(writer));
                prop_assert_eq!(writer.current(), stored.as_ref(), "not what the store had");
            }
        }
        fleet.heal();
        let (last, _) = fleet.store.last().expect("tables");
        prop_assert!(fleet.writers.iter().all(|writer| writer.current() == Some(last)));
        let config = fleet.accepted[fleet.accepted.len() - 1].config().expect("a configuration");
        let active = config.servers().iter().filter(|server| server.is_active());
        let active: Vec<_> = active.map(|server| server.address).collect();
        let servers = &last.services[0].servers;
        // Without an active server, the last ones that were keep their buckets.
        let listed = servers.iter().filter(|s| !active.is_empty() || s.state == State::Up);
        let mut listed: Vec<_> = listed.map(|server| server.address).collect();
        listed.sort_unstable();
        prop_assert_eq!(listed, active);
    }
}
