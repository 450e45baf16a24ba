//! Settings: what a check accepts, and that it names every fault at once.

use std::path::{Path, PathBuf};

use cassiawheel_model::{
    FindingList,
    settings::{AgentSettings, CheckedSettings, EntrySettings, parse_settings},
};
use rstest::rstest;
use serde_json::Value;

fn check(path: &Path) -> Result<(), FindingList> {
    let text = std::fs::read_to_string(path).expect("the file is there");
    let name = path.file_name().and_then(|name| name.to_str()).expect("a name");
    if name.starts_with("agent") {
        parse_settings::<AgentSettings>(name, &text).map(drop)
    } else {
        parse_settings::<EntrySettings>(name, &text).map(drop)
    }
}

fn folder(path: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join(path)
}

fn found_paths(findings: &FindingList) -> Vec<&str> {
    findings.places().iter().map(|place| place.path.as_str()).collect()
}

#[test]
fn every_sample_has_no_findings() {
    let samples: Vec<_> = std::fs::read_dir(folder("../../samples"))
        .expect("the samples are there")
        .map(|entry| entry.expect("an entry").path())
        .collect();
    assert!(samples.len() >= 6);
    for sample in samples {
        assert_eq!(check(&sample), Ok(()), "{}", sample.display());
    }
}

/// An operator edits several things at once and gets several of them wrong. If
/// the check ended at the first fault, a start on the hour would be lost to
/// one correction after another.
#[rstest]
#[case("entry-unknown-keys.json", &[
    "operators[1].rights", "caller.max_conections", "log.levels", "listener",
])]
#[case("entry-wrong-types.json", &[
    "place.instance", "peers[2]", "operators[0].role", "caller.max_attempts", "control",
])]
#[case("entry-wrong-units.json", &[
    "platform.timeout_ms", "caller.max_body_bytes", "control.drain_ms",
    "caller.default_deadline_ms", "caller.advice_ms",
])]
#[case("entry-missing-keys.json", &[
    "place.region", "listen.inner", "operators[1].token", "inner_key", "platform",
])]
#[case("entry-overlapping-addresses.json", &[
    "listen.admin", "listen.metrics", "peers[1]", "peers[3]", "platform.table",
])]
#[case("entry-unreachable-addresses.json", &[
    "listen.caller", "listen.admin", "peers[0]", "platform.origin",
])]
#[case("entry-impossible-limits.json", &[
    "limits.inner_connections", "limits.head_bytes", "caller.max_body_bytes",
    "caller.max_connections", "caller.max_attempts", "control.poll_ms", "control.lease_ms",
    "log.decisions_per_s",
])]
#[case("entry-duplicate-operators.json", &[
    "operators[1].token", "operators[1].name", "operators[2].token",
])]
#[case("entry-weak-secrets.json", &["inner_key", "operators[0].token", "operators[1].token"])]
#[case("entry-many-kinds.json", &[
    "caller.max_conections", "caller.max_attempts", "listen.admin", "control.poll_ms",
    "operators[1].token", "log.level",
])]
#[case("entry-not-json.json", &["."])]
#[case("entry-keys-given-twice.json", &["caller.advice_ms", "control.drain_ms"])]
#[case("entry-not-an-object.json", &["."])]
#[case("agent-unknown-keys.json", &["engin", "transfer.orgin_copies", "place.zone"])]
#[case("agent-wrong-types.json", &[
    "engine.role", "engine.max_in_flight", "engine.service", "transfer.mode", "entries[1]",
])]
#[case("agent-wrong-units.json", &[
    "heartbeat_ms", "drain_ms", "transfer.stall_ms", "transfer.cache_bytes",
])]
#[case("agent-overlapping-addresses.json", &[
    "listen_metrics", "engine.addr", "entries[1]", "platform.origin",
])]
#[case("agent-impossible-limits.json", &[
    "entries", "entry_links", "engine.max_in_flight", "transfer.origin_copies",
    "transfer.live_share", "transfer.upload_slots",
])]
fn every_fault_is_named_with_its_place(#[case] file: &str, #[case] expected: &[&str]) {
    let findings = check(&folder("tests/data/invalid").join(file)).expect_err("has findings");
    let mut found = found_paths(&findings);
    let mut expected = expected.to_vec();
    found.sort_unstable();
    found.dedup();
    expected.sort_unstable();
    assert_eq!(found, expected, "{findings}");
    assert!(findings.places().iter().all(|place| place.source == file));
}

/// Times that were meant in seconds and sizes with a unit are the usual slips;
/// the message has to say what to write instead.
#[test]
fn a_wrong_unit_is_told_what_to_write() {
    let file = folder("tests/data/invalid/entry-wrong-units.json");
    let findings = check(&file).expect_err("has findings");
    let message = |path: &str| {
        let place = findings.places().iter().find(|place| place.path == path);
        place.map(|place| place.message.as_str()).unwrap_or_default()
    };
    assert!(message("platform.timeout_ms").contains("whole milliseconds"), "{findings}");
    assert!(message("caller.max_body_bytes").contains("whole bytes"), "{findings}");
    assert!(message("caller.advice_ms").contains("are these seconds?"), "{findings}");
}

fn assert_keys_are_known<T: CheckedSettings>(annotated: &str) {
    let text = std::fs::read_to_string(folder(annotated)).expect("the sample is there");
    let sample: T = parse_settings(annotated, &text).expect("no findings");
    let given = strip_notes(serde_json::from_str(&text).expect("JSON"));
    let example = serde_json::to_value(T::example()).expect("serialises");
    let read = serde_json::to_value(sample).expect("serialises");
    assert_eq!(keys("", &given), keys("", &read), "the sample names every key that is read");
    assert_eq!(keys("", &example), keys("", &read), "the example has every key that is read");
}

fn strip_notes(value: Value) -> Value {
    match value {
        Value::Object(object) => object
            .into_iter()
            .filter(|(key, _)| key != "//")
            .map(|(key, value)| (key, strip_notes(value)))
            .collect(),
        Value::Array(items) => items.into_iter().map(strip_notes).collect(),
        other => other,
    }
}

fn keys(path: &str, value: &Value) -> std::collections::BTreeSet<String> {
    match value {
        Value::Object(object) => object
            .iter()
            .flat_map(|(key, value)| {
                let path = format!("{path}.{key}");
                let mut found = keys(&path, value);
                found.insert(path);
                found
            })
            .collect(),
        Value::Array(items) => {
            items.iter().take(1).flat_map(|item| keys(&format!("{path}[]"), item)).collect()
        }
        _ => Default::default(),
    }
}

#[test]
fn annotated_samples_and_examples_have_every_key() {
    assert_keys_are_known::<EntrySettings>("../../samples/entry.json");
    assert_keys_are_known::<AgentSettings>("../../samples/agent.json");
}
