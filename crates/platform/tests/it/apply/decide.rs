use crate::fixture::cases;
use acacia_config::{
    Config,
    document::{Document, HISTORY},
};
use acacia_platform::apply::Verdict;
use proptest::prelude::*;

use super::{
    fake::{Fault, Operator, Simulation, fault},
    request,
};

/// Runs operators against a store. Each turn executes the next action of one of them with a fault,
/// or a delayed write. Afterwards all operators finish without further faults, and the remaining
/// delayed writes are executed.
fn simulate(operators: u8, turns: &[(u8, Fault)]) -> (Simulation, Vec<Operator>) {
    let mut simulation = Simulation::default();
    let mut all: Vec<_> = (1..=operators).map(|n| Operator::new(request(n))).collect();
    for (number, fault) in turns {
        match all.get_mut(usize::from(*number)) {
            Some(operator) => simulation.step(operator, *fault),
            None => {
                simulation.deliver_delayed();
            }
        }
    }
    for operator in &mut all {
        while operator.verdict.is_none() {
            simulation.step(operator, Fault::None);
        }
    }
    while simulation.deliver_delayed() {}
    (simulation, all)
}

fn turns() -> impl Strategy<Value = Vec<(u8, Fault)>> {
    prop::collection::vec((0_u8..5, fault()), 0..60)
}

proptest! {
    #![proptest_config(cases(1024))]

    /// Operators write concurrently while the store loses answers, delays writes and times out. A
    /// change reported as accepted must have been made once. A change reported as conflicting or
    /// refused must never be made, not even later.
    #[test]
    fn the_reported_outcome_is_correct(turns in turns()) {
        let (simulation, operators) = simulate(4, &turns);
        for operator in operators {
            let made: Vec<_> =
                simulation.applied.iter().filter(|d| d.change == operator.change).collect();
            prop_assert!(operator.writes <= 1, "the write was sent more than once");
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

    /// No change is lost to another that was not based on it: revisions rise by one, and the
    /// history of each document begins with the previous change.
    #[test]
    fn no_change_is_overwritten_without_being_read(turns in turns()) {
        let (simulation, _) = simulate(4, &turns);
        for pair in simulation.applied.windows(2) {
            prop_assert_eq!(pair[1].revision, pair[0].revision + 1);
            prop_assert_eq!(pair[1].history[0].change, pair[0].change);
        }
    }

    /// Two operators read the same state and then write, in any order and with any answer lost.
    /// Exactly one change is made, and it is returned to the other operator.
    #[test]
    fn exactly_one_of_two_concurrent_changes_is_made(
        first in 0_u8..2,
        lost in any::<(bool, bool)>(),
    ) {
        let fault = |lost| if lost { Fault::AnswerLost } else { Fault::None };
        let (one, two) = (first, 1 - first);
        let turns = [(0, Fault::None), (1, Fault::None), (one, fault(lost.0)), (two, fault(lost.1))];
        let (simulation, operators) = simulate(2, &turns);
        let winner = &operators[usize::from(one)];
        let loser = &operators[usize::from(two)];
        prop_assert_eq!(simulation.applied.len(), 1);
        prop_assert_eq!(&winner.verdict, &Some(Verdict::Accepted { revision: 1 }));
        let theirs = Some(Box::new(simulation.applied[0].clone()));
        prop_assert_eq!(&loser.verdict, &Some(Verdict::Conflict { theirs }));
    }
}

/// The answer is lost, and another operator writes before the key is read back. The change is then
/// found only in the history; a check of the newest change alone would report a conflict.
#[test]
fn a_change_that_is_only_in_the_history_is_accepted() {
    let turns = [(0, Fault::None), (0, Fault::AnswerLost)];
    let then = [(1, Fault::None), (1, Fault::None), (1, Fault::None)];
    let (_, operators) = simulate(2, &[&turns[..], &then[..]].concat());
    assert_eq!(
        operators[0].verdict,
        Some(Verdict::Accepted { revision: 1 })
    );
    assert_eq!(
        operators[1].verdict,
        Some(Verdict::Accepted { revision: 2 })
    );
}

/// A write is delayed in the network until after the last read and takes effect later. Reporting it
/// as not accepted would be wrong.
#[test]
fn a_write_in_transit_is_unknown() {
    let (simulation, operators) = simulate(1, &[(0, Fault::None), (0, Fault::Delayed)]);
    let change = operators[0].change;
    assert_eq!(operators[0].verdict, Some(Verdict::Unknown { change }));
    assert_eq!(simulation.applied.len(), 1, "the delayed write took effect");
}

/// The answer is lost, and others write so often before the key is read back that the history no
/// longer includes the change. Its absence then proves nothing.
#[test]
fn a_change_older_than_the_history_is_unknown() {
    let (mut simulation, _) = simulate(1, &[]);
    let mut operator = Operator::new(request(200));
    simulation.step(&mut operator, Fault::None);
    simulation.step(&mut operator, Fault::AnswerLost);
    for other in 1..=HISTORY as u8 {
        let mut other = Operator::new(request(other));
        while other.verdict.is_none() {
            simulation.step(&mut other, Fault::None);
        }
    }
    while operator.verdict.is_none() {
        simulation.step(&mut operator, Fault::None);
    }
    let change = operator.change;
    assert!(
        simulation
            .applied
            .iter()
            .any(|document| document.change == change)
    );
    assert_eq!(operator.verdict, Some(Verdict::Unknown { change }));
}

/// The operator reviewed the change against revision 1; in the meantime another made revision 2.
#[test]
fn a_change_reviewed_against_another_revision_is_not_written() {
    let (mut simulation, _) = simulate(2, &[]);
    let mut reviewed = request(9);
    reviewed.reviewed_revision = Some(1);
    let mut operator = Operator::new(reviewed);
    while operator.verdict.is_none() {
        simulation.step(&mut operator, Fault::None);
    }
    assert_eq!(operator.writes, 0);
    assert!(matches!(
        operator.verdict,
        Some(Verdict::Conflict { theirs: Some(_) })
    ));
}

#[test]
fn the_configuration_in_force_is_not_written_again() {
    let (mut simulation, _) = simulate(1, &[]);
    let mut again = Operator::new(request(1));
    while again.verdict.is_none() {
        simulation.step(&mut again, Fault::None);
    }
    assert_eq!(again.verdict, Some(Verdict::Unchanged { revision: 1 }));
    assert_eq!(simulation.applied.len(), 1);
}

/// The platform was restored from a backup and holds the requested text, while the balancers have a
/// later revision with another text in force. Reporting "unchanged" would leave that one in force.
#[test]
fn the_same_text_is_written_if_the_balancers_have_a_later_revision() {
    let (mut simulation, _) = simulate(1, &[]);
    let mut behind = request(1);
    let in_force = Document {
        revision: 5,
        ..simulation.applied[0].clone()
    };
    behind.draft.in_force = Some(in_force.into());
    let mut operator = Operator::new(behind);
    while operator.verdict.is_none() {
        simulation.step(&mut operator, Fault::None);
    }
    let documents: Vec<&Document> = simulation.applied.iter().collect();
    assert_eq!(operator.verdict, Some(Verdict::Accepted { revision: 6 }));
    assert_eq!(documents[1].revision, 6);
}

#[test]
fn an_invalid_configuration_is_refused_and_not_written() {
    let mut empty_name = request(1);
    let service = acacia_config::Service::new("", [10, 0, 0, 1], 1, 1);
    empty_name.draft.config = Config::default();
    empty_name.draft.config.add_service(service);
    let mut simulation = Simulation::default();
    let mut operator = Operator::new(empty_name);
    while operator.verdict.is_none() {
        simulation.step(&mut operator, Fault::None);
    }
    assert!(matches!(operator.verdict, Some(Verdict::Refused(_))));
    assert_eq!(operator.writes, 0);
}
