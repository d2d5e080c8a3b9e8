//! How the test script reads the list of known failures.

use std::{io::Write as _, path::Path, process::Command};

use rstest::rstest;
use tempfile::NamedTempFile;

const TESTS: &str = "mesh::one: test\nmesh::one_more: test\ncut::twice: test\ncut::twice: test\n";

fn file(text: &str) -> NamedTempFile {
    let mut file = NamedTempFile::new().expect("a file");
    file.write_all(text.as_bytes()).expect("written");
    file
}

/// Matching parts of names would also skip tests that are not listed, and a listed name that matches
/// no test would go unnoticed.
#[rstest]
#[case::exact("mesh::one what was seen; issue 2\n", Some("mesh::one\n"))]
#[case::part_of_a_name("one what was seen\n", None)]
#[case::no_test("mesh::gone what was seen\n", None)]
#[case::more_than_one("cut::twice what was seen\n", None)]
#[case::empty("\n", Some(""))]
fn only_exact_names_of_tests_are_passed_over(#[case] listed: &str, #[case] expected: Option<&str>) {
    let script = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../scripts/known-red");
    let (known, tests) = (file(listed), file(TESTS));

    let run = Command::new(script)
        .args([known.path(), tests.path()])
        .output()
        .expect("runs");

    let names = String::from_utf8(run.stdout).expect("text");
    assert_eq!(run.status.success().then_some(&*names), expected);
}
