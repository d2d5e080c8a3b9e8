use std::{sync::Arc, time::Duration};

use acacia_cookie::speed::{Count, Counts, Speeds};

use crate::fixture::ms;

/// Counts of one second in which a server answered five requests.
fn five_answers(server: &str, took: Duration) -> Vec<Count> {
    let server: Arc<str> = server.into();
    let mut counts = Counts::default();
    for _ in 0..5 {
        counts.asked(&server);
        counts.answered(&server, took);
    }
    counts.take(Duration::from_secs(1))
}

fn add_all(speeds: &mut Speeds, counts: &[Count]) {
    counts.iter().for_each(|count| speeds.add(count));
}

/// A server that takes twice as long must get half as many flows. Otherwise its callers wait while
/// the other server idles.
#[test]
fn a_slow_server_s_factor_is_proportional_to_its_speed() {
    let mut speeds = Speeds::default();
    for second in 1..=20 {
        add_all(&mut speeds, &five_answers("fast", ms(20)));
        add_all(&mut speeds, &five_answers("slow", ms(40)));
        speeds.tick(Duration::from_secs(second), 0.5, |_| Some(2));
    }

    let factors = speeds.factors(["fast", "slow"]);

    let ratio = factors[0] / factors[1];
    assert!((1.6..2.4).contains(&ratio), "{factors:?}");
}

/// A server becomes slow. One balancer of nine sees five of its answers per second. Based on these
/// alone, new flows would be sent there for another ten seconds and be delayed. With the counts of
/// the peers, three seconds are enough.
#[test]
fn counts_of_peers_reveal_a_slow_server_sooner() {
    let ratio_after = |balancers: u32, seconds: u64| {
        let mut speeds = Speeds::default();
        for second in 1..=20 + seconds {
            let took = if second <= 20 { ms(20) } else { ms(80) };
            for _ in 0..balancers {
                add_all(&mut speeds, &five_answers("steady", ms(20)));
                add_all(&mut speeds, &five_answers("slow", took));
            }
            let visible = f64::from(balancers) / 9.0;
            speeds.tick(Duration::from_secs(second), visible, |_| Some(2));
        }
        let factors = speeds.factors(["steady", "slow"]);
        factors[0] / factors[1]
    };

    let (alone, together) = (ratio_after(1, 3), ratio_after(9, 3));

    assert!(alone < 1.2, "{alone}");
    assert!(together > 2.0, "{together}");
}

/// A server that has just joined has not answered anything yet. Without a factor it would get no
/// flow, and its speed would never be known.
#[test]
fn a_server_without_answers_gets_the_mean_factor() {
    let mut speeds = Speeds::default();
    for second in 1..=20 {
        add_all(&mut speeds, &five_answers("known", ms(20)));
        speeds.tick(Duration::from_secs(second), 0.1, |_| Some(2));
    }

    assert_eq!(speeds.factors(["known", "new"]), [1.0, 1.0]);
}

/// A server restarts under its name on another VM. The speed measured before is no longer valid.
#[test]
fn the_speed_of_a_restarted_server_is_discarded() {
    let mut speeds = Speeds::default();
    for second in 1..=20 {
        add_all(&mut speeds, &five_answers("steady", ms(20)));
        add_all(&mut speeds, &five_answers("restarted", ms(60)));
        speeds.tick(Duration::from_secs(second), 0.1, |_| Some(2));
    }
    let before = speeds.factors(["steady", "restarted"]);

    speeds.forget("restarted");

    assert!(before[1] < before[0]);
    assert_eq!(speeds.factors(["steady", "restarted"]), [1.0, 1.0]);
}

/// A measurement is far off. Its server must neither get all flows nor lose all of them.
#[test]
fn factors_are_bounded() {
    let mut speeds = Speeds::default();
    for second in 1..=20 {
        for (server, took) in [("a", 1), ("b", 5_000), ("c", 20)] {
            add_all(&mut speeds, &five_answers(server, ms(took)));
        }
        speeds.tick(Duration::from_secs(second), 0.1, |_| Some(2));
    }

    let factors = speeds.factors(["a", "b", "c"]);

    assert!(factors.iter().all(|factor| (0.4..=2.5).contains(factor)));
}
