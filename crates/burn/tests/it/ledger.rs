use std::sync::Arc;

use acacia_burn::{Count, Ledger, Mark, Series, Source};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const NOW: u64 = 1_700_000_000;

fn source(balancer: u16) -> Source {
    Source {
        balancer,
        incarnation: 1,
    }
}

fn good(good: u64) -> Count {
    Count {
        good,
        ..Count::default()
    }
}

/// Generates ledgers with up to 20 entries of three sources over four days.
fn any_ledger() -> impl Strategy<Value = Ledger> {
    let flows = (0u16..3, 0u64..5760, 0usize..2, any::<bool>(), 1u64..100);
    prop::collection::vec(flows, 0..20).prop_map(|flows| {
        let mut ledger = Ledger::default();
        for (balancer, minute, service, paying, count) in flows {
            let name: Arc<str> = ["talkoo-live", "karttapalvelu"][service].into();
            let mark = if paying { Mark::Paying } else { Mark::Trial };
            ledger.add(
                source(balancer),
                NOW + minute * 60,
                &name,
                mark,
                good(count),
            );
        }
        ledger
    })
}

fn merged(a: &Ledger, b: &Ledger) -> Ledger {
    let mut both = a.clone();
    both.merge(b);
    both
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 128,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(0xACAC1A),
        ..ProptestConfig::default()
    })]

    #[test]
    fn merging_is_idempotent_commutative_and_associative(
        a in any_ledger(), b in any_ledger(), c in any_ledger(),
    ) {
        prop_assert_eq!(merged(&a, &a), a.clone());
        prop_assert_eq!(merged(&a, &b), merged(&b, &a));
        prop_assert_eq!(merged(&merged(&a, &b), &c), merged(&a, &merged(&b, &c)));
    }

    #[test]
    fn a_ledger_round_trips_through_json(ledger in any_ledger()) {
        let text = serde_json::to_string(&ledger).expect("encodes");
        prop_assert_eq!(serde_json::from_str::<Ledger>(&text).expect("decodes"), ledger);
    }

    #[test]
    fn a_window_sums_the_flows_within_it(ages in prop::collection::vec(0u64..300_000, 1..40)) {
        let mut series = Series::default();
        let mut ages = ages;
        ages.sort_unstable_by(|a, b| b.cmp(a));
        ages.iter().for_each(|age| series.add(NOW - age, good(1)));
        for (window, width) in [(300, 60), (3600, 60), (21_600, 60), (259_200, 3600)] {
            let within = |limit: u64| ages.iter().filter(|age| **age < limit).count() as u64;
            let sum = series.sum(NOW, window).good;
            prop_assert!((within(window - width)..=within(window)).contains(&sum), "{window}");
        }
    }
}

#[test]
fn a_snapshot_merged_into_its_successor_counts_once() {
    let name: Arc<str> = "matricula".into();
    let mut ledger = Ledger::new(source(1), NOW);
    ledger.add(source(1), NOW, &name, Mark::Paying, good(5));
    let snapshot = ledger.clone();
    ledger.add(source(1), NOW + 1, &name, Mark::Paying, good(2));

    ledger.merge(&snapshot);

    assert_eq!(ledger.sum("matricula", Mark::Paying, NOW + 1, 300), good(7));
}

#[test]
fn memory_is_bounded() {
    let mut series = Series::default();
    (0..10_000).for_each(|minute| series.add(NOW + minute * 60, good(1)));
    assert_eq!(series.len(), 361 + 73);

    let mut ledger = Ledger::new(source(1), NOW);
    for number in 0..2_000 {
        let name: Arc<str> = format!("service-{number}").into();
        ledger.add(source(1), NOW, &name, Mark::Trial, good(1));
    }
    assert_eq!(
        ledger.keys().len(),
        513,
        "further services share one series"
    );
    assert_eq!(
        ledger.sum("(others)", Mark::Trial, NOW, 300).good,
        2_000 - 512
    );

    (2..9).for_each(|id| ledger.merge(&Ledger::new(source(id), NOW + u64::from(id))));
    ledger.limit(3);
    let left: Vec<u16> = ledger.sources().map(|source| source.balancer).collect();
    assert_eq!(left, [6, 7, 8], "the most recent sources");
}
