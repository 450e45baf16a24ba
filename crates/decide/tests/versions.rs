//! Deadlines of versions that operators name one after another.

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

/// Guards against a newer version that extends the deadline of an earlier one, so that
/// callers get answers from weights that were replaced long ago.
#[test]
fn a_newer_version_does_not_postpone_an_earlier_deadline() {
    let registry = registry(&[(1, 0), (2, 18_000), (3, 20_000)]);
    assert_eq!(registry.allowed("m", at(24_900)), None);
    assert_eq!(registry.allowed("m", at(25_000)), Some(vec![version(2), version(3)]));
    assert_eq!(registry.allowed("m", at(27_000)), Some(vec![version(3)]));
    assert_eq!(registry.newest("m").map(|newest| newest.number), Some(3));
}

/// A version whose row is read late, after a newer one, must not become the newest.
#[test]
fn an_older_version_never_becomes_the_target_again() {
    let mut registry = registry(&[(1, 0), (3, 100)]);
    registry.record(&named(2), SPAN, at(200));
    assert_eq!(registry.newest("m").map(|newest| newest.number), Some(3));
}

/// The first known version replaces nothing, so no version is excluded.
#[test]
fn the_first_version_excludes_no_endpoint() {
    assert_eq!(registry(&[(4, 0)]).allowed("m", at(60_000)), None);
}

/// The deadline follows from the age of a version, also where an entry receives it five
/// seconds late from another one.
#[test]
fn the_age_counts() {
    let mut registry = registry(&[(1, 0)]);
    let recorded = TargetVersion { age_ms: 5_000, ..named(2) };
    registry.record(&recorded, SPAN, at(6_000));
    assert!(registry.allowed("m", at(7_900)).is_none());
    assert_eq!(registry.allowed("m", at(8_000)), Some(vec![version(2)]));
}

/// Guards against an assumed age that overrides an observed one. An entry that restarts just
/// after a version was named assumes an age of seconds and sends it to the others. If that
/// counted, every entry would refuse all callers for seconds in which engines may still
/// serve the older version.
#[test]
fn an_assumed_age_does_not_go_before_an_observed_one() {
    let assumed = TargetVersion { age_ms: 3_500, age_source: AgeSource::Assumed, ..named(2) };
    let observed = TargetVersion { age_ms: 250, ..named(2) };
    for targets in [[&assumed, &observed], [&observed, &assumed]] {
        let mut registry = registry(&[(1, 0)]);
        for target in targets {
            registry.record(target, SPAN, at(18_250));
        }
        assert_eq!(registry.allowed("m", at(24_900)), None);
        assert_eq!(registry.allowed("m", at(25_000)), Some(vec![version(2)]));
        let recorded = registry.named(at(19_000));
        assert_eq!(recorded[1].age_source, AgeSource::Observed);
        assert_eq!(recorded[1].age_ms, 1_000);
    }
}

/// If all entries restart after a version was named, no age is observed. The highest assumed
/// one counts, so that no older version answers for too long.
#[test]
fn the_oldest_assumed_age_counts_without_an_observed_one() {
    let mut registry = registry(&[(1, 0)]);
    for (age_ms, ms) in [(3_500, 20_000), (3_500, 20_400)] {
        let assumed = TargetVersion { age_ms, age_source: AgeSource::Assumed, ..named(2) };
        registry.record(&assumed, SPAN, at(ms));
    }
    assert_eq!(registry.allowed("m", at(23_400)), None);
    assert_eq!(registry.allowed("m", at(23_500)), Some(vec![version(2)]));
}

/// The digest that one entry pins is adopted once and then kept.
#[test]
fn the_first_digest_is_kept() {
    let mut registry = registry(&[(1, 0)]);
    let digest = ManifestDigest::of(b"weights");
    let pinned = TargetVersion { manifest: Some(digest), ..named(1) };
    assert!(registry.record(&pinned, SPAN, at(10)));
    assert!(!registry.record(&pinned, SPAN, at(20)));
    assert!(!registry.record(&named(1), SPAN, at(30)));
    assert_eq!(registry.newest("m").and_then(|newest| newest.manifest), Some(digest));
}

/// The schedule lists the versions oldest first, and those that must no longer answer.
#[test]
fn the_schedule_holds_the_order_and_the_excluded_versions() {
    let registry = registry(&[(1, 0), (2, 18_000), (3, 20_000)]);
    let schedule = registry.schedule("m", at(25_500)).expect("versions are known");
    let names: Vec<_> = schedule.versions.iter().map(|paced| paced.version.clone()).collect();
    assert_eq!(names, [version(1), version(2), version(3)]);
    assert_eq!(schedule.retired, [version(1)]);
    assert_eq!(schedule.versions[2].exclusive_from.0, at(27_000).0);
}

/// A version expires at the nearest deadline of all newer ones. The sender of a request needs
/// this time; after a long wait in an engine's queue the answer could otherwise begin from
/// a version that must no longer answer.
#[test]
fn the_end_of_a_version_is_the_nearest_of_all_newer_ones() {
    let registry = registry(&[(1, 0), (2, 18_000), (3, 20_000)]);
    assert_eq!(registry.expires_at("m", &version(1)).map(|end| end.0), Some(at(25_000).0));
    assert_eq!(registry.expires_at("m", &version(2)).map(|end| end.0), Some(at(27_000).0));
    assert_eq!(registry.expires_at("m", &version(3)), None);
}

/// Guards against a dropped version that counts as new again, and against older ones that may
/// answer because no version before the deadline is kept.
#[test]
fn a_dropped_version_is_old() {
    let offers: Vec<_> = (1..=9).map(|number| (number, 0)).collect();
    let mut registry = registry(&offers);
    assert!(!registry.record(&named(1), SPAN, at(100)));
    assert!(!registry.record(&named(2), SPAN, at(100)), "known");
    assert!(registry.record(&named(10), SPAN, at(100)));
    assert!(!registry.record(&named(2), SPAN, at(200)));
    let newest = registry.newest("m").map(|newest| newest.number);
    assert_eq!(newest, Some(10));
}

/// Guards against a dropped version that may answer again once the oldest kept one is exclusive.
#[test]
fn dropped_versions_stay_excluded() {
    let named_at = |number: u64| 6_000 * (number - 1).min(2);
    let offers: Vec<_> = (1..=9).map(|number| (number, named_at(number))).collect();
    let registry = registry(&offers);
    assert_eq!(registry.allowed("m", at(13_500)).map(|allowed| allowed.len()), Some(8));
}
