//! The age of a version that a read of the operators' rows returns.

use std::time::Duration;

use cassiawheel_decide::FollowedRows;
use cassiawheel_model::{AgeSource, StorePosition, Timestamp};
use rstest::rstest;

/// Guards against all engines going out of service after an outage of the table service,
/// because a version named meanwhile is assumed to be as old as the outage.
#[rstest]
#[case::waiting(Some(4), Some(10_000), false, 0, AgeSource::Observed)]
#[case::after_an_outage(Some(4), Some(2_000), false, 0, AgeSource::Observed)]
#[case::in_place_of_a_reader(Some(4), Some(10_000), true, 2_000, AgeSource::Assumed)]
#[case::history_lost(None, Some(9_000), false, 1_000, AgeSource::Assumed)]
#[case::at_the_start(None, None, false, 3_500, AgeSource::Assumed)]
fn a_version_is_as_old_as_it_may_be(
    #[case] position: Option<u64>,
    #[case] until_ms: Option<u64>,
    #[case] by_others: bool,
    #[case] age_ms: u64,
    #[case] source: AgeSource,
) {
    let position = position.map(|version| StorePosition { era: 1, version });
    let followed = FollowedRows { position, until: until_ms.map(Timestamp), by_others };
    let age = followed.version_age(Timestamp(10_000));
    assert_eq!(age, (Duration::from_millis(age_ms), source));
}
