use std::sync::Arc;

use crate::fixture::cases;
use acacia_platform::seen::{Seen, Verdict};
use proptest::prelude::*;

proptest! {
    #![proptest_config(cases(256))]

    /// Answers come late, twice and out of order, from a platform that may have been restored.
    /// What is taken never goes back.
    #[test]
    fn answers_that_are_taken_never_go_back(revisions in prop::collection::vec(0_u64..20, 1..100)) {
        let key: Arc<str> = "key".into();
        let mut seen = Seen::default();
        let mut highest = 0;
        for revision in revisions {
            let verdict = seen.judge(&key, revision);
            let expected = match revision < highest {
                true => Verdict::Stale { seen: highest },
                false => Verdict::Current,
            };
            prop_assert_eq!(verdict, expected);
            highest = highest.max(revision);
            prop_assert_eq!(seen.highest(&key), highest);
        }
    }
}
