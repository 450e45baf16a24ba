//! Scenario files: which are valid, which findings are reported, and that a seed determines
//! the arrivals.

use std::path::Path;

use cassiawheel_model::{FindingList, settings::parse_settings};
use cassiawheel_testkit::burst::{BurstScenario, schedule::draw_arrivals};
use rstest::rstest;
use serde_json::{Value, json};

fn sample(name: &str) -> String {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../scenarios").join(name);
    std::fs::read_to_string(path).expect("the sample can be read")
}

fn smoke_with(change: impl FnOnce(&mut Value)) -> Result<BurstScenario, FindingList> {
    let mut scenario: Value = serde_json::from_str(&sample("smoke.json")).expect("valid JSON");
    change(&mut scenario);
    parse_settings("smoke.json", &scenario.to_string())
}

#[rstest]
#[case("smoke.json")]
#[case("sale-cancelled-while-claimed.json")]
#[case("hanbit-gate-opening.json")]
#[case("lindwurm-all-day.json")]
#[case("faults-in-pairs.json")]
fn samples_have_no_findings(#[case] name: &str) {
    let parsed: Result<BurstScenario, _> = parse_settings(name, &sample(name));
    assert!(parsed.is_ok(), "{parsed:?}");
}

/// A scenario with several mistakes: one run reports all of them, each with its path.
#[rstest]
fn all_findings_are_reported_together() {
    let findings = smoke_with(|scenario| {
        scenario["replicas"] = json!(3);
        scenario["arrivals"]["tokens"] = json!("many");
        scenario["entries"] = json!(0);
        scenario["app_replicas"] = json!(0);
        scenario["window_s"] = json!(-1);
        scenario["arrivals"]["mix"]["read"] = json!(0.9);
        scenario["presets"][1]["entry"] = json!(7);
        scenario["faults"][0]["target"] = json!("endpoint-99");
        scenario["faults"][1]["for_s"] = json!(0);
    })
    .expect_err("the scenario is wrong");
    let paths: Vec<_> = findings.as_slice().iter().map(|place| place.path.as_str()).collect();
    let wanted = [
        "arrivals.tokens",
        "replicas",
        "entries",
        "app_replicas",
        "window_s",
        "arrivals.mix",
        "presets[0].entry",
        "presets[1].entry",
        "faults[0].target",
        "faults[1].for_s",
    ];
    assert_eq!(paths, wanted);
}

#[rstest]
fn an_unknown_kind_is_found_with_its_path() {
    let findings = smoke_with(|scenario| scenario["faults"][0]["kind"] = json!("earthquake"))
        .expect_err("there is no such kind");
    assert_eq!(findings.as_slice()[0].path, "faults[0].kind");
}

#[rstest]
fn a_seed_fixes_the_arrivals() {
    let scenario = smoke_with(|_| {}).expect("the sample is valid");
    let first = draw_arrivals(&scenario, 7);
    assert_eq!(first, draw_arrivals(&scenario, 7));
    assert_ne!(first, draw_arrivals(&scenario, 8));
    let in_burst = |at_s: f64| (3.0..4.0).contains(&at_s);
    let burst = first.iter().filter(|arrival| in_burst(arrival.at.as_secs_f64())).count();
    // 60 arrivals are expected in the second of the burst and 20 in every other second.
    assert!((35..=90).contains(&burst), "{burst} of {} arrive in the burst", first.len());
}
