//! By when endpoints have to serve a version, and how many switch at a time for it.

use std::{cmp::Reverse, collections::BTreeSet};

use cassiawheel_model::{
    Deadline, EndpointReport, EndpointState, InstanceId, ManifestDigest, ModelVersion, Timestamp,
};

use super::weights::{WantedWeights, held_share};
use crate::rank::{rendezvous_weight, subject_of};

/// By when endpoints have to serve a version, and which versions no longer count.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RolloutSchedule {
    /// Versions that were named, the oldest first.
    pub versions: Vec<ScheduledVersion>,
    /// Versions that may not answer any more; their endpoints serve nothing.
    pub retired: Vec<ModelVersion>,
    /// The present moment.
    pub now: Timestamp,
}

/// A named version, and from when on nothing older may answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ScheduledVersion {
    /// The version.
    pub version: ModelVersion,
    /// Pins its bytes, once known.
    pub manifest: Option<ManifestDigest>,
    /// When the last endpoint with an older one should begin to switch.
    pub exclusive_from: Deadline,
}

/// Time in which an endpoint that holds nothing of a version comes to serve it, in milliseconds.
///
/// Some four seconds until all have fetched it, and a switch.
const FETCH_AND_SWITCH_MS: u64 = 6_000;

/// Shortest time for which it is worth to serve a version, in milliseconds.
const WORTH_SERVING_MS: u64 = 3_000;

/// Part of a version from which on it is finished though a newer one is named, in percent.
const FINISHED_FROM: u32 = 50;

/// Usual time of a switch, in milliseconds.
///
/// An engine finishes what runs, which took 1.0 to 2.6 s with answers of some
/// 24 events, and loads in 0.3 s.
const SWITCH_MS: u64 = 2_000;

impl RolloutSchedule {
    /// How many endpoints have to switch at a time to keep every time, if those
    /// in `waiting` have not begun and `under_way` have.
    ///
    /// Two versions that are named within seconds have two deadlines. Paced by
    /// the later one only, most endpoints would still serve the oldest version
    /// at the first one, and all of them would switch at once.
    ///
    /// Those under way are half done on the average. Counted in full until the
    /// first of them ends, they made the count rise with every moment: 21 of 26
    /// engines were out of service at a time where 12 keep the time as well.
    pub(super) fn at_a_time(&self, waiting: &[&EndpointReport], under_way: usize) -> usize {
        let needed = self.versions.iter().enumerate().map(|(age, paced)| {
            let older = waiting.iter().filter(|report| self.age_of(report) < age).count();
            let halves = (2 * older + under_way) as u64;
            let span = paced.exclusive_from.remaining(self.now).as_millis() as u64 + SWITCH_MS;
            (halves * SWITCH_MS).div_ceil(2 * span) as usize
        });
        needed.max().unwrap_or(waiting.len())
    }

    pub(super) fn age_of(&self, report: &EndpointReport) -> usize {
        let EndpointState::Serving { version: Some(version), .. } = &report.state else {
            return 0;
        };
        self.versions.iter().position(|known| known.version == *version).unwrap_or(0)
    }

    /// An older version than the newest that the endpoint should serve meanwhile.
    ///
    /// A version may be superseded while it is nearly there. If all endpoints
    /// turned to the newest at once, none would serve anything between the end
    /// of what they serve now and the arrival of the newest. Those that hold most
    /// of the one between go on with it, if that end is near.
    pub(super) fn step_between(&self, report: &EndpointReport) -> Option<WantedWeights<'_>> {
        let staged = report.staged.as_ref()?;
        let is_empty = report.state == EndpointState::Empty;
        let mut between = self.versions.windows(2).skip(self.age_of(report) + 1);
        let pair = between.rfind(|pair| pair[0].manifest == Some(staged.manifest))?;
        let weights = WantedWeights { version: &pair[0].version, manifest: staged.manifest };
        let is_nearly_there = held_share(report, weights) >= FINISHED_FROM;
        (is_nearly_there && self.is_worth(&pair[0], &pair[1], is_empty)).then_some(weights)
    }

    /// Whether it is worth to serve `paced` until only `next` may answer.
    fn is_worth(&self, paced: &ScheduledVersion, next: &ScheduledVersion, is_empty: bool) -> bool {
        let left_ms = |deadline: Deadline| deadline.remaining(self.now).as_millis() as u64;
        let is_urgent = is_empty || left_ms(paced.exclusive_from) < FETCH_AND_SWITCH_MS;
        is_urgent && left_ms(next.exclusive_from) >= WORTH_SERVING_MS
    }

    /// The endpoints that may take a step between: half of all, those first that
    /// have taken it.
    ///
    /// Each step costs an endpoint a switch more. With all of them on two switches
    /// in eight seconds, a third was out of service all the while, and a calm day
    /// earned less than if nobody had taken the step; with half, these serve
    /// while the others turn to the newest.
    pub(super) fn steppers(&self, chosen: &[&EndpointReport]) -> BTreeSet<InstanceId> {
        let mut ranked = chosen.to_vec();
        let subject = subject_of(&self.versions.len().to_string());
        ranked.sort_by_key(|report| {
            let rank = rendezvous_weight(subject, report.instance.as_str());
            (Reverse(self.age_of(report)), Reverse(rank))
        });
        let half = chosen.len().div_ceil(2);
        ranked.iter().take(half).map(|report| report.instance.clone()).collect()
    }

    pub(super) fn is_retired(&self, report: &EndpointReport) -> bool {
        let EndpointState::Serving { version: Some(version), .. } = &report.state else {
            return false;
        };
        self.retired.contains(version)
    }
}
