use acacia_soak::ip::play;
use rstest::rstest;

/// A soak run with the IP transport: balancers are paused, killed and cut off, control connections go
/// silent, and unauthenticated clients hold some. No feed may end, and all balancers must receive
/// messages from each other at the end.
#[rstest]
#[case(1)]
fn a_seed_with_the_ip_transport_violates_no_guarantee(#[case] seed: u64) {
    const FAULTS: usize = 10;

    let report = play(seed, FAULTS).expect("a deployment that starts");

    assert!(
        report.breaches.is_empty(),
        "{:?}\n{:?}\n{}",
        report.breaches,
        report.faults,
        report.logs.join("\n")
    );
}
