use std::time::Duration;

use crate::fixture::cases;
use acacia_platform::limit::{Bucket, Rate};
use proptest::prelude::*;

proptest! {
    #![proptest_config(cases(256))]

    /// A client that loops on an error must not starve all others: it makes no more calls than the
    /// limit allows in any interval.
    #[test]
    fn no_interval_has_more_calls_than_the_limit(
        gaps in prop::collection::vec(0_u64..2_000, 1..300),
        per_second in 1.0_f64..50.0,
        burst in 1.0_f64..20.0,
    ) {
        let mut bucket = Bucket::new(Rate { per_second, burst });
        let mut now = Duration::ZERO;
        let mut granted = Vec::new();
        for gap in gaps {
            now += Duration::from_millis(gap);
            if bucket.take(now).is_ok() {
                granted.push(now);
            }
        }
        for (first, from) in granted.iter().enumerate() {
            for (last, to) in granted.iter().enumerate().skip(first) {
                let bound = burst + per_second * (*to - *from).as_secs_f64() + 1e-6;
                prop_assert!((last - first + 1) as f64 <= bound);
            }
        }
    }

    /// A token is available after the wait that the bucket returned.
    #[test]
    fn the_returned_wait_is_long_enough(per_second in 0.5_f64..50.0, burst in 1.0_f64..20.0) {
        let mut bucket = Bucket::new(Rate { per_second, burst });
        let mut now = Duration::from_secs(1);
        let wait = loop {
            if let Err(wait) = bucket.take(now) {
                break wait;
            }
        };
        now += wait + Duration::from_micros(1);
        prop_assert_eq!(bucket.take(now), Ok(()));
    }
}
