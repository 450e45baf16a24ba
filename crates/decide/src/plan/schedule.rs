//! Version deadlines, and how many endpoints switch at a time to meet them.

use std::{cmp::Reverse, collections::BTreeSet};

use cassiawheel_model::{
    Deadline, EndpointReport, EndpointState, InstanceId, ManifestDigest, ModelVersion, Timestamp,
};

use super::weights::{WantedWeights, held_percent};
use crate::rank::{rendezvous_weight, subject_of};

/// Deadlines of the named versions of one model, and the versions past theirs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RolloutSchedule {
    /// Named versions, oldest first.
    pub versions: Vec<ScheduledVersion>,
    /// Versions that must no longer answer; an endpoint with one of them counts as idle.
    pub retired: Vec<ModelVersion>,
    /// Current time.
    pub now: Timestamp,
}

/// A named version and the deadline after which no older version may answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ScheduledVersion {
    /// Name of the version.
    pub version: ModelVersion,
    /// Digest of its manifest, once known.
    pub manifest: Option<ManifestDigest>,
    /// By when the last endpoint with an older version has to begin its switch.
    pub exclusive_from: Deadline,
}

/// Time until an endpoint that holds no chunk of a version serves it, in milliseconds.
///
/// About four seconds until all endpoints have fetched it, plus a switch.
const FETCH_AND_SWITCH_MS: u64 = 6_000;

/// Shortest time for which switching to a version is worthwhile, in milliseconds.
const MIN_SERVING_MS: u64 = 3_000;

/// Percentage of a version from which its transfer is completed although a newer one is named.
const COMPLETION_PERCENT: u32 = 50;

/// Typical duration of a switch, in milliseconds.
///
/// An engine finishes its running requests, which took 1.0 to 2.6 s with answers of
/// about 24 events, and loads the weights in 0.3 s.
const SWITCH_MS: u64 = 2_000;

impl RolloutSchedule {
    /// Returns how many endpoints have to switch at a time to meet all deadlines, where
    /// those in `waiting` have not begun their switch and `in_progress` others have.
    ///
    /// Two versions that are named within seconds have separate deadlines. If only the
    /// later one counted, most endpoints would still serve the oldest version at the
    /// earlier deadline, and all of them would switch at once.
    ///
    /// A switch in progress is half done on average. When each was counted in full until
    /// the first one ended, the result rose continuously: 21 of 26 engines were out of
    /// service at a time where 12 meet the deadline as well.
    pub(super) fn required_concurrency(
        &self,
        waiting: &[&EndpointReport],
        in_progress: usize,
    ) -> usize {
        let needed = self.versions.iter().enumerate().map(|(index, version)| {
            let older = waiting.iter().filter(|report| self.version_index(report) < index).count();
            let halves = (2 * older + in_progress) as u64;
            let span = version.exclusive_from.remaining(self.now).as_millis() as u64 + SWITCH_MS;
            (halves * SWITCH_MS).div_ceil(2 * span) as usize
        });
        needed.max().unwrap_or(waiting.len())
    }

    /// Position of the endpoint's version among the named ones; 0 if it serves none of them.
    pub(super) fn version_index(&self, report: &EndpointReport) -> usize {
        let EndpointState::Serving { version: Some(version), .. } = &report.state else {
            return 0;
        };
        self.versions.iter().position(|known| known.version == *version).unwrap_or(0)
    }

    /// Returns the intermediate version, older than the newest, to serve next, if any.
    ///
    /// A version may be superseded when most of it is staged. If all endpoints dropped it
    /// for the newest one, none would serve anything between the deadline of their
    /// current version and the arrival of the newest. Endpoints that hold most of the
    /// intermediate version complete it if that deadline is close.
    pub(super) fn intermediate_version(
        &self,
        report: &EndpointReport,
    ) -> Option<WantedWeights<'_>> {
        let staged = report.staged.as_ref()?;
        let is_empty = report.state == EndpointState::Empty;
        let mut candidates = self.versions.windows(2).skip(self.version_index(report) + 1);
        let pair = candidates.rfind(|pair| pair[0].manifest == Some(staged.manifest))?;
        let weights = WantedWeights { version: &pair[0].version, manifest: staged.manifest };
        let is_mostly_staged = held_percent(report, weights) >= COMPLETION_PERCENT;
        (is_mostly_staged && self.is_worthwhile(&pair[0], &pair[1], is_empty)).then_some(weights)
    }

    /// Whether serving `version` is worthwhile until only `next` may answer.
    fn is_worthwhile(
        &self,
        version: &ScheduledVersion,
        next: &ScheduledVersion,
        is_empty: bool,
    ) -> bool {
        let remaining_ms = |deadline: Deadline| deadline.remaining(self.now).as_millis() as u64;
        let is_urgent = is_empty || remaining_ms(version.exclusive_from) < FETCH_AND_SWITCH_MS;
        is_urgent && remaining_ms(next.exclusive_from) >= MIN_SERVING_MS
    }

    /// Returns the endpoints that may serve an intermediate version: half of all, first
    /// those with the newest version.
    ///
    /// An intermediate version costs an endpoint an additional switch. With two switches
    /// of all endpoints in eight seconds, a third was out of service throughout, and the
    /// result of an ordinary day was worse than without intermediate versions. With half
    /// of them, these serve while the others switch to the newest version.
    pub(super) fn intermediate_endpoints(
        &self,
        selected: &[&EndpointReport],
    ) -> BTreeSet<InstanceId> {
        let mut ranked = selected.to_vec();
        let subject = subject_of(&self.versions.len().to_string());
        ranked.sort_by_key(|report| {
            let rank = rendezvous_weight(subject, report.instance.as_str());
            (Reverse(self.version_index(report)), Reverse(rank))
        });
        let half = selected.len().div_ceil(2);
        ranked.iter().take(half).map(|report| report.instance.clone()).collect()
    }

    /// Whether the endpoint serves a version that must no longer answer.
    pub(super) fn is_retired(&self, report: &EndpointReport) -> bool {
        let EndpointState::Serving { version: Some(version), .. } = &report.state else {
            return false;
        };
        self.retired.contains(version)
    }
}
