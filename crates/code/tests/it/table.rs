use acacia_code::{TABLE, page};

#[test]
fn numbers_increase_and_names_are_unique() {
    assert!(
        TABLE
            .windows(2)
            .all(|pair| pair[0].code.number() < pair[1].code.number())
    );
    let mut labels: Vec<_> = TABLE.iter().map(|entry| entry.code.label()).collect();
    labels.sort_unstable();
    labels.dedup();
    assert_eq!(labels.len(), TABLE.len());
}

#[test]
fn the_page_for_operators_is_up_to_date() {
    let path = concat!(env!("CARGO_MANIFEST_DIR"), "/../../docs/ERRORS.md");
    let page = std::fs::read_to_string(path).expect("docs/ERRORS.md is part of the tree");
    assert_eq!(page, page::render());
}
