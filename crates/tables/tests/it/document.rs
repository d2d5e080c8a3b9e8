use acacia_tables::{Document, Error, MAX_SIZE};
use proptest::prelude::*;
use rstest::rstest;

use crate::fixture::Chain;

#[test]
fn tables_with_two_digit_indexes_round_trip() {
    let chain = Chain::new(200);
    assert_eq!(Document::decode(&chain.text()), Ok(chain.document));
}

/// A stored value that was edited by hand or corrupted must be refused. Otherwise flows would go to
/// a server of another service, or a traffic thread would index past the end of a table.
#[rstest]
#[case::number_unused("\"next_number\":3", "\"next_number\":2")]
#[case::server_missing("1,2:", "1,9:")]
#[case::server_twice("10.1.0.2:6080", "10.1.0.1:6080")]
#[case::numbers_out_of_order("\"number\":2", "\"number\":1")]
#[case::table_longer("1,2:", "1,2:A")]
fn inconsistent_tables_are_refused(#[case] from: &str, #[case] to: &str) {
    let text = Chain::new(2).text();
    assert!(text.contains(from), "{from}");
    let read = Document::decode(&text.replace(from, to));
    let is_refused = matches!(read, Err(Error::Inconsistent(_) | Error::Undecodable(_)));
    assert!(is_refused, "{read:?}");
}

/// The tables of a valid configuration may exceed the store's size limit. Truncating them would
/// remove servers silently.
#[test]
fn tables_too_large_for_the_store_are_an_error() {
    let mut document = Chain::new(1).document;
    document.services = vec![document.services.remove(0); 200];
    let size = document.encode().map(|text| text.len());
    assert!(matches!(size, Err(Error::TooLarge { size }) if size > MAX_SIZE));
}

proptest! {
    /// A stored value that is truncated, corrupted or foreign must not make a balancer panic, as it
    /// would lose its flows.
    #[test]
    fn decoding_never_panics(
        any: String, at: prop::sample::Index, with in "[ -~]{0,3}", truncate: bool,
    ) {
        prop_assert!(Document::decode(&any).is_err());
        let mut text = Chain::new(2).text();
        let at = at.index(text.len());
        let end = if truncate { text.len() } else { at + 1 };
        text.replace_range(at..end, &with);
        if let Ok(read) = Document::decode(&text) {
            prop_assert!(read.encode().is_ok());
        }
    }
}
