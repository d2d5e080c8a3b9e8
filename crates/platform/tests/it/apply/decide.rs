use crate::fixture::cases;
use acacia_config::{
    Config,
    document::{Document, HISTORY},
};
use acacia_platform::apply::Verdict;
use proptest::prelude::*;

use super::{
    fake::{Fault, Operator, World, fault},
    request,
};

/// Runs operators against a store. Each turn names one of them and what happens to its call, or
/// lets a delayed write arrive. Afterwards all come to their end without further faults.
fn play(operators: u8, turns: &[(u8, Fault)]) -> (World, Vec<Operator>) {
    let mut world = World::default();
    let mut all: Vec<_> = (1..=operators).map(|n| Operator::new(request(n))).collect();
    for (number, fault) in turns {
        match all.get_mut(usize::from(*number)) {
            Some(operator) => world.step(operator, *fault),
            None => {
                world.arrive();
            }
        }
    }
    for operator in &mut all {
        while operator.verdict.is_none() {
            world.step(operator, Fault::None);
        }
    }
    while world.arrive() {}
    (world, all)
}

fn turns() -> impl Strategy<Value = Vec<(u8, Fault)>> {
    prop::collection::vec((0_u8..5, fault()), 0..60)
}

proptest! {
    #![proptest_config(cases(1024))]

    /// Operators write at the same moment while the store loses answers, delays writes and times
    /// out. Whoever is told "accepted" must find the change made, whoever is told that another
    /// came first or that nothing was written must never find it made later.
    #[test]
    fn what_an_operator_is_told_is_true(turns in turns()) {
        let (world, operators) = play(4, &turns);
        for operator in operators {
            let made: Vec<_> = world.applied.iter().filter(|d| d.change == operator.change).collect();
            prop_assert!(operator.writes <= 1, "written blindly a second time");
            prop_assert!(made.len() <= 1);
            match operator.verdict {
                Some(Verdict::Accepted { revision }) => {
                    prop_assert_eq!(made.iter().map(|d| d.revision).collect::<Vec<_>>(), [revision]);
                }
                Some(Verdict::Conflict { .. } | Verdict::Refused(_)) => prop_assert!(made.is_empty()),
                Some(Verdict::Unknown { .. }) => {}
                verdict => prop_assert!(false, "{:?}", verdict),
            }
        }
    }

    /// No accepted change disappears under another that has not seen it: revisions rise by one
    /// and each document's history names the change before.
    #[test]
    fn no_change_is_overwritten_unseen(turns in turns()) {
        let (world, _) = play(4, &turns);
        for pair in world.applied.windows(2) {
            prop_assert_eq!(pair[1].revision, pair[0].revision + 1);
            prop_assert_eq!(pair[1].history[0].change, pair[0].change);
        }
    }

    /// Two operators read the same state, then both write, in any order and with any answer
    /// lost. Exactly one change is made, and the other operator is shown it.
    #[test]
    fn of_two_at_once_exactly_one_wins(first in 0_u8..2, lost in any::<(bool, bool)>()) {
        let fault = |lost| if lost { Fault::AnswerLost } else { Fault::None };
        let (one, two) = (first, 1 - first);
        let turns = [(0, Fault::None), (1, Fault::None), (one, fault(lost.0)), (two, fault(lost.1))];
        let (world, operators) = play(2, &turns);
        let winner = &operators[usize::from(one)];
        let loser = &operators[usize::from(two)];
        prop_assert_eq!(world.applied.len(), 1);
        prop_assert_eq!(&winner.verdict, &Some(Verdict::Accepted { revision: 1 }));
        let theirs = Some(Box::new(world.applied[0].clone()));
        prop_assert_eq!(&loser.verdict, &Some(Verdict::Conflict { theirs }));
    }
}

/// The answer is lost, and another operator writes before it can be read back. The change stands
/// in the history only; looking at the newest change alone would call it lost.
#[test]
fn a_change_below_a_later_one_is_accepted() {
    let turns = [(0, Fault::None), (0, Fault::AnswerLost)];
    let then = [(1, Fault::None), (1, Fault::None), (1, Fault::None)];
    let (_, operators) = play(2, &[&turns[..], &then[..]].concat());
    assert_eq!(
        operators[0].verdict,
        Some(Verdict::Accepted { revision: 1 })
    );
    assert_eq!(
        operators[1].verdict,
        Some(Verdict::Accepted { revision: 2 })
    );
}

/// A write is held up in the network beyond all patience and arrives later. Calling it "not
/// accepted" would be wrong then.
#[test]
fn a_write_still_on_its_way_stays_unknown() {
    let (world, operators) = play(1, &[(0, Fault::None), (0, Fault::Delayed)]);
    let change = operators[0].change;
    assert_eq!(operators[0].verdict, Some(Verdict::Unknown { change }));
    assert_eq!(world.applied.len(), 1, "it arrived in the end");
}

/// The answer is lost and so many others write before it can be read back that the history no
/// longer reaches down to the change. Not finding it proves nothing then.
#[test]
fn a_change_below_the_history_stays_unknown() {
    let (mut world, _) = play(1, &[]);
    let mut operator = Operator::new(request(200));
    world.step(&mut operator, Fault::None);
    world.step(&mut operator, Fault::AnswerLost);
    for other in 1..=HISTORY as u8 {
        let mut other = Operator::new(request(other));
        while other.verdict.is_none() {
            world.step(&mut other, Fault::None);
        }
    }
    while operator.verdict.is_none() {
        world.step(&mut operator, Fault::None);
    }
    let change = operator.change;
    assert!(
        world
            .applied
            .iter()
            .any(|document| document.change == change)
    );
    assert_eq!(operator.verdict, Some(Verdict::Unknown { change }));
}

/// The operator reviewed the change against revision 1; meanwhile another made revision 2.
#[test]
fn a_change_reviewed_against_another_revision_is_not_written() {
    let (mut world, _) = play(2, &[]);
    let mut reviewed = request(9);
    reviewed.reviewed_revision = Some(1);
    let mut operator = Operator::new(reviewed);
    while operator.verdict.is_none() {
        world.step(&mut operator, Fault::None);
    }
    assert_eq!(operator.writes, 0);
    assert!(matches!(
        operator.verdict,
        Some(Verdict::Conflict { theirs: Some(_) })
    ));
}

#[test]
fn the_configuration_in_force_is_not_written_again() {
    let (mut world, _) = play(1, &[]);
    let mut again = Operator::new(request(1));
    while again.verdict.is_none() {
        world.step(&mut again, Fault::None);
    }
    assert_eq!(again.verdict, Some(Verdict::Unchanged { revision: 1 }));
    assert_eq!(world.applied.len(), 1);
}

/// The platform was restored and holds the same text as wanted, while the balancers have a later
/// revision with another text in force. "Unchanged" would leave that one in force.
#[test]
fn the_same_text_below_the_balancers_revision_is_written() {
    let (mut world, _) = play(1, &[]);
    let mut above = request(1);
    let in_force = Document {
        revision: 5,
        ..world.applied[0].clone()
    };
    above.draft.in_force = Some(in_force.into());
    let mut operator = Operator::new(above);
    while operator.verdict.is_none() {
        world.step(&mut operator, Fault::None);
    }
    let documents: Vec<&Document> = world.applied.iter().collect();
    assert_eq!(operator.verdict, Some(Verdict::Accepted { revision: 6 }));
    assert_eq!(documents[1].revision, 6);
}

#[test]
fn a_configuration_with_problems_is_refused_unwritten() {
    let mut empty_name = request(1);
    let service = acacia_config::Service::new("", [10, 0, 0, 1], 1, 1);
    empty_name.draft.config = Config::default();
    empty_name.draft.config.add_service(service);
    let mut world = World::default();
    let mut operator = Operator::new(empty_name);
    while operator.verdict.is_none() {
        world.step(&mut operator, Fault::None);
    }
    assert!(matches!(operator.verdict, Some(Verdict::Refused(_))));
    assert_eq!(operator.writes, 0);
}
