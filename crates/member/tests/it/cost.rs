use std::time::Duration;

use acacia_member::{Settings, cost};
use rstest::rstest;

#[rstest]
#[case::largest_in_use(9)]
#[case::small(16)]
#[case::large(64)]
fn heartbeat_traffic_is_constant_and_under_half_the_budget(#[case] group: usize) {
    let settings = Settings::default();

    let cost = cost(&settings, group, 16);

    assert!((cost.sent - 2448.0).abs() < 1.0, "{cost:?}");
    assert!(cost.sent + cost.acknowledgements < 8000.0 / 2.0);
}

#[test]
fn timeouts_leave_the_reserve_that_they_depend_on() {
    let settings = Settings::default();
    for peers in [1, 8, 15, 63] {
        let interval = settings.interval_for(peers);
        assert!(
            settings.freshness_timeout(peers) >= interval * 4,
            "two intervals of echo age, one lost heartbeat, one for delays"
        );
        assert!(
            settings.suspension_threshold(peers) + interval <= settings.freshness_timeout(peers)
        );
        assert!(settings.death_timeout(peers) >= settings.freshness_timeout(peers) + interval * 4);
    }
    assert!(settings.settle_timeout() > settings.freshness_timeout(63));
    assert_eq!(settings.freshness_timeout(8), Duration::from_secs(2));
}
