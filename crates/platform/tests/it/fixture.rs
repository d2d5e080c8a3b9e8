use proptest::{prelude::ProptestConfig, test_runner::RngSeed};
use std::{net::SocketAddr, sync::Arc, time::Duration};

use acacia_platform::{Client, Options, limit::Rate, retry::Schedule, store::Swap};
use acacia_stand::platform::Stand;

/// The given number of cases from a fixed seed, so that the result is the same on every run.
pub fn cases(cases: u32) -> ProptestConfig {
    ProptestConfig {
        cases,
        rng_seed: RngSeed::Fixed(0xacac1a),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

/// The loopback address with any free port.
pub fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

/// Starts a stand-in for the platform on free ports.
pub async fn stand() -> Stand {
    Stand::start(any_port(), any_port())
        .await
        .expect("free ports")
}

/// Options without an effective rate limit. The deadline is long enough for a busy machine, and
/// short enough for tests that wait until it has passed.
pub fn options() -> Options {
    Options {
        deadline: Duration::from_secs(1),
        watch: Duration::from_millis(200),
        retry: Schedule {
            tries: 3,
            base: Duration::from_millis(5),
            cap: Duration::from_millis(20),
        },
        rate: Rate {
            per_second: 1e6,
            burst: 1e6,
        },
        seed: 1,
    }
}

/// A client of the stand-in.
pub fn client(stand: &Stand) -> Client {
    Client::new(stand.address(), options())
}

/// A client for tests in which no call times out, however busy the machine is.
pub fn client_with_long_deadline(stand: &Stand) -> Client {
    let deadline = Duration::from_secs(30);
    let options = Options {
        deadline,
        ..options()
    };
    Client::new(stand.address(), options)
}

pub fn key() -> Arc<str> {
    "key".into()
}

/// A write of `value` that expects the revision `expected`.
pub fn swap(expected: u64, value: &str) -> Swap {
    Swap {
        key: key(),
        expected,
        value: Some(value.into()),
        lease: None,
    }
}
