//! Validation of a scenario; all findings are collected before they are reported.

use cassiawheel_model::{
    FindingList, ModelVersion, PresetName,
    settings::{CheckedSettings, TransferMode},
};

use super::{
    ArrivalPlan, BurstScenario, FaultKind, FaultPlan, FaultTarget, LimitPlan, PresetChange,
    default_origin_copies, parse_index,
};

/// Most entries; each is a process on this machine.
const MAX_ENTRIES: usize = 20;
/// Most endpoints; the agent of each is a process on this machine.
const MAX_ENDPOINTS: usize = 200;
/// Longest `duration_s`, in seconds.
const MAX_DURATION_S: f64 = 3_600.0;

impl CheckedSettings for BurstScenario {
    fn example() -> Self {
        Self {
            name: "example".to_owned(),
            entries: 1,
            model_replicas: 1,
            app_replicas: 1,
            web_services: 1,
            failure_domains: 1,
            model_bytes: 1 << 20,
            chunk_bytes: 1 << 16,
            origin_copies_per_window: 4.0,
            link_copies_per_window: 2.0,
            window_s: 1.0,
            transfer_mode: TransferMode::Bytes,
            origin_copies: default_origin_copies(),
            duration_s: 1.0,
            arrivals: ArrivalPlan::example(),
            presets: vec![PresetChange {
                at_s: 0.0,
                entry: 0,
                name: PresetName::example(),
                version: ModelVersion::example(),
                replicas: 1,
            }],
            faults: vec![FaultPlan {
                at_s: 0.0,
                kind: FaultKind::Kill,
                target: "entry-0".to_owned(),
                for_s: 1.0,
            }],
            limits: LimitPlan::default(),
        }
    }

    fn check(&self, findings: &mut FindingList) {
        self.check_sizes(findings);
        self.arrivals.check(self.duration_s, findings);
        self.check_presets(findings);
        for (index, fault) in self.faults.iter().enumerate() {
            self.check_fault(&format!("faults[{index}]"), fault, findings);
        }
        for (path, value) in [
            ("limits.leave_s", self.limits.leave_s),
            ("limits.converge_s", self.limits.converge_s),
            ("limits.settle_s", self.limits.settle_s),
        ] {
            findings.require(value > 0.0, path, "must be more than 0");
        }
    }
}

impl BurstScenario {
    fn check_sizes(&self, findings: &mut FindingList) {
        let counts = [
            ("entries", self.entries, MAX_ENTRIES),
            ("model_replicas", self.model_replicas, MAX_ENDPOINTS),
            ("app_replicas", self.app_replicas, MAX_ENDPOINTS),
            ("web_services", self.web_services, MAX_ENDPOINTS),
            ("failure_domains", self.failure_domains, MAX_ENDPOINTS),
        ];
        for (path, count, most) in counts {
            let message = format!("must lie between 1 and {most}, is {count}");
            findings.require((1..=most).contains(&count), path, message);
        }
        findings.require(
            self.endpoints() <= MAX_ENDPOINTS,
            "model_replicas",
            format_args!("all endpoints together must be at most {MAX_ENDPOINTS}"),
        );
        findings.require(self.chunk_bytes > 0, "chunk_bytes", "must be at least 1");
        findings.require(
            self.model_bytes >= self.chunk_bytes as usize,
            "model_bytes",
            "must be at least chunk_bytes",
        );
        for (path, value) in [
            ("origin_copies_per_window", self.origin_copies_per_window),
            ("link_copies_per_window", self.link_copies_per_window),
            ("window_s", self.window_s),
        ] {
            findings.require(value > 0.0, path, "must be more than 0");
        }
        findings.require(
            (1.0..=64.0).contains(&self.origin_copies),
            "origin_copies",
            "must lie between 1 and 64",
        );
        findings.require(
            self.duration_s > 0.0 && self.duration_s <= MAX_DURATION_S,
            "duration_s",
            format_args!("must be more than 0 and at most {MAX_DURATION_S}"),
        );
    }

    fn check_presets(&self, findings: &mut FindingList) {
        match self.presets.first() {
            None => findings.push("presets", "must have at least one change"),
            Some(first) => {
                let message = "the first change is made before the arrivals: must be 0";
                findings.require(first.at_s == 0.0, "presets[0].at_s", message);
            }
        }
        for (index, change) in self.presets.iter().enumerate() {
            let path = format!("presets[{index}]");
            self.check_time(&format!("{path}.at_s"), change.at_s, findings);
            findings.require(
                change.entry < self.entries,
                format_args!("{path}.entry"),
                format_args!("there are only {} entries", self.entries),
            );
            findings.require(
                (1..=self.model_replicas as u32).contains(&change.replicas),
                format_args!("{path}.replicas"),
                format_args!("must lie between 1 and model_replicas, {}", self.model_replicas),
            );
        }
    }

    fn check_time(&self, path: &str, at_s: f64, findings: &mut FindingList) {
        let message = format!("must lie between 0 and duration_s, {}", self.duration_s);
        findings.require((0.0..=self.duration_s).contains(&at_s), path, message);
    }

    fn check_fault(&self, path: &str, fault: &FaultPlan, findings: &mut FindingList) {
        self.check_time(&format!("{path}.at_s"), fault.at_s, findings);
        let lasts = !matches!(fault.kind, FaultKind::Restart | FaultKind::VersionChange);
        let (holds, message) = match lasts {
            true => (fault.for_s > 0.0, "must be more than 0"),
            false => (fault.for_s == 0.0, "must be left out: the fault has no end of its own"),
        };
        findings.require(holds, format_args!("{path}.for_s"), message);
        let target = fault.target.as_str();
        let entry = parse_index(target, "entry-").is_some_and(|index| index < self.entries);
        let endpoint =
            parse_index(target, "endpoint-").is_some_and(|index| index < self.endpoints());
        let (holds, message) = match fault.kind.target() {
            FaultTarget::Process => {
                (entry || endpoint, "must be entry-N or endpoint-N of this scenario")
            }
            FaultTarget::Origin => (target == "origin", "must be origin"),
            FaultTarget::Store => (target == "store", "must be store"),
            FaultTarget::Version => (
                ModelVersion::new(target).is_ok(),
                "must be the model version that the operator requests",
            ),
            FaultTarget::Domain => (
                parse_index(target, "domain-").is_some_and(|index| index < self.failure_domains),
                "must be domain-N of this scenario",
            ),
        };
        findings.require(holds, format_args!("{path}.target"), message);
    }
}
