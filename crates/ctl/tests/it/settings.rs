use std::path::PathBuf;

use acacia_code::Code;
use acacia_ctl::{Cli, Invocation, Settings};
use clap::Parser as _;

fn resolve(text: &str, flags: &[&str]) -> Result<Settings, acacia_ctl::Report> {
    let directory = tempfile::TempDir::new().expect("a directory");
    let path: PathBuf = directory.path().join("acaciactl.ini");
    std::fs::write(&path, text).expect("a file");
    let path = path.to_str().expect("a path");
    let words = ["acaciactl", "status", "--settings", path];
    let cli = Cli::try_parse_from(words.iter().chain(flags)).expect("a command line");
    Settings::resolve(
        &cli,
        Invocation {
            unix_time: 0,
            random: 0,
        },
    )
}

#[test]
fn flags_override_the_file() {
    let text = "store = 10.0.0.1:1\nbalancer = 10.0.0.2:1\nbalancer = 10.0.0.3:1\nauthor = aino\n";
    let settings = resolve(text, &["--author", "väinö"]).expect("settings");
    assert_eq!(settings.store, Some(([10, 0, 0, 1], 1).into()));
    assert_eq!(settings.balancers.len(), 2);
    assert_eq!(&*settings.author, "väinö");
}

#[test]
fn every_problem_of_the_file_is_reported() {
    let report = resolve("store = here\ncolour = red\n", &[]).expect_err("problems");
    assert_eq!(report.code, Code::SettingsInvalid);
    assert!(report.text.contains("here") && report.text.contains("colour"));
}
