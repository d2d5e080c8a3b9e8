use std::time::Duration;

use acacia_load::{
    plan::{Plan, Rates, Standing},
    pool::{Class, Host, Mark, Pool},
};
use proptest::test_runner::{Config, RngSeed};
use rand::SeedableRng as _;
use rand_pcg::Pcg64;

/// Index of the paying class in [`pool`].
pub const PAYING: usize = 0;
/// Index of the trial class in [`pool`].
pub const TRIAL: usize = 1;

/// Uses a fixed seed, and few enough cases for a debug build.
pub fn config() -> Config {
    Config {
        cases: 64,
        rng_seed: RngSeed::Fixed(20_261_202),
        failure_persistence: None,
        ..Config::default()
    }
}

pub fn rng(seed: u64) -> Pcg64 {
    Pcg64::seed_from_u64(seed)
}

pub fn seconds(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}

pub fn class(mark: Mark, share: f64) -> Class {
    Class {
        name: "service".into(),
        mark,
        share,
    }
}

/// Creates a pool with a paying class of 4 shares and a trial class of 1.
pub fn pool(servers: usize) -> Pool {
    let host = Host {
        slots: 2,
        connections: 2_000,
    };
    Pool {
        revision: 7,
        hosts: vec![host; servers],
        classes: vec![class(Mark::Paying, 4.0), class(Mark::Trial, 1.0)],
    }
}

/// Creates a plan by which a thread may admit `total` flows per second.
pub fn plan(pool: &Pool, total: f64) -> Plan {
    let own = (0..pool.classes.len()).map(|class| pool.fraction(class) * total);
    let rates = Rates {
        own: own.collect(),
        total,
        lent: total * 0.75 / 0.95,
        pressure: 1.0,
    };
    Plan {
        rates: Some(rates),
        ..Plan::unrestricted(pool)
    }
}

pub fn standing(spill: f64, ejected: bool) -> Standing {
    Standing { spill, ejected }
}
