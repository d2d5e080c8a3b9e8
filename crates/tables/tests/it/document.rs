use acacia_tables::{Document, Error, MAX_SIZE};
use proptest::prelude::*;
use rstest::rstest;

use crate::fixture::{Chain, live};

fn encoded(servers: u8) -> String {
    Chain::new(&live(servers)).tables().encode().expect("text")
}

#[test]
fn tables_of_more_servers_than_one_digit_counts_read_back() {
    let chain = Chain::new(&live(200));
    let read = Document::decode(&encoded(200)).expect("a document");
    assert_eq!(&read, chain.tables());
}

/// During an update of the balancers a later version has written the tables. An older one that
/// took what it understands and wrote that back would lose the rest for all of them.
#[test]
fn tables_of_a_later_version_are_an_error_of_their_own() {
    let later = encoded(2).replacen("\"format\":1", "\"format\":2", 1);
    assert_eq!(Document::decode(&later), Err(Error::Later { format: 2 }));
}

/// Somebody edits the stored value by hand, or the store mixes it up. Taken as it is, flows would
/// go to a server of another service, or a traffic thread would look beyond the end of a table.
#[rstest]
#[case::number_unused("\"next_number\":3", "\"next_number\":2")]
#[case::server_missing("1,2:", "1,9:")]
#[case::server_twice("10.1.0.2:6080", "10.1.0.1:6080")]
#[case::numbers_out_of_order("\"number\":2", "\"number\":1")]
fn tables_that_contradict_themselves_are_refused(#[case] from: &str, #[case] to: &str) {
    let text = encoded(2);
    assert!(text.contains(from), "{from}");
    let read = Document::decode(&text.replace(from, to));
    assert!(matches!(read, Err(Error::Inconsistent(_))), "{read:?}");
}

#[test]
fn tables_of_another_length_are_refused() {
    let longer = encoded(2).replacen("1,2:", "1,2:A", 1);
    assert!(matches!(
        Document::decode(&longer),
        Err(Error::Undecodable(_))
    ));
}

/// A configuration is accepted whose tables don't fit into the store. Cut to its size, they would
/// take servers away without a word.
#[test]
fn tables_too_large_for_the_store_are_an_error() {
    let mut document = Chain::new(&live(1)).tables().clone();
    document.services = vec![document.services.remove(0); 200];
    let size = document.encode().map(|text| text.len());
    assert!(matches!(size, Err(Error::TooLarge { size }) if size > MAX_SIZE));
}

/// The store's value is cut, mixed up or made by somebody else. A balancer that stopped over it
/// would take its flows along.
mod garbage {
    use super::*;

    proptest! {
        #[test]
        fn is_an_error(text in any::<String>()) {
            prop_assert!(Document::decode(&text).is_err());
        }

        #[test]
        fn within_a_document_never_panics(at: prop::sample::Index, with in "[ -~]{0,3}", cut: bool) {
            let mut text = encoded(2);
            let at = at.index(text.len());
            let end = if cut { text.len() } else { at + 1 };
            text.replace_range(at..end, &with);
            if let Ok(read) = Document::decode(&text) {
                prop_assert!(read.encode().is_ok_and(|text| text.len() <= MAX_SIZE));
            }
        }
    }
}
