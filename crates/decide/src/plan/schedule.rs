//! Version deadlines, and how many endpoints switch at a time to meet them.

use std::{cmp::Reverse, collections::BTreeSet};

use cassiawheel_model::{
    Deadline, EndpointReport, EndpointState, InstanceId, ManifestDigest, ModelVersion, Timestamp,
};

use super::weights::{FULLY_HELD, WantedWeights, held_percent};
use crate::rank::{rendezvous_weight, subject_of};

/// Deadlines of the named versions of one model, and the versions past theirs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RolloutSchedule {
    /// Named versions, oldest first.
    pub versions: Vec<ScheduledVersion>,
    /// Versions that must no longer answer; an endpoint with one of them counts as idle.
    pub retired: Vec<ModelVersion>,
    /// Least time in which a whole version can be fetched from the origin, in milliseconds.
    pub copy_ms: u64,
    /// Current time.
    pub now: Timestamp,
}

/// Progress of all endpoints of a service.
pub(super) struct FleetProgress {
    /// Manifest of the newest version.
    pub(super) newest: Option<ManifestDigest>,
    /// Largest percentage of the newest version that an endpoint holds.
    pub(super) newest_percent: u32,
    /// Endpoints that may serve an intermediate version before the newest.
    pub(super) intermediate: BTreeSet<InstanceId>,
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
const COMPLETION_PERCENT: u32 = 25;

/// Shortest time between the deadlines of two versions in which the first one can serve, in
/// milliseconds.
const MIN_GAP_MS: u64 = 1_000;

/// Percentage of the newest version from which it is expected to arrive in time.
const NEARLY_ARRIVED_PERCENT: u32 = 50;

/// Fetches and switches in succession for which there has to be time before an older version is
/// dropped in favour of the newest: the origin may fail during the first of them.
const ATTEMPTS_IN_TIME: u64 = 3;

/// Time in which an idle engine loads staged weights, in milliseconds.
const LOAD_MS: u64 = 400;

/// Shortest time that serving a version has to gain, in milliseconds.
const MIN_GAIN_MS: u64 = 300;

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

    /// Returns the intermediate version, older than the newest, to complete or serve next, if any.
    ///
    /// A version may be superseded before it serves. If all endpoints dropped it for the newest
    /// one, none would serve anything between the deadline of their current version and the arrival
    /// of the newest, which takes long if the origin becomes unavailable.
    pub(super) fn intermediate_version(
        &self,
        report: &EndpointReport,
        fleet: &FleetProgress,
    ) -> Option<WantedWeights<'_>> {
        let staged = report.staged.as_ref()?;
        let mut candidates = self.versions.windows(2).skip(self.version_index(report) + 1);
        let pair = candidates.rfind(|pair| pair[0].manifest == Some(staged.manifest))?;
        let weights = WantedWeights { version: &pair[0].version, manifest: staged.manifest };
        let held = held_percent(report, weights);
        let is_idle = report.state == EndpointState::Empty || self.is_retired(report);
        let switch_ms = if is_idle { LOAD_MS } else { SWITCH_MS };
        let end_ms = self.remaining_ms(pair[0].exclusive_from);
        // An endpoint that stages this version holds nothing of the newest one.
        let newest_ms = self.fetch_ms(held) + self.copy_ms + switch_ms;
        let is_useful = match self.fetch_ms(held) + switch_ms <= end_ms {
            true => self.is_reserve(pair),
            false => self.serving_gain_ms(held, switch_ms, pair) >= MIN_GAIN_MS,
        };
        let is_chosen = match held < FULLY_HELD {
            true => report.ordered != fleet.newest && (is_idle || held >= COMPLETION_PERCENT),
            // Each has to finish its requests before it can switch again.
            false => {
                newest_ms >= self.remaining_ms(pair[1].exclusive_from)
                    || fleet.intermediate.contains(&report.instance)
            }
        };
        let is_outdated = fleet.newest_percent == FULLY_HELD && !is_idle;
        (is_useful && is_chosen && !is_outdated).then_some(weights)
    }

    /// Time for which the first version of `pair` serves between its predecessor and the newest
    /// version, less the time by which it delays the newest, in milliseconds.
    fn serving_gain_ms(&self, held: u32, switch_ms: u64, pair: &[ScheduledVersion]) -> u64 {
        let fetch_ms = self.fetch_ms(held);
        let from_ms = (fetch_ms + switch_ms).max(self.remaining_ms(pair[0].exclusive_from));
        let until_ms =
            self.remaining_ms(pair[1].exclusive_from).min(fetch_ms + self.copy_ms + switch_ms);
        until_ms.saturating_sub(from_ms + fetch_ms)
    }

    /// Whether the first version of `pair` is kept in case the newest one does not arrive in time.
    fn is_reserve(&self, pair: &[ScheduledVersion]) -> bool {
        let gap_ms = pair[1].exclusive_from.0.saturating_sub(pair[0].exclusive_from.0);
        let needed_ms = ATTEMPTS_IN_TIME * (self.copy_ms + SWITCH_MS);
        gap_ms >= MIN_GAP_MS && self.remaining_ms(pair[0].exclusive_from) <= needed_ms
    }

    /// Whether endpoints have to begin their switch to the version that they hold although the
    /// newest one is still expected.
    pub(super) fn is_bridge_due(&self, manifest: ManifestDigest, fleet: &FleetProgress) -> bool {
        let version = self.versions.iter().find(|version| version.manifest == Some(manifest));
        let limit_ms = match fleet.newest_percent < NEARLY_ARRIVED_PERCENT {
            true => FETCH_AND_SWITCH_MS,
            false => MIN_SERVING_MS,
        };
        version.is_some_and(|version| self.remaining_ms(version.exclusive_from) < limit_ms)
    }

    fn remaining_ms(&self, deadline: Deadline) -> u64 {
        deadline.remaining(self.now).as_millis() as u64
    }

    /// Least time until an endpoint that holds `held` percent of a version holds all of it.
    fn fetch_ms(&self, held: u32) -> u64 {
        self.copy_ms * u64::from(FULLY_HELD - held.min(FULLY_HELD)) / u64::from(FULLY_HELD)
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
        ranked.sort_by_cached_key(|report| {
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
