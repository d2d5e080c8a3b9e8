use std::time::Duration;

use acacia_platform::liveness::Liveness;

/// A slow platform answers some calls late. Replacing its connections for that would only add
/// load; what condemns a connection is that nothing came in since the call was sent.
#[test]
fn only_a_connection_with_no_answer_since_the_call_is_silent() {
    let mut connection = Liveness::new(Duration::from_secs(10));
    let untouched = connection.is_silent(Duration::from_secs(11));
    connection.record_answer(Duration::from_secs(12));
    let heard_since = connection.is_silent(Duration::from_secs(11));
    connection.record_answer(Duration::from_secs(9));
    let late_news = connection.is_silent(Duration::from_secs(11));
    assert!(untouched);
    assert!(!heard_since);
    assert!(!late_news, "the last answer stays the latest");
}
