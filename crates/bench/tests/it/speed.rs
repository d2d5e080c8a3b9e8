use acacia_bench::speed::{median_and_range, scene};
use acacia_flow::{place::by_table, resolve, shard::Limits, shard::Shard, verdict};

#[test]
fn median_and_range_of_measurements() {
    assert_eq!(
        median_and_range(vec![5.0, 1.0, 4.0, 2.0, 3.0]),
        [3.0, 1.0, 5.0]
    );
    assert_eq!(median_and_range(vec![2.0]), [2.0; 3]);
    assert!(median_and_range(Vec::new())[0].is_nan());
}

#[test]
fn same_seed_gives_same_flows() {
    assert_eq!(scene::keys(3, 50, true), scene::keys(3, 50, true));
    assert_ne!(scene::keys(3, 50, true), scene::keys(4, 50, true));
}

/// Guards against `scene::keys` returning flows of the wrong owner: the cases would then measure
/// the other path than the one in their names.
#[test]
fn only_owner_pins_new_flows_off_base() {
    let snapshot = scene::snapshot(true);
    for owned in [true, false] {
        for key in scene::keys(1, 50, owned) {
            let mut shard = Shard::new(Limits::default());
            let packet = scene::opening(&key);
            let arrival = verdict::Arrival::Ingress;
            let now = scene::NOW;
            let verdict = resolve(&snapshot, &mut shard, now, &packet, arrival, &mut by_table);
            assert!(matches!(verdict.action, verdict::Action::Redirect { .. }));
            assert_eq!(shard.pin(&key).is_some(), owned);
        }
    }
}
