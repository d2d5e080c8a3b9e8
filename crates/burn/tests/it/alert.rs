use acacia_burn::{Count, Ledger, Mark, Objective, Report, Severity, Source, report};
use rstest::rstest;

const NOW: u64 = 1_700_000_000;
const MINUTE: u64 = 60;

/// Three balancers with `minutes` of memory; the share that fails is by minutes before now.
fn observed(minutes: u64, failing: impl Fn(u64) -> f64) -> Report {
    observed_by(&[minutes; 3], failing)
}

/// One balancer for each number of minutes of memory.
fn observed_by(memories: &[u64], failing: impl Fn(u64) -> f64) -> Report {
    let mut ledger = Ledger::default();
    for (balancer, minutes) in (1..).zip(memories.iter().copied()) {
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

fn fired(report: &Report) -> Vec<Severity> {
    report.rows[0]
        .alerts
        .iter()
        .map(|alert| alert.rule.severity)
        .collect()
}

#[rstest]
#[case::well(|_| 0.0, &[])]
#[case::just_within(|_| 0.0005, &[])]
#[case::outage_now(|ago| if ago < 60 { 0.1 } else { 0.0 }, &[Severity::Page, Severity::Page, Severity::Ticket])]
#[case::outage_that_ended(|ago| if (10..60).contains(&ago) { 0.1 } else { 0.0 }, &[Severity::Page, Severity::Ticket])]
#[case::long_over(|ago| if (600..660).contains(&ago) { 0.1 } else { 0.0 }, &[])]
#[case::a_blip(|ago| if ago < 2 { 0.05 } else { 0.0 }, &[])]
#[case::slow_burn(|_| 0.007, &[Severity::Page, Severity::Ticket])]
#[case::smoulder(|_| 0.002, &[Severity::Ticket])]
fn rules_fire_as_they_should(#[case] failing: fn(u64) -> f64, #[case] expected: &[Severity]) {
    let report = observed(4 * 24 * 60, failing);

    assert_eq!(fired(&report), expected);
}

/// All balancers were replaced a few minutes ago. What little they remember must not wake
/// somebody over a trifle, nor keep silent about an outage.
#[rstest]
#[case::a_trifle(5, 0.02, false)]
#[case::an_outage(3, 1.0, true)]
fn young_memory_counts_only_what_it_knows(
    #[case] minutes: u64,
    #[case] share: f64,
    #[case] pages: bool,
) {
    let report = observed(minutes, |_| share);

    let hour = report.rows[0].windows[2];
    assert_eq!((hour.seconds, hour.covered), (3600, minutes * MINUTE));
    assert!(
        hour.burn.expect("flows") >= 14.4,
        "the rate over what is known"
    );
    assert_eq!(fired(&report).contains(&Severity::Page), pages);
}

/// All balancers but one were replaced five minutes ago, and since then a tenth of the flows
/// break. That is a burn rate of 8 over the hour, although nearly all that is remembered of that
/// hour is from its last minutes.
#[test]
fn young_balancers_beside_an_old_one_do_not_exaggerate() {
    let memories = [600, 5, 5, 5, 5, 5, 5, 5, 5];

    let report = observed_by(&memories, |ago| if ago < 5 { 0.1 } else { 0.0 });

    let hour = report.rows[0].windows[2];
    assert!(hour.burn.expect("flows") > 14.4);
    assert!(
        (7.0..9.5).contains(&hour.certain.expect("flows")),
        "{hour:?}"
    );
    assert_eq!(fired(&report), []);
}

/// A balancer that left has handed its counts to the one that replaced it, so the hour is known.
#[test]
fn counts_of_a_balancer_that_left_fill_the_window() {
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
    assert!(fired(&report).contains(&Severity::Page));
}

#[test]
fn one_broken_flow_at_night_fires_nothing() {
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

    assert_eq!(fired(&report), []);
}

#[test]
fn a_younger_balancer_shortens_what_is_covered() {
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
