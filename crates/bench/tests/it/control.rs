use std::time::Duration;

use acacia_bench::control::{
    fleet::{Fleet, wire_size},
    line::Line,
    size::Size,
};
use rstest::rstest;

/// Expected values are calculated by hand from the sums of squares, 5 (x) and 5 (y), and of
/// products, 4.
#[test]
fn fit_of_scattered_points_minimizes_squared_error() {
    let line = Line::fit([(0.0, 1.0), (1.0, 3.0), (2.0, 2.0), (3.0, 4.0)]);
    assert!((line.slope - 0.8).abs() < 1e-12);
    assert!((line.intercept - 1.3).abs() < 1e-12);
    assert!((line.r_squared - 0.64).abs() < 1e-12);
}

#[rstest]
#[case::no_points(&[], 0.0)]
#[case::one_x(&[(2.0, 4.0), (2.0, 6.0)], 5.0)]
fn fit_without_two_distinct_x_has_zero_slope(#[case] points: &[(f64, f64)], #[case] mean: f64) {
    let line = Line::fit(points.iter().copied());
    assert_eq!((line.slope, line.intercept), (0.0, mean));
}

/// Headers count once per segment, that is, for each 1,448 bytes of frame and length prefix.
#[rstest]
#[case(0, 60)]
#[case(1_440, 1_500)]
#[case(1_441, 1_553)]
fn wire_size_counts_headers_per_segment(#[case] frame: usize, #[case] bytes: usize) {
    assert_eq!(wire_size(frame), bytes);
}

#[test]
fn idle_balancers_serve_and_send_only_heartbeats() -> anyhow::Result<()> {
    let size = Size::default().with("peers", 3);
    let mut fleet = Fleet::new(&size, 1)?;
    fleet.run(Duration::from_secs(20), &size);
    fleet.reset();
    fleet.run(Duration::from_secs(10), &size);
    let cost = fleet.cost();
    assert_eq!(fleet.serving(), 3);
    assert!(cost.heartbeats > 0.0);
    assert_eq!(cost.rest, 0.0);
    // Two balancers watch the store, each with one watch of 2 s on each of the two keys.
    assert!((cost.calls - 2.0).abs() < 0.5, "{cost}");
    Ok(())
}

#[test]
fn a_change_reaches_balancers_that_do_not_watch() -> anyhow::Result<()> {
    let size = Size::default().with("peers", 4).with("changes", 6);
    let mut fleet = Fleet::new(&size, 1)?;
    fleet.run(Duration::from_secs(20), &Size { changes: 0, ..size });
    fleet.reset();
    fleet.run(Duration::from_secs(12), &size);
    assert!(fleet.cost().rest > 0.0, "{}", fleet.cost());
    Ok(())
}
