use acacia_load::{gate::Gate, limits::Limits, plan::Plan, pool::Mark, refuse::Reason};
use proptest::prelude::*;
use rand_pcg::Pcg64;
use rstest::rstest;

use crate::fixture::{PAYING, TRIAL, class, plan, pool, rng, seconds};

/// Numbers of admitted and refused flows, by class.
#[derive(Debug, Default, Clone)]
struct Outcome {
    admitted: Vec<u32>,
    refused: Vec<u32>,
}

/// Simulates Poisson arrivals at the given rates between `from` and `to` seconds.
fn run(
    gate: &mut Gate,
    plan: &Plan,
    rates: &[f64],
    (from, to): (f64, f64),
    rng: &mut Pcg64,
) -> Outcome {
    let sum: f64 = rates.iter().sum();
    let mut outcome = Outcome {
        admitted: vec![0; rates.len()],
        refused: vec![0; rates.len()],
    };
    let mut now = from;
    loop {
        now -= rng.random::<f64>().max(1e-12).ln() / sum;
        if now >= to {
            return outcome;
        }
        let mut pick = rng.random_range(0.0..sum);
        let class = rates.iter().position(|rate| {
            pick -= rate;
            pick < 0.0
        });
        let class = class.unwrap_or(0);
        match gate.admit(class, plan, seconds(now), rng) {
            Ok(()) => outcome.admitted[class] += 1,
            Err(_) => outcome.refused[class] += 1,
        }
    }
}

proptest! {
    #![proptest_config(crate::fixture::config())]

    /// Trial demand is up to ten times the capacity, before and while paying callers arrive at a rate
    /// within their share. If borrowing had priority over the guarantee, paying callers would be
    /// refused.
    #[test]
    fn paying_within_its_share_is_never_refused_by_a_flood(
        seed: u64,
        total in 50.0..3_000.0f64,
        use_of_share in 0.05..0.8f64,
        flood in 1.0..10.0f64,
        quiet in prop_oneof![Just(0.0), Just(3_600.0)],
    ) {
        let pool = pool(4);
        let plan = plan(&pool, total);
        let mut gate = Gate::new(&pool, Limits::default());
        let mut rng = rng(seed);
        let trial = total * flood;
        run(&mut gate, &plan, &[0.0, trial], (quiet, quiet + 2.0), &mut rng);
        let paying = total * pool.fraction(PAYING) * use_of_share;
        let outcome =
            run(&mut gate, &plan, &[paying, trial], (quiet + 2.0, quiet + 7.0), &mut rng);
        prop_assert_eq!(outcome.refused[PAYING], 0);
    }

    /// Whatever the demand, a thread admits no more than its rates and a bounded burst. So all
    /// balancers together can't overload the servers, however old the counts behind the plan are.
    #[test]
    fn admission_is_bounded_by_the_rates_and_a_burst(
        seed: u64,
        total in 50.0..2_000.0f64,
        demands in [0.0..20_000.0f64, 1.0..20_000.0f64],
    ) {
        let pool = pool(4);
        let plan = plan(&pool, total);
        let limits = Limits::default();
        let mut gate = Gate::new(&pool, limits.clone());
        let outcome = run(&mut gate, &plan, &demands, (0.0, 3.0), &mut rng(seed));
        let admitted = f64::from(outcome.admitted.iter().sum::<u32>());
        let burst = total * limits.burst.as_secs_f64() + 4.0 * limits.least;
        prop_assert!(admitted <= total * 3.0 + burst);
    }

    /// One service of a pool gets far more demand than its share. The flows of the others, which are
    /// within their shares, must be admitted.
    #[test]
    fn a_service_within_its_share_is_not_harmed_by_another(
        seed: u64,
        shares in prop::collection::vec(0.2..3.0f64, 2..6),
        total in 200.0..2_000.0f64,
    ) {
        prop_assert_eq!(refused_within_shares(seed, &shares, total), 0);
    }
}

/// Returns the number of refused flows of services within their shares while the first service
/// floods the pool.
fn refused_within_shares(seed: u64, shares: &[f64], total: f64) -> u32 {
    let mut pool = pool(4);
    pool.classes = shares
        .iter()
        .map(|share| class(Mark::Paying, *share))
        .collect();
    let plan = plan(&pool, total);
    let mut demands: Vec<f64> = (0..shares.len())
        .map(|class| 0.7 * total * pool.fraction(class))
        .collect();
    demands[0] = 10.0 * total;
    let mut gate = Gate::new(&pool, Limits::default());
    let outcome = run(&mut gate, &plan, &demands, (0.0, 4.0), &mut rng(seed));
    outcome.refused[1..].iter().sum()
}

/// A service has a share of six flows per second at this thread. A dozen random arrivals in a short
/// time once overran its bucket of 8 flows, so callers within their share were refused; the property
/// test above found it.
#[test]
fn a_small_service_is_not_refused_by_chance() {
    let shares = [
        2.2670318805685334,
        0.2,
        0.202104209766913,
        2.4501788729727587,
        1.8639439496503196,
    ];
    assert_eq!(
        refused_within_shares(8958416674282792030, &shares, 200.0),
        0
    );
}

/// Only one class has demand. The idle share of the other must be lent to it, since refusals while
/// capacity is idle help nobody; for trial callers, that is several times their own share.
#[rstest]
#[case(TRIAL)]
#[case(PAYING)]
fn idle_share_is_lent(#[case] busy: usize) {
    let pool = pool(4);
    let plan = plan(&pool, 1_000.0);
    let mut gate = Gate::new(&pool, Limits::default());
    let mut demands = [0.0, 0.0];
    demands[busy] = 5_000.0;

    let outcome = run(&mut gate, &plan, &demands, (0.0, 10.0), &mut rng(1));

    let rate = f64::from(outcome.admitted[busy]) / 10.0;
    assert!(rate > 980.0, "{rate}");
    assert!(rate < 1_150.0, "{rate}");
}

/// While a few paying callers are active, trial callers may borrow all but the headroom, which keeps
/// the waits of paying callers short.
#[test]
fn the_headroom_is_not_lent_while_paying_callers_are_active() {
    let pool = pool(4);
    let plan = plan(&pool, 1_000.0);
    let mut gate = Gate::new(&pool, Limits::default());

    let outcome = run(&mut gate, &plan, &[20.0, 5_000.0], (0.0, 10.0), &mut rng(1));

    let rate = f64::from(outcome.admitted[PAYING] + outcome.admitted[TRIAL]) / 10.0;
    assert_eq!(outcome.refused[PAYING], 0);
    assert!(rate > 0.98 * 750.0 / 0.95, "{rate}");
    assert!(rate < 1.10 * 750.0 / 0.95, "{rate}");
}

/// Paying callers return while trial callers have borrowed the whole idle share. Within a second,
/// trial callers must be limited to the remainder, although the plan is still the same.
#[test]
fn returning_paying_callers_get_their_share_at_once() {
    let pool = pool(4);
    let plan = plan(&pool, 1_000.0);
    let mut gate = Gate::new(&pool, Limits::default());
    let mut rng = rng(2);
    run(&mut gate, &plan, &[0.0, 8_000.0], (0.0, 60.0), &mut rng);

    let first = run(&mut gate, &plan, &[780.0, 8_000.0], (60.0, 61.0), &mut rng);
    let later = run(&mut gate, &plan, &[780.0, 8_000.0], (61.0, 71.0), &mut rng);

    assert_eq!(first.refused[PAYING] + later.refused[PAYING], 0);
    assert!(first.admitted[TRIAL] < 300, "{first:?}");
    assert!(later.admitted[TRIAL] < 2_200, "{later:?}");
    assert!(
        later.admitted[TRIAL] > 1_900,
        "trial callers keep their guaranteed fifth: {later:?}"
    );
}

/// Thousands of callers are refused at the same time. With equal retry times, they would return as
/// the same burst.
#[test]
fn retry_times_are_spread() {
    let pool = pool(4);
    let mut plan = plan(&pool, 100.0);
    plan.rates
        .as_mut()
        .expect("the fixture sets rates")
        .pressure = 4.0;
    let mut gate = Gate::new(&pool, Limits::default());
    let mut rng = rng(3);
    let mut buckets = [0u32; 10];
    for _ in 0..4_000 {
        if let Err(refusal) = gate.admit(TRIAL, &plan, seconds(1.0), &mut rng) {
            assert_eq!(refusal.reason, Reason::Share);
            let place = (refusal.after.as_secs_f64() - 2.0) / 4.0 * 10.0;
            buckets[place as usize] += 1;
        }
    }
    assert!(
        buckets.iter().all(|count| (300..500).contains(count)),
        "{buckets:?}"
    );
}

/// Trial callers hold all connections of their share. Borrowed connections couldn't be given back,
/// since feeds are never cut off, so further trial flows are refused even while work is idle. Paying
/// callers are still admitted.
#[test]
fn connections_are_not_lent_to_trial() {
    let pool = pool(4);
    let mut plan = Plan::unrestricted(&pool);
    plan.number = 1;
    plan.connections = vec![None, Some(3)];
    let mut gate = Gate::new(&pool, Limits::default());
    let mut rng = rng(4);

    let trial = run(&mut gate, &plan, &[0.0, 100.0], (0.0, 1.0), &mut rng);
    let paying = run(&mut gate, &plan, &[100.0, 0.0], (1.0, 2.0), &mut rng);

    assert_eq!(trial.admitted[TRIAL], 3);
    assert_eq!(paying.refused[PAYING], 0);
}
