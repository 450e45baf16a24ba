//! Versions that operators name one after another.

use std::time::Duration;

use cassiawheel_decide::VersionRegistry;
use cassiawheel_model::{AgeSource, ManifestDigest, ModelVersion, TargetVersion, Timestamp};

const SPAN: Duration = Duration::from_millis(7_000);
const START: Timestamp = Timestamp(1_000_000);

fn at(ms: u64) -> Timestamp {
    Timestamp(START.0 + ms)
}

fn version(number: u64) -> ModelVersion {
    ModelVersion::new(&format!("m:{number}")).expect("valid")
}

fn named(number: u64) -> TargetVersion {
    TargetVersion {
        model: "m".to_owned(),
        number,
        version: version(number),
        manifest: None,
        age_ms: 0,
        age_source: AgeSource::Observed,
    }
}

fn registry(offers: &[(u64, u64)]) -> VersionRegistry {
    let mut registry = VersionRegistry::default();
    for (number, ms) in offers {
        registry.record(&named(*number), SPAN, at(*ms));
    }
    registry
}

/// A version is named while the one before is still under way. Each keeps its
/// own deadline; the newer one must not give the oldest more time, or callers
/// are answered from weights that were replaced long ago.
#[test]
fn a_newer_version_does_not_put_off_an_earlier_deadline() {
    let registry = registry(&[(1, 0), (2, 18_000), (3, 20_000)]);
    assert_eq!(registry.allowed("m", at(24_900)), None);
    assert_eq!(registry.allowed("m", at(25_000)), Some(vec![version(2), version(3)]));
    assert_eq!(registry.allowed("m", at(27_000)), Some(vec![version(3)]));
    assert_eq!(registry.newest("m").map(|newest| newest.number), Some(3));
}

/// A row is read late, after a newer one. It must not become the wanted version.
#[test]
fn an_older_version_is_never_wanted_again() {
    let mut registry = registry(&[(1, 0), (3, 100)]);
    registry.record(&named(2), SPAN, at(200));
    assert_eq!(registry.newest("m").map(|newest| newest.number), Some(3));
}

/// The first version that is known replaces nothing, so nothing is refused.
#[test]
fn the_first_version_bars_nobody() {
    assert_eq!(registry(&[(4, 0)]).allowed("m", at(60_000)), None);
}

/// An entry hears of a version late, from another that has known it for five
/// seconds. The deadline follows from when it was named.
#[test]
fn the_age_counts() {
    let mut registry = registry(&[(1, 0)]);
    let told = TargetVersion { age_ms: 5_000, ..named(2) };
    registry.record(&told, SPAN, at(6_000));
    assert!(registry.allowed("m", at(7_900)).is_none());
    assert_eq!(registry.allowed("m", at(8_000)), Some(vec![version(2)]));
}

/// An entry is killed before a version is named and starts again just after. It
/// finds the version in the rows and cannot know that it is a quarter of a second
/// old, so it assumes seconds and tells the others. Whichever word comes first,
/// what the others observed counts; else every entry refuses all callers for
/// seconds in which the engines may still serve the older version.
#[test]
fn an_assumed_age_does_not_go_before_an_observed_one() {
    let assumed = TargetVersion { age_ms: 3_500, age_source: AgeSource::Assumed, ..named(2) };
    let observed = TargetVersion { age_ms: 250, ..named(2) };
    for words in [[&assumed, &observed], [&observed, &assumed]] {
        let mut registry = registry(&[(1, 0)]);
        for word in words {
            registry.record(word, SPAN, at(18_250));
        }
        assert_eq!(registry.allowed("m", at(24_900)), None);
        assert_eq!(registry.allowed("m", at(25_000)), Some(vec![version(2)]));
        let told = registry.named(at(19_000));
        assert_eq!(told[1].age_source, AgeSource::Observed);
        assert_eq!(told[1].age_ms, 1_000);
    }
}

/// All entries are killed and start again together after a version was named.
/// Nobody observed it, so the assumed age counts, the oldest of those told, and
/// no older version answers for longer than it may.
#[test]
fn the_oldest_assumed_age_counts_where_nobody_observed() {
    let mut registry = registry(&[(1, 0)]);
    for (age_ms, ms) in [(3_500, 20_000), (3_500, 20_400)] {
        let assumed = TargetVersion { age_ms, age_source: AgeSource::Assumed, ..named(2) };
        registry.record(&assumed, SPAN, at(ms));
    }
    assert_eq!(registry.allowed("m", at(23_400)), None);
    assert_eq!(registry.allowed("m", at(23_500)), Some(vec![version(2)]));
}

/// One entry pins a version's bytes and tells the others; the digest stays.
#[test]
fn the_digest_is_taken_once_and_kept() {
    let mut registry = registry(&[(1, 0)]);
    let digest = ManifestDigest::of(b"weights");
    let pinned = TargetVersion { manifest: Some(digest), ..named(1) };
    assert!(registry.record(&pinned, SPAN, at(10)));
    assert!(!registry.record(&pinned, SPAN, at(20)));
    assert!(!registry.record(&named(1), SPAN, at(30)));
    assert_eq!(registry.newest("m").and_then(|newest| newest.manifest), Some(digest));
}

/// Endpoints with the oldest version switch first, and those that may not answer
/// any more are known to the plan.
#[test]
fn the_pace_tells_the_order_and_who_is_barred() {
    let registry = registry(&[(1, 0), (2, 18_000), (3, 20_000)]);
    let schedule = registry.schedule("m", at(25_500)).expect("versions are known");
    let names: Vec<_> = schedule.versions.iter().map(|paced| paced.version.clone()).collect();
    assert_eq!(names, [version(1), version(2), version(3)]);
    assert_eq!(schedule.retired, [version(1)]);
    assert_eq!(schedule.versions[2].exclusive_from.0, at(27_000).0);
}

/// A request waits in a full engine's queue while the time of the engine's
/// version runs out. Whoever sent it has to know that moment, or the answer
/// begins from a version that may not answer any more.
#[test]
fn the_end_of_a_version_is_the_nearest_of_all_newer_ones() {
    let registry = registry(&[(1, 0), (2, 18_000), (3, 20_000)]);
    assert_eq!(registry.expires_at("m", &version(1)).map(|end| end.0), Some(at(25_000).0));
    assert_eq!(registry.expires_at("m", &version(2)).map(|end| end.0), Some(at(27_000).0));
    assert_eq!(registry.expires_at("m", &version(3)), None);
}
