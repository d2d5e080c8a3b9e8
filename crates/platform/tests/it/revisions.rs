use std::sync::Arc;

use crate::fixture::cases;
use acacia_platform::revisions::{Freshness, Highest};
use proptest::prelude::*;

proptest! {
    #![proptest_config(cases(256))]

    /// Answers arrive delayed, duplicated and out of order, from a platform that may have been
    /// restored from a backup. The revisions accepted as current never decrease.
    #[test]
    fn accepted_revisions_never_decrease(answers in prop::collection::vec(0_u64..20, 1..100)) {
        let key: Arc<str> = "key".into();
        let mut revisions = Highest::default();
        let mut highest = 0;
        for revision in answers {
            let freshness = revisions.check(&key, revision);
            let expected = match revision < highest {
                true => Freshness::Stale { seen: highest },
                false => Freshness::Current,
            };
            prop_assert_eq!(freshness, expected);
            highest = highest.max(revision);
            prop_assert_eq!(revisions.highest(&key), highest);
        }
    }
}
