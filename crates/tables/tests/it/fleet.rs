use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use acacia_config::document;
use acacia_tables::{
    Document, State,
    writer::{Action, Answer, Moment, Writer},
};
use proptest::prelude::*;

use crate::{
    fixture::{Change, Operator},
    invariant::History,
};

const BALANCERS: usize = 3;

#[derive(Debug, Clone, Copy)]
enum Event {
    /// An operator changes the configuration.
    Apply(Change),
    /// All balancers measure this weight of a server.
    Weigh(u8, u32),
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
    /// Milliseconds pass.
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

fn change() -> impl Strategy<Value = Change> {
    let (host, place) = (|| 1_u8..8, || 1_u8..3);
    prop_oneof![
        3 => (host(), place()).prop_map(|(host, place)| Change::Place(host, place)),
        2 => host().prop_map(Change::Remove),
        2 => (host(), prop::option::of(0_u64..30)).prop_map(|(at, end)| Change::Drain(at, end)),
        1 => host().prop_map(Change::Activate),
        3 => place().prop_map(Change::Toggle),
    ]
}

fn event() -> impl Strategy<Value = Event> {
    use How::{Answered, Late, Lost, Unreached};
    let (at, ago) = (|| 0..BALANCERS, || 0_usize..3);
    let how = prop::sample::select(vec![Answered, Answered, Answered, Lost, Late, Unreached]);
    prop_oneof![
        4 => change().prop_map(Event::Apply),
        1 => (1_u8..8, 0_u32..3_000).prop_map(|(host, weight)| Event::Weigh(host, weight)),
        4 => (at(), ago()).prop_map(|(at, ago)| Event::Hear(at, ago)),
        8 => at().prop_map(Event::Decide),
        8 => (at(), how).prop_map(|(at, how)| Event::Finish(at, how)),
        4 => (at(), ago()).prop_map(|(at, ago)| Event::Watch(at, ago)),
        2 => (at(), at()).prop_map(|(from, to)| Event::Pass(from, to)),
        2 => (at(), prop::option::of(0_u16..2)).prop_map(|(at, rank)| Event::Rank(at, rank)),
        3 => (0_u64..6_000).prop_map(Event::Wait),
    ]
}

#[derive(Default)]
struct Fleet {
    operator: Operator,
    accepted: Vec<Arc<document::Document>>,
    history: History,
    /// What the store's key held at revisions 1, 2 and so on.
    store: Vec<String>,
    writers: Vec<Writer>,
    weights: BTreeMap<u8, u32>,
    calls: BTreeMap<usize, Action>,
    late: Vec<(u64, Arc<Document>)>,
    now: u64,
}

impl Fleet {
    fn new() -> Self {
        let mut fleet = Fleet::default();
        fleet.writers.resize_with(BALANCERS, || Writer::new(0));
        (0..BALANCERS).for_each(|at| fleet.play(Event::Rank(at, Some(0))));
        fleet.operator = Operator::new(2);
        fleet.play(Event::Apply(Change::Toggle(2)));
        fleet
    }

    /// The version that every balancer has.
    fn known(&self) -> u64 {
        self.writers.iter().map(version).min().unwrap_or_default()
    }

    fn swap(&mut self, expected: u64, document: &Document) -> Answer {
        if self.store.len() as u64 != expected {
            return Answer::Conflict;
        }
        self.history.add(document, self.known());
        let text = document.encode().expect("text");
        assert_eq!(Document::decode(&text).as_ref(), Ok(document));
        self.store.push(text);
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
            Event::Apply(change) => {
                self.operator.change(change);
                self.accepted.push(self.operator.apply());
            }
            Event::Weigh(host, weight) => {
                self.weights.insert(host, weight);
                let name = |host| format!("server-{host}").into();
                let weights = self
                    .weights
                    .iter()
                    .map(|(host, weight)| (name(host), *weight));
                for writer in &mut self.writers {
                    writer.set_weights(weights.clone().collect());
                }
            }
            Event::Hear(at, ago) => {
                let index = (self.accepted.len() - 1).saturating_sub(ago);
                self.writers[at].saw_config(Arc::clone(&self.accepted[index]));
            }
            Event::Decide(at) => self.decide(at),
            Event::Finish(at, how) => self.finish(at, how),
            Event::Watch(at, ago) => {
                let revision = self.store.len().saturating_sub(ago);
                let value = revision.checked_sub(1).map(|last| &*self.store[last]);
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

    /// Whether tables list just the servers that are wanted.
    fn is_followed(&self, tables: &Document) -> bool {
        let config = self.operator.config();
        let wanted = config.servers().iter();
        let wanted = wanted.filter(|server| !server.state.is_gone(self.now / 1_000));
        let wanted = wanted.map(|server| (&server.service, server.address, server.is_active()));
        let listed = tables.services.iter().flat_map(|service| {
            let servers = service.servers.iter();
            servers.map(|server| (&service.name, server.address, server.state == State::Up))
        });
        let (wanted, listed): (BTreeSet<_>, BTreeSet<_>) = (wanted.collect(), listed.collect());
        wanted == listed && config.services().len() == tables.services.len()
    }
}

fn version(writer: &Writer) -> u64 {
    writer.current().map_or(0, |document| document.version)
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(64))]

    /// Operators change everything while balancers pause between decision and write, answers are
    /// lost, reads are old and two balancers both think that they rank first. If a version were
    /// two documents, a base moved under a live flow or a number came to mean another server, an
    /// open feed would be sent to a server that resets it.
    #[test]
    fn all_balancers_end_with_the_last_tables_and_no_flow_is_cut(
        events in prop::collection::vec(event(), 1..100),
    ) {
        let mut fleet = Fleet::new();
        for &event in &events {
            let before: Vec<u64> = fleet.writers.iter().map(version).collect();
            fleet.play(event);
            for (writer, before) in fleet.writers.iter().zip(before) {
                prop_assert!(version(writer) >= before, "went back");
                let mut written = fleet.history.documents.iter();
                let written = written.find(|document| document.version == version(writer));
                prop_assert_eq!(writer.current().map(|c| &**c), written, "never in the store");
            }
        }
        fleet.heal();
        let last = fleet.history.documents.last().cloned().expect("tables");
        for writer in &fleet.writers {
            prop_assert_eq!(writer.current().map(|current| &**current), Some(&last));
        }
        prop_assert!(fleet.is_followed(&last), "{:?} {last:?}", fleet.operator.config());
        fleet.heal();
        prop_assert_eq!(fleet.store.len() as u64, last.version, "writes without news");
    }
}
