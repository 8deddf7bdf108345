//! Tests of names, token hashes and rendezvous ranking.

use shaleline_testkit::cases;
use shaleline_types::{rank, Org, TokenHash};

fn is_valid(text: &str) -> bool {
    Org::from_text(text).is_ok()
}

cases! { is_valid;
    plain_name: "mraznik" => true,
    name_with_version: "frost-advisor/2" => true,
    empty_name: "" => false,
    name_with_space: "a b" => false,
    name_with_control_character: "a\u{1f}b" => false,
    longest_name: &"x".repeat(64) => true,
    too_long_name: &"x".repeat(65) => false,
}

#[test]
fn a_token_matches_only_its_own_hash() {
    let kept = TokenHash::from_token("secret");
    assert!(kept.matches(&TokenHash::from_token("secret")));
    assert!(!kept.matches(&TokenHash::from_token("Secret")));
    assert!(!format!("{kept:?}").contains(kept.as_hex()));
}

#[test]
fn removing_a_candidate_moves_only_its_own_keys() {
    let all = ["a", "b", "c", "d"];
    for i in 0..200 {
        let key = format!("key{i}");
        let before = rank(&key, all)[0];
        let after = rank(&key, ["a", "b", "c"])[0];
        assert!(before == "d" || before == after);
    }
}
