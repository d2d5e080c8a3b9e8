//! Effects on callers in a simulation of eight balancers with the real decision code.

use acacia_load::pool::Server;
use rstest::rstest;

use crate::{
    fake::{Fake, Outcome},
    fixture::{PAYING, TRIAL},
};

const SPEEDS: [f64; 6] = [4.0, 1.0, 3.0, 2.0, 1.5, 2.5];
/// Usual demand of paying and trial callers, in fractions of the capacity.
const USUAL: [f64; 2] = [0.5, 0.18];

/// Creates a deployment with settled weights; if `dying`, one of its balancers has just died.
fn settled(seed: u64, dying: bool) -> Fake {
    let mut fake = Fake::new(&SPEEDS, seed);
    fake.run(40.0, USUAL);
    if dying {
        fake.kill();
    }
    fake
}

/// Returns the highest ratio of a server's fraction of flows to its fraction of the total speed.
fn imbalance(fake: &Fake, outcome: &Outcome) -> f64 {
    let sum: f64 = fake.speeds.iter().sum();
    let uses = fake.speeds.iter().enumerate();
    uses.map(|(server, speed)| outcome.part(server) * sum / speed)
        .fold(0.0, f64::max)
}

/// Servers differ in speed, and the speeds aren't configured. With equal weights the slow servers
/// would be overloaded while the fast ones idle.
#[rstest]
fn load_follows_speed(#[values(1, 2)] seed: u64, #[values(false, true)] dying: bool) {
    let mut fake = settled(seed, dying);
    let outcome = fake.run(20.0, USUAL);
    assert!(
        imbalance(&fake, &outcome) < 1.1,
        "{}",
        imbalance(&fake, &outcome)
    );
    assert_eq!(outcome.refused[PAYING], 0);
}

/// Trial demand rises to ten times the usual, possibly while a balancer dies. No paying caller may
/// be refused or wait noticeably longer.
#[rstest]
fn a_flood_of_trial_harms_no_paying_caller(#[values(false, true)] dying: bool) {
    let calm = settled(3, false).run(20.0, USUAL);
    let flood = settled(3, dying).run(20.0, [USUAL[0], 1.8]);
    assert_eq!(flood.refused[PAYING], 0);
    assert!(
        flood.wait() < 1.6 * calm.wait() + 0.02,
        "{} {}",
        flood.wait(),
        calm.wait()
    );
    assert!(
        flood.admitted[TRIAL] > calm.admitted[TRIAL] * 9 / 10,
        "trial callers keep their own share"
    );
}

/// The same where late answers have no known time, as at services that also have live feeds.
#[rstest]
fn a_flood_is_noticed_without_the_times_of_late_answers(#[values(false, true)] dying: bool) {
    let untimed = |seed, dying| {
        let mut fake = Fake::new(&SPEEDS, seed);
        fake.timed_within = Some(0.5);
        fake.run(40.0, USUAL);
        if dying {
            fake.kill();
        }
        fake
    };
    let calm = untimed(3, false).run(20.0, USUAL);
    let flood = untimed(3, dying).run(20.0, [USUAL[0], 1.8]);
    assert_eq!(flood.refused[PAYING], 0);
    assert!(
        flood.wait() < 1.6 * calm.wait() + 0.02,
        "{} {}",
        flood.wait(),
        calm.wait()
    );
    assert!(flood.refused[TRIAL] > 0);
}

/// Trial callers have borrowed the whole idle share, and then paying callers return. None of these
/// may be refused or wait long.
#[rstest]
fn returning_paying_callers_get_their_share(#[values(false, true)] dying: bool) {
    let mut fake = settled(4, false);
    let quiet = fake.run(20.0, [0.001, 1.8]);
    assert!(quiet.goodput > 0.6, "idle share is lent: {}", quiet.goodput);
    if dying {
        fake.kill();
    }
    let first = fake.run(2.0, [0.5, 1.8]);
    let later = fake.run(20.0, [0.5, 1.8]);
    assert_eq!(first.refused[PAYING] + later.refused[PAYING], 0);
    assert!(later.wait() < 0.4, "{}", later.wait());
}

/// A server hangs while its kernel still accepts connections and its health endpoint reports no
/// failure. Flows placed there get no answer, so after a few seconds no more may be placed there.
#[rstest]
fn a_hung_server_is_ejected(#[values(false, true)] dying: bool) {
    let mut fake = settled(5, dying);
    fake.factors[0] = 0.0;
    fake.run(4.0, USUAL);
    let outcome = fake.run(6.0, USUAL);
    assert_eq!(outcome.placed[0], 0);
    assert_eq!(outcome.refused[PAYING], 0);
}

/// A server becomes four times as slow, then recovers. Its fraction of the flows must fall within
/// seconds to about its capacity, and return gradually, without oscillation.
#[rstest]
fn a_slow_server_gets_fewer_flows_until_it_recovers(#[values(false, true)] dying: bool) {
    let mut fake = settled(6, dying);
    let usual = fake.run(5.0, USUAL).part(0);
    fake.factors[0] = 0.25;
    fake.run(5.0, USUAL);
    let slow = fake.run(5.0, USUAL).part(0);
    assert!(slow < usual * 0.5, "{usual} {slow}");
    fake.factors[0] = 1.0;
    fake.run(40.0, USUAL);
    let parts: Vec<f64> = (0..5).map(|_| fake.run(4.0, USUAL).part(0)).collect();
    assert!(
        parts.iter().all(|part| (part / usual - 1.0).abs() < 0.2),
        "{usual} {parts:?}"
    );
}

/// A server joins cold, at a tenth of its speed, and all balancers learn of it at the same time. If
/// they sent it its full fraction of flows, the first callers would wait for it to warm up.
#[rstest]
fn a_cold_server_ramps_up(#[values(false, true)] dying: bool) {
    let mut fake = Fake::new(&SPEEDS, 7);
    fake.each(|controller| controller.set_leaving(Server(0), true));
    fake.run(40.0, [0.35, 0.1]);
    if dying {
        fake.kill();
    }
    fake.each(|controller| controller.set_leaving(Server(0), false));
    let mut parts = Vec::new();
    for step in 0..10 {
        fake.factors[0] = (0.1 + 0.15 * f64::from(step)).min(1.0);
        let outcome = fake.run(4.0, [0.35, 0.1]);
        assert!(outcome.wait() < 0.6, "{step} {}", outcome.wait());
        assert_eq!(outcome.refused[PAYING], 0);
        parts.push(outcome.part(0));
    }
    assert!(parts[0] < 0.06, "{parts:?}");
    assert!(parts[9] > 0.2, "{parts:?}");
}

/// All health endpoints report a failure, for example after a faulty rollout of the endpoints, while
/// the servers work. If the endpoints alone decided, the service would be left without servers.
#[test]
fn wrong_health_endpoints_empty_nothing() {
    let mut fake = settled(8, false);
    (0..6).for_each(|server| fake.each(|controller| controller.set_health(Server(server), false)));
    let outcome = fake.run(20.0, USUAL);
    assert_eq!(outcome.refused[PAYING], 0);
    assert!(
        imbalance(&fake, &outcome) < 1.15,
        "{}",
        imbalance(&fake, &outcome)
    );
}

/// Balancers get no more samples, so they don't know speeds or capacity. Weights must become equal,
/// and outdated measurements must not cause refusals at saturation.
#[test]
fn without_samples_weights_become_equal_and_nobody_is_refused() {
    let mut fake = settled(9, false);
    fake.visible = 0.0;
    fake.run(60.0, [0.3, 0.1]);
    let outcome = fake.run(5.0, [0.3, 0.9]);
    assert_eq!(outcome.refused[PAYING], 0);
    assert!(
        fake.weights.iter().all(|weight| (weight - 1.0).abs() < 0.1),
        "{:?}",
        fake.weights
    );
}

/// Demand is twice the capacity. Admitted callers must be served soon, the others must get different
/// times to retry, and the servers must stay busy.
#[rstest]
fn saturation_keeps_goodput(#[values(false, true)] dying: bool) {
    let mut fake = settled(10, dying);
    fake.run(20.0, [1.2, 0.8]);
    let outcome = fake.run(20.0, [1.2, 0.8]);
    assert!(outcome.goodput > 0.85, "{}", outcome.goodput);
    assert!(outcome.wait() < 1.0, "{}", outcome.wait());
    let (least, most) = outcome
        .after
        .iter()
        .fold((f64::MAX, 0.0f64), |(least, most), after| {
            (least.min(*after), most.max(*after))
        });
    assert!(least > 0.4 && most > 2.5 * least, "{least} {most}");
}

/// Every ten seconds, demand is about at capacity for two seconds. Paying callers within their share
/// must not be refused because of a burst, and its queue must be gone before the next one.
#[rstest]
fn a_burst_passes(#[values(false, true)] dying: bool) {
    let mut fake = settled(11, dying);
    for _ in 0..4 {
        let burst = fake.run(2.0, [0.75, 0.2]);
        let calm = fake.run(8.0, [0.4, 0.15]);
        assert_eq!(burst.refused[PAYING] + calm.refused[PAYING], 0);
        assert!(calm.wait() < 0.5, "{}", calm.wait());
    }
}

/// A server resets seven of ten openings. No balancer sees the resets, and without a sign of them
/// callers would still be sent there; after a few seconds most of these flows must go elsewhere.
#[rstest]
fn a_shedding_server_gets_less(#[values(false, true)] dying: bool) {
    let mut fake = settled(12, dying);
    let usual = fake.run(5.0, USUAL).part(0);
    fake.shed = Some((0, 0.7));
    fake.run(6.0, USUAL);
    let outcome = fake.run(10.0, USUAL);
    assert!(outcome.part(0) < usual * 0.6, "{usual} {}", outcome.part(0));
    assert_eq!(outcome.refused[PAYING], 0);
}
