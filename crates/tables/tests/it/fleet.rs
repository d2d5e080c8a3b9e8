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
    /// An operator changes the configuration, and it is accepted.
    Apply(Change),
    /// All balancers measure a weight of the server on a host.
    Weigh(u8, u32),
    /// A balancer receives the configuration as of some changes ago.
    ReceiveConfig(usize, usize),
    /// A balancer steps its writer and starts the resulting call.
    Decide(usize),
    /// A balancer's call ends.
    Finish(usize, End),
    /// A balancer's watch returns the store's content as of some writes ago.
    Watch(usize, usize),
    /// The second balancer receives the tables of the first.
    ReceiveTables(usize, usize),
    /// A balancer's rank changes, possibly to a wrong one.
    Rank(usize, Option<u16>),
    /// Milliseconds pass.
    Wait(u64),
}

#[derive(Debug, Clone, Copy, PartialEq)]
enum End {
    Answered,
    /// The store carries out the call, and its answer is lost.
    Lost,
    /// The call times out, and the store carries it out later.
    Late,
    Unreached,
}

fn change() -> impl Strategy<Value = Change> {
    let (host, service) = (|| 1_u8..8, || 1_u8..3);
    prop_oneof![
        3 => (host(), service()).prop_map(|(host, service)| Change::Place(host, service)),
        2 => host().prop_map(Change::Remove),
        2 => (host(), prop::option::of(0_u64..30)).prop_map(|(at, end)| Change::Drain(at, end)),
        1 => host().prop_map(Change::Activate),
        3 => service().prop_map(Change::Toggle),
    ]
}

fn event() -> impl Strategy<Value = Event> {
    use End::{Answered, Late, Lost, Unreached};
    let (at, ago) = (|| 0..BALANCERS, || 0_usize..3);
    let end_kind = prop::sample::select(vec![Answered, Answered, Answered, Lost, Late, Unreached]);
    prop_oneof![
        4 => change().prop_map(Event::Apply),
        1 => (1_u8..8, 0_u32..3_000).prop_map(|(host, weight)| Event::Weigh(host, weight)),
        4 => (at(), ago()).prop_map(|(at, ago)| Event::ReceiveConfig(at, ago)),
        8 => at().prop_map(Event::Decide),
        8 => (at(), end_kind).prop_map(|(at, end_kind)| Event::Finish(at, end_kind)),
        4 => (at(), ago()).prop_map(|(at, ago)| Event::Watch(at, ago)),
        2 => (at(), at()).prop_map(|(from, to)| Event::ReceiveTables(from, to)),
        2 => (at(), prop::option::of(0_u16..2)).prop_map(|(at, rank)| Event::Rank(at, rank)),
        3 => (0_u64..6_000).prop_map(Event::Wait),
    ]
}

#[derive(Default)]
struct Fleet {
    operator: Operator,
    accepted: Vec<Arc<document::Document>>,
    history: History,
    /// The content of the store's key at revisions 1, 2 and so on.
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
        (0..BALANCERS).for_each(|at| fleet.handle(Event::Rank(at, Some(0))));
        fleet.operator = Operator::new(2);
        fleet.handle(Event::Apply(Change::Toggle(2)));
        fleet
    }

    /// The version that every balancer has.
    fn known(&self) -> u64 {
        self.writers.iter().map(version).min().unwrap_or_default()
    }

    fn compare_and_swap(&mut self, expected: u64, document: &Document) -> Answer {
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

    fn finish(&mut self, at: usize, end_kind: End) {
        let answer = match (self.calls.remove(&at), end_kind) {
            (None | Some(Action::Idle), _) => return,
            (Some(Action::Read), End::Answered) => {
                self.handle(Event::Watch(at, 0));
                Answer::Read
            }
            (Some(Action::Read), _) | (_, End::Unreached) => Answer::Unreached,
            (Some(Action::Write { expected, document }), End::Late) => {
                self.late.push((expected, document));
                Answer::Lost
            }
            (Some(Action::Write { expected, document }), end_kind) => {
                let answer = self.compare_and_swap(expected, &document);
                if end_kind == End::Lost {
                    Answer::Lost
                } else {
                    answer
                }
            }
        };
        self.writers[at].answered(answer, self.now);
    }

    fn handle(&mut self, event: Event) {
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
            Event::ReceiveConfig(at, ago) => {
                let index = (self.accepted.len() - 1).saturating_sub(ago);
                self.writers[at].saw_config(Arc::clone(&self.accepted[index]));
            }
            Event::Decide(at) => self.decide(at),
            Event::Finish(at, end_kind) => self.finish(at, end_kind),
            Event::Watch(at, ago) => {
                let revision = self.store.len().saturating_sub(ago);
                let value = revision.checked_sub(1).map(|last| &*self.store[last]);
                let read = self.writers[at].saw_store(revision as u64, value, self.now);
                read.expect("a document");
            }
            Event::ReceiveTables(from, to) => {
                let document = self.writers[from].current().cloned();
                document.map(|document| self.writers[to].saw_tables(document, self.now));
            }
            Event::Rank(at, rank) => self.writers[at].set_rank(rank),
            Event::Wait(ms) => {
                self.now += ms;
                if let Some((expected, document)) = self.late.pop() {
                    self.compare_and_swap(expected, &document);
                }
            }
        }
    }

    /// Runs for 30 s without faults, after which every deadline has passed.
    fn heal(&mut self) {
        for _ in 0..60 {
            self.now += 500;
            for at in 0..BALANCERS {
                self.finish(at, End::Answered);
                self.handle(Event::Rank(at, Some(at as u16)));
                self.handle(Event::ReceiveConfig(at, 0));
                self.handle(Event::Watch(at, 0));
                self.decide(at);
            }
        }
    }

    /// Whether the tables list exactly the configured services and servers.
    fn matches_config(&self, tables: &Document) -> bool {
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

    /// Operators change the configuration while balancers are paused between decision and write,
    /// answers are lost, reads are outdated and several balancers rank first. An open flow would be
    /// sent to a server that resets it if two documents had the same version, a base moved while
    /// its server has live flows, or a number was reused for another server.
    #[test]
    fn balancers_converge_on_the_last_tables_without_breaking_flows(
        events in prop::collection::vec(event(), 1..100),
    ) {
        let mut fleet = Fleet::new();
        for &event in &events {
            let before: Vec<u64> = fleet.writers.iter().map(version).collect();
            fleet.handle(event);
            for (writer, before) in fleet.writers.iter().zip(before) {
                prop_assert!(version(writer) >= before, "version decreased");
                let mut written = fleet.history.documents.iter();
                let written = written.find(|document| document.version == version(writer));
                prop_assert_eq!(writer.current().map(|c| &**c), written, "tables never stored");
            }
        }
        fleet.heal();
        let last = fleet.history.documents.last().cloned().expect("tables");
        for writer in &fleet.writers {
            prop_assert_eq!(writer.current().map(|current| &**current), Some(&last));
        }
        prop_assert!(fleet.matches_config(&last), "{:?} {last:?}", fleet.operator.config());
        fleet.heal();
        prop_assert_eq!(fleet.store.len() as u64, last.version, "writes without a change");
    }
}
