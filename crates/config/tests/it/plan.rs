use crate::fixture::cases;
use acacia_config::{
    Mark, Server, Service, State,
    plan::{Change, Transition, compare},
};
use proptest::prelude::*;

use crate::fixture::{any_config, config};

#[test]
fn a_drain_is_one_change_with_its_effect() {
    let before = config();
    let mut after = config();
    let drain = State::Drain { deadline: Some(9) };
    assert!(after.update_server("live-2", |server| server.state = drain));
    let plan = compare(&before, &after);
    let transition = Transition {
        from: State::Active,
        to: State::Drain { deadline: Some(9) },
    };
    assert_eq!(
        plan.changes,
        [Change::ServerState("live-2".into(), transition)]
    );
    assert_eq!(plan.effects.len(), 1);
    assert_eq!(plan.effects[0].active, Transition { from: 2, to: 1 });
    assert_eq!(plan.effects[0].slots, Transition { from: 4, to: 2 });
    assert!(
        plan.diff.contains(
            "-live-2 = 10.1.0.2:6080 hervanta\n+live-2 = 10.1.0.2:6080 hervanta drain=9\n"
        )
    );
    assert_eq!(plan.unserved_services().count(), 0);
}

/// An operator drains all servers of a service in one change, which would leave none for new flows.
#[test]
fn a_service_left_without_active_servers_is_reported() {
    let mut after = config();
    for name in ["maps-1", "maps-2"] {
        let drain = State::Drain { deadline: None };
        assert!(after.update_server(name, |server| server.state = drain));
    }
    let plan = compare(&config(), &after);
    let unserved: Vec<_> = plan.unserved_services().map(|e| &*e.service).collect();
    assert_eq!(unserved, ["maps"]);
}

#[test]
fn a_new_address_moves_a_service_and_replaces_a_server() {
    let mut after = acacia_config::Config::default();
    after
        .add_service(Service::new("live", [10, 77, 0, 9], 443, 60).callers(Mark::Paying))
        .add_server(Server::new(
            "live-1",
            "live",
            ([10, 1, 0, 9], 6080).into(),
            "hervanta",
        ));
    let plan = compare(&config(), &after);
    for expected in [
        Change::ServiceMoved("live".into()),
        Change::ShareChanged("live".into(), Transition { from: 70, to: 60 }),
        Change::ServiceRemoved("maps".into()),
        Change::ServerReplaced("live-1".into()),
        Change::ServerRemoved("live-2".into()),
        Change::CustomerRemoved("crew".into()),
    ] {
        assert!(plan.changes.contains(&expected), "{expected}");
    }
}

proptest! {
    #![proptest_config(cases(256))]

    /// Guards against changes that a plan does not show: it lists changes, and has a text diff, if
    /// and only if the configurations differ.
    #[test]
    fn changes_are_listed_if_and_only_if_configurations_differ(
        one in any_config(), two in any_config(),
    ) {
        for (before, after) in [(&one, &two), (&two, &one), (&one, &one)] {
            let plan = compare(before, after);
            prop_assert_eq!(plan.is_empty(), before == after);
            prop_assert_eq!(plan.diff.is_empty(), before == after);
        }
    }
}
