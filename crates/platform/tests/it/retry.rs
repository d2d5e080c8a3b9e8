use std::time::Duration;

use crate::fixture::cases;
use acacia_platform::retry::Schedule;
use proptest::prelude::*;
use rand::SeedableRng as _;
use rand_pcg::Pcg64;

proptest! {
    #![proptest_config(cases(256))]

    /// All clients lose the platform at the same time. Retries that are synchronized or unbounded
    /// would overload it again.
    #[test]
    fn attempts_are_bounded_and_pauses_differ_by_seed(
        seed: u64, tries in 1_u32..40, base in 1_u64..500, cap in 1_u64..5_000,
    ) {
        let cap = Duration::from_millis(cap);
        let schedule = Schedule { tries, base: Duration::from_millis(base), cap };
        let mut random = Pcg64::seed_from_u64(seed);
        let mut other = Pcg64::seed_from_u64(!seed);
        let mut pauses = 0;
        while let Some(pause) = schedule.pause(pauses + 1, &mut random) {
            pauses += 1;
            prop_assert!(pause <= cap);
            prop_assert_ne!(Some(pause), schedule.pause(pauses, &mut other));
        }
        prop_assert_eq!(pauses, tries - 1);
    }
}
