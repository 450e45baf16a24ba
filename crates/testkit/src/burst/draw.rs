//! Draws random scenarios from a seed, with overlapping series of faults.

use std::collections::BTreeMap;

use cassiawheel_model::{
    ModelVersion, PresetName, WorkspaceId, ids::IdError, settings::TransferMode,
};
use rand::{Rng, SeedableRng, rngs::SmallRng, seq::IndexedRandom};

use super::scenario::{
    ArrivalPlan, BurstScenario, CallMix, FaultKind, FaultPlan, FaultTarget, LimitPlan,
    PresetChange, RateBurst, RateStep, WorkspaceShare,
};

/// Shortest duration that is drawn, in seconds: enough for the first preset and for a
/// fault to begin and end.
pub const SHORTEST_S: f64 = 6.0;

/// Time between the starts of two faults, in seconds.
const FAULT_GAP_S: std::ops::Range<f64> = 0.4..2.5;

/// Duration of a fault, in seconds.
const FAULT_SPAN_S: std::ops::Range<f64> = 0.3..5.0;

/// Time between two changes of the preset, in seconds.
const CHANGE_GAP_S: std::ops::Range<f64> = 2.0..7.0;

/// Probability that two operators change the preset at the same time; each chooses its
/// entry at random.
const RACE_CHANCE: f64 = 0.3;

/// Model versions from which the operators choose.
const VERSIONS: [&str; 4] = ["v1", "v2", "v3", "v4"];

/// Longest wait for the replicas of the last preset, in seconds.
const SETTLE_S: f64 = 40.0;

const FAULT_KINDS: [FaultKind; 15] = [
    FaultKind::Kill,
    FaultKind::Restart,
    FaultKind::Pause,
    FaultKind::Drain,
    FaultKind::StallLink,
    FaultKind::CutOut,
    FaultKind::SlowLink,
    FaultKind::NarrowLink,
    FaultKind::ResetLink,
    FaultKind::CorruptChunks,
    FaultKind::StoreDown,
    FaultKind::StoreSlow,
    FaultKind::StoreLostAnswer,
    FaultKind::OriginDown,
    FaultKind::Partition,
];

/// Draws the scenario of `seed`, whose arrivals last `duration_s` seconds, but at
/// least [`SHORTEST_S`].
pub fn draw_scenario(seed: u64, duration_s: f64) -> Result<BurstScenario, IdError> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut scenario = BurstScenario {
        name: format!("soak-{seed}"),
        entries: rng.random_range(2..=4),
        model_replicas: rng.random_range(3..=8),
        app_replicas: rng.random_range(2..=3),
        web_services: rng.random_range(1..=2),
        failure_domains: rng.random_range(2..=3),
        model_bytes: rng.random_range(2..=6) << 20,
        chunk_bytes: 64 << 10,
        origin_copies_per_window: 4.0,
        link_copies_per_window: 2.0,
        window_s: 4.0,
        transfer_mode: *[TransferMode::Bytes, TransferMode::Time]
            .choose(&mut rng)
            .unwrap_or(&TransferMode::Bytes),
        origin_copies: 2.0,
        duration_s: duration_s.max(SHORTEST_S),
        arrivals: draw_arrivals(&mut rng, duration_s.max(SHORTEST_S))?,
        presets: Vec::new(),
        faults: Vec::new(),
        limits: LimitPlan { settle_s: SETTLE_S, ..LimitPlan::default() },
    };
    scenario.presets = draw_presets(&mut rng, &scenario)?;
    scenario.faults = draw_faults(&mut rng, &scenario);
    Ok(scenario)
}

fn draw_arrivals(rng: &mut SmallRng, duration_s: f64) -> Result<ArrivalPlan, IdError> {
    let rps = rng.random_range(10.0..30.0);
    let at_s = rng.random_range(0.0..duration_s / 2.0);
    let for_s = duration_s / 4.0;
    Ok(ArrivalPlan {
        curve: vec![RateStep { from_s: 0.0, rps }],
        burst: Some(RateBurst { at_s, for_s, rps: 2.0 * rps }),
        mix: CallMix { generate: 0.45, read: 0.15, keyed: 0.25, unkeyed: 0.15 },
        workspaces: vec![
            WorkspaceShare { name: WorkspaceId::new("large")?, share: 0.7 },
            WorkspaceShare { name: WorkspaceId::new("small")?, share: 0.3 },
        ],
        tokens: rng.random_range(4..=24),
        token_ms: 5,
        deadline_ms: 6_000,
        callers: 24,
    })
}

fn draw_presets(
    rng: &mut SmallRng,
    scenario: &BurstScenario,
) -> Result<Vec<PresetChange>, IdError> {
    let mut changes = Vec::new();
    let mut at_s = 0.0;
    while at_s < scenario.duration_s {
        let races = at_s > 0.0 && rng.random_bool(RACE_CHANCE);
        for _ in 0..=usize::from(races) {
            let version = VERSIONS.choose(rng).unwrap_or(&VERSIONS[0]);
            changes.push(PresetChange {
                at_s,
                entry: rng.random_range(0..scenario.entries),
                name: PresetName::new(&format!("preset-{}", changes.len()))?,
                version: ModelVersion::new(version)?,
                replicas: scenario.model_replicas as u32,
            });
        }
        at_s += rng.random_range(CHANGE_GAP_S);
    }
    Ok(changes)
}

fn draw_faults(rng: &mut SmallRng, scenario: &BurstScenario) -> Vec<FaultPlan> {
    let mut faults = Vec::new();
    // Faults of the same target must not overlap: a killed process cannot be paused.
    let mut busy_until: BTreeMap<String, f64> = BTreeMap::new();
    let mut at_s = rng.random_range(FAULT_GAP_S);
    while at_s < scenario.duration_s {
        let kind = *FAULT_KINDS.choose(rng).unwrap_or(&FaultKind::Kill);
        let target = draw_target(rng, scenario, kind);
        let span = if kind == FaultKind::Restart { 0.0 } else { rng.random_range(FAULT_SPAN_S) };
        let free_from = busy_until.get(&target).copied().unwrap_or_default();
        if at_s >= free_from {
            busy_until.insert(target.clone(), at_s + span + FAULT_SPAN_S.end);
            faults.push(FaultPlan { at_s, kind, target, for_s: span });
        }
        at_s += rng.random_range(FAULT_GAP_S);
    }
    faults
}

fn draw_target(rng: &mut SmallRng, scenario: &BurstScenario, kind: FaultKind) -> String {
    match kind.target() {
        FaultTarget::Origin => "origin".to_owned(),
        FaultTarget::Store => "store".to_owned(),
        FaultTarget::Domain => format!("domain-{}", rng.random_range(0..scenario.failure_domains)),
        FaultTarget::Version => VERSIONS[0].to_owned(),
        FaultTarget::Process => match rng.random_bool(0.4) {
            true => format!("entry-{}", rng.random_range(0..scenario.entries)),
            false => format!("endpoint-{}", rng.random_range(0..scenario.endpoints())),
        },
    }
}
