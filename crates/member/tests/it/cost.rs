use std::time::Duration;

use acacia_member::{Settings, cost};
use rstest::rstest;

#[rstest]
#[case::today(9)]
#[case::small(16)]
#[case::large(64)]
fn the_cost_is_constant_and_well_under_the_budget(#[case] group: usize) {
    let settings = Settings::default();

    let cost = cost(&settings, group, 16);

    assert!((cost.sent - 2448.0).abs() < 1.0, "{cost:?}");
    assert!(cost.sent + cost.acknowledgements < 8000.0 / 2.0);
}

#[test]
fn the_bounds_leave_room_for_each_other() {
    let settings = Settings::default();
    for peers in [1, 8, 15, 63] {
        let interval = settings.interval_for(peers);
        assert!(
            settings.freshness_timeout(peers) >= interval * 4,
            "two lags, a loss and a delay"
        );
        assert!(
            settings.suspension_threshold(peers) + interval <= settings.freshness_timeout(peers)
        );
        assert!(settings.death_timeout(peers) >= settings.freshness_timeout(peers) + interval * 4);
    }
    assert!(settings.settle_timeout() > settings.freshness_timeout(63));
    assert_eq!(settings.freshness_timeout(8), Duration::from_secs(2));
}
