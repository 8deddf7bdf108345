//! Tests the check of a configuration before it is sent: each guards against an entry that would
//! be accepted and then not work.

use crate::check::run;
use serde_json::{json, Value};
use shaleline_testkit::cases;
use std::path::PathBuf;
use std::sync::atomic::{AtomicUsize, Ordering};

/// A configuration without any finding.
fn sound() -> Value {
    json!({
        "version": 3,
        "limits": {"max-header-bytes": 9000, "max-body-bytes": 9000,
                   "header-timeout-ms": 2000, "idle-timeout-ms": 9000},
        "routes": [
            {"name": "chat", "host": "h", "path-prefix": "/chat/", "kind": "stream", "resumable": true,
             "max-attempts": 2, "timeout-ms": 5000, "target-latency-ms": 500, "gap-aim-ms": 200, "service": "llm"},
            {"name": "book", "host": "h", "path-prefix": "/book/", "kind": "unsafe",
             "timeout-ms": 2500, "target-latency-ms": 150, "service": "desk"}],
        "services": [
            {"name": "llm", "max-conns": 100, "engine": {"slots": 8, "weights-mb": 1000.0, "adapter-slots": 2,
             "loads-per-s": 1.0, "models": [{"name": "m1", "weights-mb": 400.0, "adapters": 3, "adapter-mb": 10.0}]}},
            {"name": "desk"}],
        "tenants": [{"name": "acme", "api-keys": ["k1"], "rate-per-s": 10.0, "burst": 5.0}]
    })
}

/// The number of files written so far: tests that change the same field run side by side.
static FILES: AtomicUsize = AtomicUsize::new(0);

/// Writes a configuration to a file of its own.
fn file(name: &str, config: &Value) -> PathBuf {
    let (process, number) = (std::process::id(), FILES.fetch_add(1, Ordering::Relaxed));
    let path = std::env::temp_dir().join(format!("shaleline-check-{process}-{number}-{name}.json"));
    std::fs::write(&path, config.to_string()).expect("the temporary folder can be written to");
    path
}

/// Checks the sound configuration with one field replaced; returns whether it may be sent and the
/// text.
fn check(field: &str, value: Value) -> (bool, String) {
    let mut config = sound();
    *config.pointer_mut(field).expect("the field exists") = value;
    let path = file(&field.replace('/', "-"), &config);
    let result = run(path.to_str().expect("UTF-8"), None);
    std::fs::remove_file(path).expect("it was written");
    match result {
        Ok(text) => (true, text),
        Err(e) => (false, format!("{e:#}")),
    }
}

/// Returns whether the check of a changed field finds the text, and whether it is an error.
fn finds((field, value, text): (&str, Value, &str)) -> &'static str {
    let (passes, found) = check(field, value);
    match (found.contains(text), passes) {
        (false, _) => panic!("{text:?} is not in {found:?}"),
        (true, true) => "warning",
        (true, false) => "error",
    }
}

cases! { finds;
    a_service_that_does_not_exist:
        ("/routes/0/service", json!("lllm"), "service lllm does not exist") => "error",
    a_service_without_a_route:
        ("/routes/1/service", json!("llm"), "service desk: no route leads to it") => "warning",
    a_route_hidden_by_another:
        ("/routes/1/path-prefix", json!("/chat/"), "route chat: no request matches it") => "error",
    a_name_that_occurs_twice: ("/routes/1/name", json!("chat"), "its name occurs twice") => "error",
    a_prefix_without_slash:
        ("/routes/0/path-prefix", json!("/chat"), "does not begin and end with a slash") => "error",
    a_target_beyond_the_timeout:
        ("/routes/0/target-latency-ms", json!(6000), "longer than its timeout of 5000 ms") => "warning",
    a_timeout_of_zero: ("/routes/0/timeout-ms", json!(0), "its timeout is 0") => "error",
    a_pause_where_there_are_no_streams:
        ("/routes/0/kind", json!("safe"), "a longest pause has no effect") => "warning",
    a_stream_that_cannot_be_resumed_anywhere:
        ("/routes/0/max-attempts", json!(1), "only one upstream may be tried") => "warning",
    a_model_beyond_the_memory:
        ("/services/0/engine/models/0/weights-mb", json!(1001.0), "exceed an engine's 1000 MB") => "error",
    a_model_whose_adapter_does_not_fit:
        ("/services/0/engine/models/0/weights-mb", json!(995.0), "with one adapter of 10 MB") => "error",
    adapters_without_slots:
        ("/services/0/engine/adapter-slots", json!(0), "an engine may hold none") => "error",
    an_organisation_without_a_key:
        ("/tenants/0/api-keys", json!([]), "organisation acme: it has no key") => "warning",
    a_head_of_zero_bytes: ("/limits/max-header-bytes", json!(0), "no request fits") => "error",
}

/// An allowance in tokens that is smaller than the cost of any request would refuse all of them.
#[test]
fn an_allowance_that_never_covers_a_request_is_an_error() {
    let org = json!({"name": "acme", "api-keys": ["k1"], "rate-per-s": 10.0, "burst": 5.0,
                     "unit": "tokens", "plain-tokens": 50});
    assert_eq!(
        finds(("/tenants/0", org, "never covers a request that costs 50")),
        "error"
    );
}

/// The output has to name what a new version changes, and to reject one that is not later.
#[test]
fn a_new_version_is_compared_with_the_one_in_force() {
    let mut new = sound();
    new["version"] = json!(4);
    new["routes"][0]["timeout-ms"] = json!(7000);
    new["routes"][1]["name"] = json!("order");
    let (old, new) = (file("old", &sound()), file("new", &new));
    let paths = [&old, &new].map(|p| p.to_str().expect("UTF-8").to_owned());
    let text = run(&paths[1], Some(&paths[0])).expect("it may be sent");
    let back = run(&paths[0], Some(&paths[1])).expect_err("the version is lower");
    for path in [old, new] {
        std::fs::remove_file(path).expect("it was written");
    }
    for line in [
        "route book: removed",
        "route order: added",
        "route chat: ",
        "5000",
        "7000",
    ] {
        assert!(text.contains(line), "{line:?} is not in {text:?}");
    }
    assert!(
        back.to_string().contains("is not later than version 4"),
        "{back}"
    );
}

#[test]
fn a_file_that_is_no_configuration_is_named() {
    let path = file("broken", &json!({"version": "x"}));
    let error = run(path.to_str().expect("UTF-8"), None).expect_err("it does not decode");
    std::fs::remove_file(path).expect("it was written");
    assert!(
        error.to_string().contains("is not a valid configuration"),
        "{error}"
    );
}
