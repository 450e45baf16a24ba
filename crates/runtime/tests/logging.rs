//! Log lines: that they can be read back, and that a burst is limited.

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

/// Reads ` key=value` pairs as the page for operators describes them.
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

/// A caller names its workspace with a newline and a forged key in it. Written
/// as it stands, the log would show a decision that was never made.
#[rstest]
#[case("plain-1.2:3")]
#[case("two words")]
#[case("line one\nline two endpoint=forged")]
#[case("says \"yes\" and \\ goes on")]
#[case("a=b")]
#[case("")]
#[case("Gangwon 삼척")]
fn a_value_is_read_back_as_it_was(#[case] value: &str) {
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

/// A burst brings more decisions than the log may hold. The lines beyond the
/// limit are left out, and the next second tells how many; an operator who
/// counts lines would otherwise take the log for the whole traffic.
#[test]
fn lines_beyond_the_limit_are_counted() {
    let sampler = DecisionSampler::new(3);
    let first = Timestamp(5_000);
    let verdicts: Vec<_> = (0..5).map(|_| sampler.sample(first)).collect();
    use SampleOutcome::{LeftOut, Written, WrittenAfter};
    assert_eq!(verdicts, [Written, Written, Written, LeftOut, LeftOut]);
    assert_eq!(sampler.sample(Timestamp(6_000)), WrittenAfter { left_out: 2 });
    assert_eq!(sampler.sample(Timestamp(6_001)), Written);
    assert_eq!(sampler.sample(Timestamp(9_000)), Written);
}

/// Many threads decide at a time; none of their lines may be lost from the count.
#[test]
fn threads_share_the_limit() {
    let sampler = DecisionSampler::new(100);
    std::thread::scope(|scope| {
        for _ in 0..4 {
            scope.spawn(|| (0..1_000).for_each(|_| _ = sampler.sample(Timestamp(5_000))));
        }
    });
    let verdict = sampler.sample(Timestamp(6_000));
    assert_eq!(verdict, SampleOutcome::WrittenAfter { left_out: 3_900 });
}

/// What the check of settings accepts as a level has to be understood when the
/// log starts; otherwise a file without findings would not start.
#[rstest]
#[case("info")]
#[case("INFO")]
#[case("warn, route=info")]
#[case("info,route=off,transfer=debug")]
#[case("off")]
fn levels_are_understood(#[case] level: &str) {
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
