//! Tests of the settings and of their page in the documentation.

use shaleline_daemon::{Flag, Settings};
use std::collections::BTreeMap;

fn faults(args: &[&str], variables: &[(&str, &str)]) -> Vec<String> {
    let args: Vec<String> = args.iter().map(|a| (*a).to_owned()).collect();
    let variables: BTreeMap<String, String> = variables
        .iter()
        .map(|(k, v)| ((*k).to_owned(), (*v).to_owned()))
        .collect();
    match Settings::from_args(&args, &variables) {
        Ok(_) => Vec::new(),
        Err(e) => e.faults,
    }
}

const VALID: [(&str, &str); 7] = [
    ("SHALELINE_INSTANCE", "entry-1"),
    ("SHALELINE_CENTRE", "dc1"),
    ("SHALELINE_LISTEN", "127.0.0.1:1"),
    ("SHALELINE_ADMIN_LISTEN", "127.0.0.1:2"),
    ("SHALELINE_PEER_LISTEN", "127.0.0.1:3"),
    ("SHALELINE_PLATFORM", "127.0.0.1:4"),
    ("SHALELINE_PEER_SECRET", "0123456789abcdef"),
];

#[test]
fn flags_take_precedence_over_variables() {
    assert_eq!(faults(&[], &VALID), [""; 0]);
    assert_eq!(
        faults(&["--listen", "nowhere"], &VALID),
        ["--listen: \"nowhere\" is not an IP:PORT address"]
    );
}

#[test]
fn all_errors_are_reported_at_once() {
    let found = faults(
        &["--queue", "0", "--seeds", "x", "--peer-secret", "short"],
        &VALID[..2],
    );
    for flag in [
        "--queue",
        "--seeds",
        "--peer-secret",
        "--listen",
        "--admin-listen",
        "--platform",
    ] {
        assert!(
            found.iter().any(|f| f.contains(flag)),
            "{flag} in {found:?}"
        );
    }
}

#[test]
fn an_unknown_flag_is_rejected() {
    assert_eq!(faults(&["--no-such"], &VALID).len(), 1);
    assert_eq!(faults(&["stray"], &VALID), ["\"stray\" is not a flag"]);
}

#[test]
fn the_configuration_page_lists_every_flag() {
    let path = concat!(env!("CARGO_MANIFEST_DIR"), "/../../docs/CONFIGURATION.md");
    let page = std::fs::read_to_string(path).expect("the page exists");
    for flag in Flag::ALL {
        let default = flag
            .default
            .map_or("required".to_owned(), |d| format!("`{d}`"));
        let row = format!(
            "| `--{}` | `{}` | {default} | {} |",
            flag.name,
            flag.variable(),
            flag.help
        );
        assert!(page.contains(&row), "docs/CONFIGURATION.md lacks: {row}");
    }
    let rows = page.lines().filter(|l| l.starts_with("| `--")).count();
    assert_eq!(rows, Flag::ALL.len(), "a row without a flag");
}
