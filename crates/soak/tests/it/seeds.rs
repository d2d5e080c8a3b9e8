use acacia_soak::run::{Plan, play};
use rstest::rstest;

/// A short run of the soak: processes are killed, paused and replaced, the store and the ways to it
/// fail, servers drain and fall silent, routes go and come. Callers must get whole answers of their
/// own, no request may run twice or at another service, and all must be well again at the end.
#[rstest]
#[case::first(1, 0)]
#[case::second(2, 0)]
#[case::with_faults_between_balancers(3, 6)]
// Two requests ran twice: a balancer that was paused sent an old opening and its data on, and the
// stand-in of the server took them for a new flow (adapter: `host`).
#[case::paused_with_an_opening_in_its_queue(323, 0)]
#[tokio::test(flavor = "multi_thread")]
async fn a_seed_keeps_all_promises(#[case] seed: u64, #[case] mesh: usize) {
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
