use acacia_burn::{Count, Ledger, Mark, Objective, Report, Severity, Source, report};
use rstest::rstest;

const NOW: u64 = 1_700_000_000;
const MINUTE: u64 = 60;

/// The report of three balancers with `minutes` of counts each. `failing` returns the share of
/// failed flows by minutes before now.
fn report_of_three(minutes: u64, failing: impl Fn(u64) -> f64) -> Report {
    report_of(&[minutes; 3], failing)
}

/// The report of one balancer for each element of `minutes_covered`.
fn report_of(minutes_covered: &[u64], failing: impl Fn(u64) -> f64) -> Report {
    let mut ledger = Ledger::default();
    for (balancer, minutes) in (1..).zip(minutes_covered.iter().copied()) {
        let source = Source {
            balancer,
            incarnation: 1,
        };
        ledger.merge(&Ledger::new(source, NOW - minutes * MINUTE));
        for ago in (0..minutes).rev() {
            let broken = (failing(ago) * 1000.0) as u64;
            let count = Count {
                good: 1000 - broken,
                broken,
                ..Count::default()
            };
            ledger.add(
                source,
                NOW - ago * MINUTE,
                &"talkoo-live".into(),
                Mark::Paying,
                count,
            );
        }
    }
    report(&ledger, NOW, &[], |_, mark| Objective::default_for(mark))
}

fn severities(report: &Report) -> Vec<Severity> {
    report.rows[0]
        .alerts
        .iter()
        .map(|alert| alert.rule.severity)
        .collect()
}

#[rstest]
#[case::no_failures(|_| 0.0, &[])]
#[case::within_the_objective(|_| 0.0005, &[])]
#[case::current_outage(|ago| if ago < 60 { 0.1 } else { 0.0 }, &[Severity::Page, Severity::Page, Severity::Ticket])]
#[case::recent_outage(|ago| if (10..60).contains(&ago) { 0.1 } else { 0.0 }, &[Severity::Page, Severity::Ticket])]
#[case::old_outage(|ago| if (600..660).contains(&ago) { 0.1 } else { 0.0 }, &[])]
#[case::short_spike(|ago| if ago < 2 { 0.05 } else { 0.0 }, &[])]
#[case::slow_burn(|_| 0.007, &[Severity::Page, Severity::Ticket])]
#[case::low_burn(|_| 0.002, &[Severity::Ticket])]
fn rules_fire_by_rate_and_duration_of_failures(
    #[case] failing: fn(u64) -> f64,
    #[case] expected: &[Severity],
) {
    let report = report_of_three(4 * 24 * 60, failing);

    assert_eq!(severities(&report), expected);
}

/// All balancers were replaced a few minutes ago, so the long windows are hardly covered. A few
/// failures must not page anybody, but a total outage must.
#[rstest]
#[case::few_failures(5, 0.02, false)]
#[case::total_outage(3, 1.0, true)]
fn recently_started_balancers_alert_on_outages_only(
    #[case] minutes: u64,
    #[case] share: f64,
    #[case] pages: bool,
) {
    let report = report_of_three(minutes, |_| share);

    let hour = report.rows[0].windows[2];
    assert_eq!((hour.seconds, hour.covered), (3600, minutes * MINUTE));
    assert!(
        hour.burn.expect("flows") >= 14.4,
        "the rate of the counted flows"
    );
    assert_eq!(severities(&report).contains(&Severity::Page), pages);
}

/// All balancers but one were replaced five minutes ago, and since then a tenth of the flows break.
/// The burn rate over the hour is 8, although most counts of that hour are from its last minutes.
#[test]
fn recently_started_balancers_do_not_inflate_the_burn_rate() {
    let minutes_covered = [600, 5, 5, 5, 5, 5, 5, 5, 5];

    let report = report_of(&minutes_covered, |ago| if ago < 5 { 0.1 } else { 0.0 });

    let hour = report.rows[0].windows[2];
    assert!(hour.burn.expect("flows") > 14.4);
    assert!(
        (7.0..9.5).contains(&hour.certain.expect("flows")),
        "{hour:?}"
    );
    assert_eq!(severities(&report), []);
}

/// A balancer handed its counts to its replacement before it stopped, so the hour is covered.
#[test]
fn counts_of_a_stopped_balancer_cover_the_window() {
    let (gone, here) = (
        Source {
            balancer: 1,
            incarnation: 1,
        },
        Source {
            balancer: 2,
            incarnation: 1,
        },
    );
    let count = Count {
        good: 80,
        broken: 20,
        ..Count::default()
    };
    let mut ledger = Ledger::new(gone, NOW - 7200);
    ledger.merge(&Ledger::new(here, NOW - 1800));
    for ago in (0..120).rev() {
        let source = if ago >= 30 { gone } else { here };
        ledger.add(
            source,
            NOW - ago * MINUTE,
            &"talkoo-live".into(),
            Mark::Paying,
            count,
        );
    }

    let report = report(&ledger, NOW, &[], |_, mark| Objective::default_for(mark));

    let hour = report.rows[0].windows[2];
    assert!(hour.certain > hour.burn.map(|burn| burn * 0.95), "{hour:?}");
    assert!(severities(&report).contains(&Severity::Page));
}

#[test]
fn a_single_broken_flow_fires_no_rule() {
    let source = Source {
        balancer: 1,
        incarnation: 1,
    };
    let mut ledger = Ledger::new(source, NOW - 7200);
    let count = Count {
        good: 1,
        broken: 1,
        ..Count::default()
    };
    ledger.add(source, NOW, &"talkoo-live".into(), Mark::Paying, count);

    let report = report(&ledger, NOW, &[], |_, mark| Objective::default_for(mark));

    assert_eq!(severities(&report), []);
}

#[test]
fn a_recently_started_balancer_reduces_the_covered_time() {
    let mut ledger = Ledger::new(
        Source {
            balancer: 1,
            incarnation: 1,
        },
        NOW - 1800,
    );
    ledger.merge(&Ledger::new(
        Source {
            balancer: 2,
            incarnation: 1,
        },
        NOW - 100,
    ));
    ledger.add(
        Source {
            balancer: 2,
            incarnation: 1,
        },
        NOW,
        &"a".into(),
        Mark::Trial,
        Count::default(),
    );
    let old = Source {
        balancer: 1,
        incarnation: 1,
    };
    ledger.touch(old, NOW);

    let report = report(&ledger, NOW, &[], |_, mark| Objective::default_for(mark));

    let hour = report.rows[0].windows[2];
    assert_eq!((hour.covered, hour.partly, hour.burn), (100, 1800, None));
}
