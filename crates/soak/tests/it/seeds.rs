use acacia_soak::run::{Plan, play};
use rstest::rstest;

/// A short soak run with faults of balancers, the store, the connections to it, backend servers and
/// routes. Callers must get the answers to their own requests, no request may be executed twice or by
/// another service, and the deployment must recover at the end.
#[rstest]
#[case::first(1, 0)]
#[case::second(2, 0)]
#[case::with_faults_between_balancers(3, 6)]
// Two requests were executed twice: a balancer that had been paused forwarded an old opening and its
// data, and the simulated server (`host` in the adapter) accepted them as a new flow.
#[case::paused_with_an_opening_in_its_queue(323, 0)]
#[tokio::test(flavor = "multi_thread")]
async fn a_seed_violates_no_guarantee(#[case] seed: u64, #[case] mesh: usize) {
    let plan = Plan {
        mesh,
        ..Plan::usual(seed)
    };

    let report = play(plan).await.expect("a deployment that starts");

    assert!(
        report.breaches.is_empty(),
        "{:?}\n{:?}\n{}",
        report.breaches,
        report.faults,
        report.logs.join("\n")
    );
    assert!(report.tally.count("answered") > 200, "{:?}", report.tally);
}

/// Guards against resets of a draining server's open flows as its entry lapses with all others in an outage of
/// the store.
#[tokio::test(flavor = "multi_thread")]
async fn a_draining_server_whose_entry_lapses_keeps_its_flows() {
    let plan = Plan {
        mesh: 4,
        load: 2,
        ..Plan::usual(61_007)
    };

    let report = play(plan).await.expect("a deployment that starts");

    assert!(
        report.breaches.is_empty(),
        "{:?}\n{:?}\n{}",
        report.breaches,
        report.faults,
        report.logs.join("\n")
    );
}
