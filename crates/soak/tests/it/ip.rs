use acacia_soak::ip::play;
use rstest::rstest;

/// Where packets are IP: balancers are paused, killed and cut off, control connections go silent and
/// strangers hold some. No feed may end, and all balancers must hear each other at the end.
#[rstest]
#[case(1)]
fn a_seed_of_the_ip_transport_keeps_all_promises(#[case] seed: u64) {
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
