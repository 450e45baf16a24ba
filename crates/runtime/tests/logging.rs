//! Log lines: unambiguous quoting, the rate limit of decision lines, and level specifications.

use std::collections::BTreeMap;

use cassiawheel_model::Timestamp;
use cassiawheel_runtime::logging::{
    format::{write_json, write_key_value},
    sampler::{DecisionSampler, SampleOutcome},
};
use log::{Level, Record, kv::Source};
use rstest::rstest;

type WriteLine = fn(&mut Vec<u8>, &Record<'_>);

fn line_of(write: WriteLine, sentence: &str, pairs: &dyn Source) -> String {
    let mut line = Vec::new();
    write(
        &mut line,
        &Record::builder()
            .level(Level::Info)
            .target("route")
            .key_values(&pairs)
            .args(format_args!("{sentence}"))
            .build(),
    );
    String::from_utf8(line).expect("UTF-8")
}

fn key_value(line: &mut Vec<u8>, record: &Record<'_>) {
    write_key_value(line, "T", record).expect("written");
}

fn json(line: &mut Vec<u8>, record: &Record<'_>) {
    write_json(line, "T", record).expect("written");
}

/// Parses ` key=value` pairs as described in the documentation for operators.
fn read_pairs(mut rest: &str) -> BTreeMap<String, String> {
    let mut pairs = BTreeMap::new();
    while let Some((key, value)) = rest.trim_start().split_once('=') {
        if value.starts_with('"') {
            let mut values = serde_json::Deserializer::from_str(value).into_iter::<String>();
            let text = values.next().expect("a value").expect("a JSON string");
            rest = &value[values.byte_offset()..];
            pairs.insert(key.to_owned(), text);
        } else {
            let end = value.find(' ').unwrap_or(value.len());
            pairs.insert(key.to_owned(), value[..end].to_owned());
            rest = &value[end..];
        }
    }
    pairs
}

/// A caller sends a value with a newline and a forged key. Written without quotes, it would
/// make the log show a decision that was never made.
#[rstest]
#[case("plain-1.2:3")]
#[case("two words")]
#[case("line one\nline two endpoint=forged")]
#[case("says \"yes\" and \\ goes on")]
#[case("a=b")]
#[case("")]
#[case("Gangwon 삼척")]
fn a_value_is_parsed_as_it_was_written(#[case] value: &str) {
    let pairs: [(&str, log::kv::Value); 2] = [("cause", value.into()), ("revision", 7_u64.into())];
    let line = line_of(key_value, "Chose an endpoint.", &&pairs[..]);
    assert_eq!(line.lines().count(), 1);
    let rest = line.strip_prefix("T INFO route: Chose an endpoint.").expect("the prefix");
    let read = read_pairs(rest);
    assert_eq!(read.get("cause").map(String::as_str), Some(value), "{line}");
    assert_eq!(read.get("revision").map(String::as_str), Some("7"), "{line}");

    let line = line_of(json, "Chose an endpoint.", &&pairs[..]);
    assert_eq!(line.lines().count(), 1);
    let read: serde_json::Value = serde_json::from_str(&line).expect("JSON");
    assert_eq!(read["cause"], value);
    assert_eq!(read["revision"], 7);
    assert_eq!(read["part"], "route");
}

#[test]
fn a_sentence_cannot_forge_a_line() {
    let line = line_of(key_value, "Two\nlines=1", &[("n", 1)]);
    assert_eq!(line, r#"T INFO route: "Two\nlines=1" n=1"#);
}

/// Lines beyond the limit are dropped, and their number is logged in a later second. Without
/// it, an operator who counts lines would take them for the whole traffic.
#[test]
fn lines_beyond_the_limit_are_counted() {
    let sampler = DecisionSampler::new(3);
    let first = Timestamp(5_000);
    let outcomes: Vec<_> = (0..5).map(|_| sampler.sample(first)).collect();
    use SampleOutcome::{Dropped, Written, WrittenAfter};
    assert_eq!(outcomes, [Written, Written, Written, Dropped, Dropped]);
    assert_eq!(sampler.sample(Timestamp(6_000)), WrittenAfter { dropped: 2 });
    assert_eq!(sampler.sample(Timestamp(6_001)), Written);
    assert_eq!(sampler.sample(Timestamp(9_000)), Written);
}

/// Lines logged by several threads at a time must all be counted.
#[test]
fn threads_share_the_limit() {
    let sampler = DecisionSampler::new(100);
    std::thread::scope(|scope| {
        for _ in 0..4 {
            scope.spawn(|| (0..1_000).for_each(|_| _ = sampler.sample(Timestamp(5_000))));
        }
    });
    let outcome = sampler.sample(Timestamp(6_000));
    assert_eq!(outcome, SampleOutcome::WrittenAfter { dropped: 3_900 });
}

/// A level that the check of settings accepts must be accepted when logging starts; otherwise
/// a process could fail to start with a file that has no findings.
#[rstest]
#[case("info")]
#[case("INFO")]
#[case("warn, route=info")]
#[case("info,route=off,transfer=debug")]
#[case("off")]
fn valid_levels_are_accepted(#[case] level: &str) {
    use cassiawheel_model::{FindingList, settings::LogSettings};
    let settings = LogSettings { level: level.to_owned(), ..LogSettings::default() };
    let mut findings = FindingList::new("test");
    settings.check(&mut findings);
    assert!(findings.is_empty(), "{findings}");
    assert!(flexi_logger::LogSpecification::parse(level).is_ok());
}

#[rstest]
#[case("")]
#[case("loud")]
#[case("info; route=warn")]
#[case("=info")]
#[case("route=")]
#[case("two parts=info")]
fn wrong_levels_are_findings(#[case] level: &str) {
    use cassiawheel_model::{FindingList, settings::LogSettings};
    let settings = LogSettings { level: level.to_owned(), ..LogSettings::default() };
    let mut findings = FindingList::new("test");
    settings.check(&mut findings);
    assert!(!findings.is_empty());
}
