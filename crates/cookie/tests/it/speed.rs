use std::{sync::Arc, time::Duration};

use acacia_cookie::speed::{Counts, ServerCount, Speeds};

use crate::fixture::ms;

/// Counts of one second in which a server answered five requests.
fn five(server: &str, took: Duration) -> Vec<ServerCount> {
    let server: Arc<str> = server.into();
    let mut counts = Counts::default();
    for _ in 0..5 {
        counts.asked(&server);
        counts.answered(&server, took);
    }
    counts.take(Duration::from_secs(1))
}

fn feed(speeds: &mut Speeds, seen: &[ServerCount]) {
    seen.iter().for_each(|seen| speeds.add(seen));
}

/// A server that takes twice as long must get half as much, or its callers wait while the other one
/// idles.
#[test]
fn a_slow_server_s_factor_follows_its_times() {
    let mut speeds = Speeds::default();
    for second in 1..=20 {
        feed(&mut speeds, &five("fast", ms(20)));
        feed(&mut speeds, &five("slow", ms(40)));
        speeds.tick(Duration::from_secs(second), 0.5, |_| Some(2));
    }

    let factors = speeds.factors(["fast", "slow"]);

    let ratio = factors[0] / factors[1];
    assert!((1.6..2.4).contains(&ratio), "{factors:?}");
}

/// A server turns slow. One balancer of nine sees five of its answers in a second; by these alone new
/// flows would go there for another ten seconds, and each of them waits. With what the peers saw,
/// three seconds are enough.
#[test]
fn what_peers_have_seen_shows_a_slow_server_sooner() {
    let ratio_after = |balancers: u32, seconds: u64| {
        let mut speeds = Speeds::default();
        for second in 1..=20 + seconds {
            let took = if second <= 20 { ms(20) } else { ms(80) };
            for _ in 0..balancers {
                feed(&mut speeds, &five("steady", ms(20)));
                feed(&mut speeds, &five("slow", took));
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

/// A server that has just joined has answered nothing yet. With no factor it would get no flow, and
/// so never show its speed.
#[test]
fn a_server_without_answers_has_the_mean() {
    let mut speeds = Speeds::default();
    for second in 1..=20 {
        feed(&mut speeds, &five("known", ms(20)));
        speeds.tick(Duration::from_secs(second), 0.1, |_| Some(2));
    }

    assert_eq!(speeds.factors(["known", "new"]), [1.0, 1.0]);
}

/// A server starts again under its name, on another VM. What was known of it tells nothing of it now.
#[test]
fn a_server_that_starts_again_is_measured_anew() {
    let mut speeds = Speeds::default();
    for second in 1..=20 {
        feed(&mut speeds, &five("steady", ms(20)));
        feed(&mut speeds, &five("again", ms(60)));
        speeds.tick(Duration::from_secs(second), 0.1, |_| Some(2));
    }
    let before = speeds.factors(["steady", "again"]);

    speeds.forget("again");

    assert!(before[1] < before[0]);
    assert_eq!(speeds.factors(["steady", "again"]), [1.0, 1.0]);
}

/// One measurement is far off. Its server must neither take all flows nor lose all.
#[test]
fn factors_are_bounded() {
    let mut speeds = Speeds::default();
    for second in 1..=20 {
        for (server, took) in [("a", 1), ("b", 5_000), ("c", 20)] {
            feed(&mut speeds, &five(server, ms(took)));
        }
        speeds.tick(Duration::from_secs(second), 0.1, |_| Some(2));
    }

    let factors = speeds.factors(["a", "b", "c"]);

    assert!(factors.iter().all(|factor| (0.4..=2.5).contains(factor)));
}
