//! The first read of the store, whose pages may come from replicas of different ages.

use std::{collections::BTreeMap, sync::Arc};

use acacia_catalog::{
    Change,
    server::{Server, State},
};
use acacia_node::cookie::core::Core;
use acacia_platform::{
    store::{Item, Page, Range},
    transport::Consistency,
};
use proptest::prelude::*;

use super::fixture::{Fleet, ms, removed, server, settings};

/// Number of servers that the store may list.
const SERVERS: usize = 8;
/// Number of items in a page.
const PAGE: usize = 2;

/// A server's entry; `None` if there is none.
type Entry = Option<State>;

/// The writes to a store; the revision of each is its position, from 1 on.
#[derive(Debug, Clone)]
struct History(Vec<(usize, Entry)>);

impl History {
    fn revision(&self) -> u64 {
        self.0.len() as u64
    }

    /// The entries as of `revision`, with those of their last writes.
    fn entries(&self, revision: u64) -> BTreeMap<usize, (u64, State)> {
        let mut entries = BTreeMap::new();
        for (written, (number, entry)) in (1..=revision).zip(&self.0) {
            match entry {
                Some(state) => entries.insert(*number, (written, *state)),
                None => entries.remove(number),
            };
        }
        entries
    }

    /// The page after the server `after`, as of `revision`.
    fn page(&self, after: Option<usize>, revision: u64) -> Page {
        let later = |number: usize| after.is_none_or(|after| number > after);
        let entries = self.entries(revision).into_iter();
        let mut items =
            entries
                .filter(|(number, _)| later(*number))
                .map(|(number, (revision, state))| Item {
                    key: number.to_string().into(),
                    value: [u8::from(state == State::Ready)].into(),
                    revision,
                    created: revision,
                });
        Page {
            items: items.by_ref().take(PAGE).collect(),
            more: items.next().is_some(),
            revision: self.revision(),
        }
    }

    /// A serializable read whose pages are as many revisions old as `ages` tells, in turn.
    fn read(&self, ages: &[u64]) -> Range {
        let (mut range, mut after) = (Range::default(), None);
        for age in ages.iter().cycle() {
            let revision = self.revision() - age % (self.revision() + 1);
            let page = self.page(after, revision);
            let last = range.push(page, Consistency::Serializable);
            after = last.map(|key| key.parse().expect("a number"));
            if after.is_none() {
                break;
            }
        }
        range
    }

    fn changes_after(&self, revision: u64) -> Vec<Change> {
        let writes = (1..).zip(&self.0);
        let later = writes.filter(|(written, _)| *written > revision);
        let change = |(written, (number, entry)): (u64, &(usize, Entry))| match entry {
            Some(state) => change(*number, written, *state),
            None => removed(&number.to_string(), written),
        };
        later.map(change).collect()
    }
}

fn change(number: usize, revision: u64, state: State) -> Change {
    let Change::Server {
        id,
        server: Some(server),
        ..
    } = server(&number.to_string(), revision)
    else {
        unreachable!("the fixture describes a server");
    };
    let server = Arc::new(Server {
        state,
        ..Server::clone(&server)
    });
    Change::Server {
        id,
        revision,
        server: Some(server),
    }
}

fn changes(range: &Range) -> Vec<Change> {
    let change = |item: &Item| {
        let state = match item.value[0] {
            0 => State::Draining,
            _ => State::Ready,
        };
        let number = item.key.parse().expect("a number");
        change(number, item.revision, state)
    };
    range.items.iter().map(change).collect()
}

/// The servers that a balancer knows, with their states.
fn known(core: &Core) -> BTreeMap<usize, State> {
    let all = core.difference(0, ms(0)).changes.into_iter();
    let server = |change| match change {
        Change::Server { id, server, .. } => Some((id.parse().expect("a number"), server?.state)),
        _ => None,
    };
    all.filter_map(server).collect()
}

fn histories() -> impl Strategy<Value = History> {
    let entry = prop_oneof![
        3 => Just(Some(State::Ready)),
        2 => Just(Some(State::Draining)),
        1 => Just(None),
    ];
    proptest::collection::vec((0..SERVERS, entry), 1..40).prop_map(History)
}

fn ages() -> impl Strategy<Value = Vec<u64>> {
    proptest::collection::vec(prop_oneof![Just(0), 0..40u64], SERVERS)
}

proptest! {
    /// Guards against a balancer that takes an old page of its first read for a recent one, and never learns
    /// what that page lacks.
    #[test]
    fn whatever_the_ages_of_its_pages_the_changes_after_a_first_read_complete_it(
        history in histories(),
        ages in ages(),
    ) {
        let mut core = Core::new(&settings(1, "a"), 1, ms(0));
        let range = history.read(&ages);
        core.prime(changes(&range), range.complete_to(), ms(0));

        let missed = history.changes_after(core.followed());
        core.apply_store_changes(missed, history.revision(), ms(0), ms(0));

        let entries = history.entries(history.revision());
        let truth = entries.into_iter().map(|(number, (_, state))| (number, state));
        prop_assert_eq!(known(&core), truth.collect());
    }
}

/// Guards against a balancer that counts as up to date after a first read with an old page, so that it asks
/// no peer for what that page lacks.
#[test]
fn a_balancer_learns_from_its_peers_what_an_old_page_lacked() {
    let writes = (0..4).map(|number| (number, Some(State::Ready)));
    let release = [(3, Some(State::Draining)), (0, Some(State::Draining))];
    let history = History(writes.chain(release).collect());
    let mut fleet = Fleet::new(2, &["a"]);
    let first = fleet.first();
    fleet.apply_from_store(first, history.changes_after(0), history.revision());
    let newcomer = fleet.join(3, "a");

    let range = history.read(&[0, 2]);
    let core = fleet.cores.get_mut(&newcomer).expect("a balancer");
    core.prime(changes(&range), range.complete_to(), fleet.now);
    let primed = known(&fleet.cores[&newcomer]);
    fleet.rounds(2);

    assert_eq!(primed[&3], State::Ready);
    assert_eq!(known(&fleet.cores[&newcomer])[&3], State::Draining);
}
