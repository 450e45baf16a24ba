//! Settings: valid files are accepted, and all errors of an invalid file are reported at once.

use std::path::{Path, PathBuf};

use cassiawheel_model::{
    FindingList,
    settings::{AgentSettings, CheckedSettings, EntrySettings, parse_settings},
};
use proptest::prelude::*;
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

fn path_to(path: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join(path)
}

fn found_paths(findings: &FindingList) -> Vec<&str> {
    findings.as_slice().iter().map(|finding| finding.path.as_str()).collect()
}

#[test]
fn samples_have_no_findings() {
    let samples: Vec<_> = std::fs::read_dir(path_to("../../samples"))
        .expect("the samples are there")
        .map(|entry| entry.expect("an entry").path())
        .collect();
    assert!(samples.len() >= 6);
    for sample in samples {
        assert_eq!(check(&sample), Ok(()), "{}", sample.display());
    }
}

/// A file with several errors: if the check stopped at the first one, an operator would have to
/// correct and restart once per error and would miss a planned start time.
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
    "caller.max_connections", "caller.max_attempts", "control.poll_ms", "control.store_reads_per_s",
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
fn every_error_is_reported_with_its_path(#[case] file: &str, #[case] expected: &[&str]) {
    let findings = check(&path_to("tests/data/invalid").join(file)).expect_err("has findings");
    let mut found = found_paths(&findings);
    let mut expected = expected.to_vec();
    found.sort_unstable();
    found.dedup();
    expected.sort_unstable();
    assert_eq!(found, expected, "{findings}");
    assert!(findings.as_slice().iter().all(|finding| finding.source == file));
}

/// Times in seconds and sizes with a unit are the most common mistakes; the message has to say
/// what to write instead.
#[test]
fn a_wrong_unit_gets_a_hint() {
    let file = path_to("tests/data/invalid/entry-wrong-units.json");
    let findings = check(&file).expect_err("has findings");
    let message = |path: &str| {
        let finding = findings.as_slice().iter().find(|finding| finding.path == path);
        finding.map(|finding| finding.message.as_str()).unwrap_or_default()
    };
    assert!(message("platform.timeout_ms").contains("whole milliseconds"), "{findings}");
    assert!(message("caller.max_body_bytes").contains("whole bytes"), "{findings}");
    assert!(message("caller.advice_ms").contains("are these seconds?"), "{findings}");
}

fn assert_keys_are_known<T: CheckedSettings>(annotated: &str) {
    let text = std::fs::read_to_string(path_to(annotated)).expect("the sample is there");
    let sample: T = parse_settings(annotated, &text).expect("no findings");
    let given = strip_comments(serde_json::from_str(&text).expect("JSON"));
    let example = serde_json::to_value(T::example()).expect("serialises");
    let read = serde_json::to_value(sample).expect("serialises");
    assert_eq!(keys("", &given), keys("", &read), "the sample names every key that is read");
    assert_eq!(keys("", &example), keys("", &read), "the example has every key that is read");
}

fn strip_comments(value: Value) -> Value {
    match value {
        Value::Object(object) => object
            .into_iter()
            .filter(|(key, _)| key != "//")
            .map(|(key, value)| (key, strip_comments(value)))
            .collect(),
        Value::Array(items) => items.into_iter().map(strip_comments).collect(),
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

fn any_json() -> impl Strategy<Value = Value> {
    let leaf = prop_oneof![
        Just(Value::Null),
        any::<bool>().prop_map(Value::from),
        any::<i64>().prop_map(Value::from),
        any::<f64>().prop_map(Value::from),
        ".{0,12}".prop_map(Value::from),
    ];
    leaf.prop_recursive(3, 12, 4, |inner| {
        prop_oneof![
            proptest::collection::vec(inner.clone(), 0..4).prop_map(Value::from),
            proptest::collection::btree_map("[a-z/~.]{0,6}", inner, 0..4)
                .prop_map(|map| map.into_iter().collect()),
        ]
    })
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(64))]

    /// Replaces one value of a valid file by arbitrary JSON. The check must terminate and report
    /// every file that cannot be deserialised.
    #[test]
    fn any_value_at_any_key_is_checked(key in any::<prop::sample::Index>(), value in any_json()) {
        let text = std::fs::read_to_string(path_to("../../samples/entry.json")).expect("a sample");
        let mut tree = strip_comments(serde_json::from_str(&text).expect("JSON"));
        let paths: Vec<_> = keys("", &tree).into_iter().filter(|key| !key.contains('[')).collect();
        let pointer = paths[key.index(paths.len())].replace('.', "/");
        *tree.pointer_mut(&pointer).expect("the key") = value;
        let read = parse_settings::<EntrySettings>("entry.json", &tree.to_string());
        // A drawn key may be a note, which is left out of the settings.
        if serde_json::from_value::<EntrySettings>(strip_comments(tree)).is_err() {
            let findings = read.expect_err("a type that cannot be read is a finding");
            prop_assert!(findings.as_slice().iter().all(|finding| !finding.path.is_empty()));
        }
    }
}

/// Keys whose default is not a fixed value of the sample.
const DERIVED_DEFAULTS: [&str; 3] = ["peers", "operators", "advertise_inner"];

/// The defaults in the samples and in the documentation must be those of the code; otherwise an
/// operator who relies on them gets another value.
#[rstest]
#[case::entry(defaults::<EntrySettings>("../../samples/entry.json"))]
#[case::agent(defaults::<AgentSettings>("../../samples/agent.json"))]
fn samples_and_page_have_the_defaults(#[case] defaults: Vec<(String, Value)>) {
    let page =
        std::fs::read_to_string(path_to("../../docs/operate/settings.md")).expect("the page");
    assert!(defaults.len() > 10);
    for (path, value) in defaults {
        let value = match value {
            Value::String(text) => format!("`{text}`"),
            other => other.to_string(),
        };
        let row = format!("| `{path}` | {value} |");
        assert!(page.contains(&row), "not in the page: {row}");
    }
}

/// Returns the optional values of the sample and checks that they are the defaults.
fn defaults<T: CheckedSettings + PartialEq>(sample: &str) -> Vec<(String, Value)> {
    let text = std::fs::read_to_string(path_to(sample)).expect("the sample is there");
    let tree = strip_comments(serde_json::from_str(&text).expect("JSON"));
    let whole: T = parse_settings(sample, &text).expect("no findings");
    let mut found = Vec::new();
    for path in keys("", &tree) {
        let path = path.trim_start_matches('.');
        let pointer = format!("/{}", path.replace('.', "/"));
        let Some(value) = tree.pointer(&pointer).filter(|value| !value.is_object()) else {
            continue;
        };
        let (parent, key) = pointer.rsplit_once('/').expect("a key");
        let mut without = tree.clone();
        let object = without.pointer_mut(parent).and_then(Value::as_object_mut);
        object.expect("an object").remove(key);
        if let Ok(read) = parse_settings::<T>(sample, &without.to_string())
            && !DERIVED_DEFAULTS.contains(&path)
        {
            assert!(read == whole, "{path} in {sample} is not the default");
            found.push((path.to_owned(), value.clone()));
        }
    }
    found
}

/// Every key has to be documented with its path, default and meaning.
#[test]
fn the_page_documents_every_key() {
    let page =
        std::fs::read_to_string(path_to("../../docs/operate/settings.md")).expect("the page");
    let entry = serde_json::to_value(EntrySettings::example()).expect("serialises");
    let agent = serde_json::to_value(AgentSettings::example()).expect("serialises");
    let mut all = keys("", &entry);
    all.extend(keys("", &agent));
    let sections: Vec<_> =
        all.iter().filter(|key| all.iter().any(|k| k.starts_with(&format!("{key}.")))).collect();
    let missing: Vec<_> = all
        .iter()
        .filter(|key| !sections.contains(key) && !key.ends_with("operators"))
        .map(|key| format!("| `{}` |", key.trim_start_matches('.')))
        .filter(|row| !page.contains(row.as_str()))
        .collect();
    assert!(missing.is_empty(), "{missing:?}");
}
