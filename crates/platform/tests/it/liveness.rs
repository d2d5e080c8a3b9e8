use std::time::Duration;

use acacia_platform::liveness::Liveness;

/// A slow platform answers some calls late, and replacing its connections would only add load. A
/// connection is silent only if no answer at all was received since the call was sent.
#[test]
fn only_a_connection_with_no_answer_since_the_call_is_silent() {
    let mut connection = Liveness::new(Duration::from_secs(10));
    let unanswered = connection.is_silent(Duration::from_secs(11));
    connection.record_answer(Duration::from_secs(12));
    let answered_since = connection.is_silent(Duration::from_secs(11));
    connection.record_answer(Duration::from_secs(9));
    let after_older_answer = connection.is_silent(Duration::from_secs(11));
    assert!(unanswered);
    assert!(!answered_since);
    assert!(
        !after_older_answer,
        "an older answer must not replace a later one"
    );
}
