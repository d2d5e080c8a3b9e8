use std::time::Duration;

use acacia_bench::members::fleet::Fleet;

const BALANCERS: usize = 160;
const NEAR: usize = 40;
const LOSS: f64 = 0.02;
const LIMIT: Duration = Duration::from_secs(30);

/// A fleet in four data centres whose balancers know each other.
fn fleet(seed: u64) -> Fleet {
    let mut fleet = Fleet::new(BALANCERS, NEAR, LOSS, seed);
    fleet.start_all();
    let settled = fleet.run_while(LIMIT, |fleet| fleet.is_settled(true));
    assert!(settled.is_some(), "the fleet finds itself");
    fleet.run_until(Duration::from_secs(15));
    fleet.reset_counts();
    fleet
}

/// Messages are lost now and then. If that led to removals, work would move between balancers, and changes
/// would miss some, although nothing has failed.
#[test]
fn no_living_member_is_removed_while_messages_are_lost() {
    let mut fleet = fleet(1);

    fleet.run_until(fleet.now + Duration::from_secs(120));

    assert_eq!(fleet.tally.lost, 0);
    assert!(fleet.is_settled(true));
}

/// Dead balancers must leave all lists of their data centre within the time that the users give a fleet to
/// become stable.
#[test]
fn dead_members_are_removed_within_eight_seconds() {
    let mut fleet = fleet(2);
    for number in fleet.choose(8) {
        fleet.kill(number);
    }

    let gone = fleet.run_while(LIMIT, |fleet| fleet.is_settled(false));

    assert!(
        gone.is_some_and(|gone| gone <= Duration::from_secs(8)),
        "{gone:?}"
    );
    assert_eq!(fleet.tally.wrong, 0);
}

/// More than half of the balancers lose power and start again. None may stay missing from any list, and
/// no living one may be removed because its peers are gone.
#[test]
fn a_fleet_finds_itself_after_most_balancers_restarted_at_once() {
    let mut fleet = fleet(3);
    let killed = fleet.choose(BALANCERS * 55 / 100);
    for &number in &killed {
        fleet.kill(number);
    }
    fleet.run_until(fleet.now + Duration::from_secs(2));
    for number in killed {
        fleet.start(number, Duration::ZERO);
    }

    let settled = fleet.run_while(LIMIT, |fleet| fleet.is_settled(true));

    assert!(
        settled.is_some_and(|settled| settled <= Duration::from_secs(12)),
        "{settled:?}"
    );
    assert_eq!(fleet.tally.wrong, 0);
}

/// A data centre is cut off for half a minute. Its balancers must keep each other on their lists, and both
/// sides must find each other again.
#[test]
fn a_data_centre_that_was_cut_off_is_found_again() {
    let mut fleet = fleet(4);
    fleet.cut = Some(1);
    fleet.run_until(fleet.now + Duration::from_secs(30));
    assert!(
        fleet.is_settled(false),
        "lists of each data centre are kept"
    );
    fleet.cut = None;

    let healed = fleet.run_while(LIMIT, |fleet| fleet.is_settled(true));

    assert!(
        healed.is_some_and(|healed| healed <= Duration::from_secs(10)),
        "{healed:?}"
    );
    assert_eq!(fleet.tally.wrong, 0);
}

/// What a balancer sends must not grow with its data centre, or a large one would spend its links on
/// membership.
#[test]
fn traffic_does_not_grow_with_the_data_centre() {
    let middle = |near: usize| {
        let mut fleet = Fleet::new(near * 2, near, LOSS, 5);
        fleet.start_all();
        fleet.run_until(Duration::from_secs(30));
        fleet.reset_counts();
        fleet.run_until(fleet.now + Duration::from_secs(20));
        fleet.sent_bytes()[near]
    };

    let (small, large) = (middle(20), middle(80));

    assert!(large < small * 2, "{small} and {large} bytes in 20 s");
}
