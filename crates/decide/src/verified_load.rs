//! Steps of a load of staged chunks that the engine does not verify itself.
//!
//! The chunks are checked, the engine is ordered to load them, and the answer is compared with the
//! age of the check. If the engine may have taken the chunks later than the check holds, they are
//! checked once more; if they are corrupt then, the engine is ordered to drop the layers, as it
//! would ignore a second order for a version that it holds.

use std::{ops::Range, time::Duration};

use cassiawheel_model::{ModelVersion, Timestamp};

use crate::load_proof::{ChunkCheck, LoadProofs};

/// Number of checks after which an order no longer waits for a quick one.
const MAX_CHECKS: u32 = 3;

/// What to do next for a load.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LoadStep {
    /// Read the engine's report.
    ReadReport,
    /// Read the chunks back and verify them.
    CheckChunks,
    /// Order the engine to load them.
    SendOrder,
    /// Order the engine to drop all layers of the version.
    DropLayers,
    /// Nothing; the load ended.
    End(LoadEnd),
}

/// How a load ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LoadEnd {
    /// The engine has accepted the order and takes intact chunks.
    Proved,
    /// Chunks are missing or corrupt; the engine has loaded none.
    Damaged,
    /// The engine may have loaded corrupt chunks; it was ordered to drop them.
    Unproved,
}

/// A load in progress.
#[derive(Debug)]
pub struct VerifiedLoad {
    version: ModelVersion,
    chunks: Range<usize>,
    step: LoadStep,
    check: Option<ChunkCheck>,
    checks: u32,
    is_ordered: bool,
    /// Number of orders that the engine has accepted, if it counts them.
    sequence: Option<u64>,
}

impl VerifiedLoad {
    /// Creates a load of `chunks` of `version`.
    pub fn new(version: ModelVersion, chunks: Range<usize>) -> Self {
        Self {
            version,
            chunks,
            step: LoadStep::ReadReport,
            check: None,
            checks: 0,
            is_ordered: false,
            sequence: None,
        }
    }

    /// What to do next.
    pub fn step(&self) -> LoadStep {
        self.step
    }

    /// Age of the last check before the order; zero before it.
    pub fn check_age(&self, now: Timestamp) -> Duration {
        self.check.map_or(Duration::ZERO, |check| check.age(now))
    }

    /// Number of checks before the order.
    pub fn checks(&self) -> u32 {
        self.checks
    }

    /// Records a report of the engine: whether it holds layers of the version or is loading, and
    /// how many orders it has accepted.
    pub fn report_read(
        &mut self,
        proofs: &mut LoadProofs,
        may_hold: bool,
        sequence: Option<u64>,
        now: Timestamp,
    ) {
        match may_hold {
            true => proofs.found_held(&self.version, sequence, now),
            false => proofs.holds_nothing(&self.version, sequence, now),
        }
        self.sequence = sequence;
        self.step = match proofs.is_refuted(&self.version) {
            true => LoadStep::DropLayers,
            false => LoadStep::CheckChunks,
        };
    }

    /// Records the result of a check that began at `begun_at` and ended at `now`.
    pub fn chunks_checked(
        &mut self,
        proofs: &mut LoadProofs,
        begun_at: Timestamp,
        now: Timestamp,
        is_intact: bool,
    ) {
        let check = ChunkCheck::begin(begun_at);
        self.step = if self.is_ordered {
            match is_intact && proofs.chunks_intact(&self.version, &self.chunks) {
                true => LoadStep::End(LoadEnd::Proved),
                false => LoadStep::DropLayers,
            }
        } else if !is_intact {
            // An earlier order without an answer may have loaded what is corrupt now.
            match proofs.is_unproven(&self.version) {
                true => LoadStep::DropLayers,
                false => LoadStep::End(LoadEnd::Damaged),
            }
        } else {
            self.check = Some(check);
            self.checks += 1;
            match check.permits_order(now) || self.checks >= MAX_CHECKS {
                true => LoadStep::SendOrder,
                false => LoadStep::CheckChunks,
            }
        };
    }

    /// Records the order, before it is sent; returns the number of accepted orders that it has to
    /// name as its precondition.
    pub fn order_sent(&mut self, proofs: &mut LoadProofs, now: Timestamp) -> Option<u64> {
        if let Some(check) = self.check {
            let chunks = self.chunks.clone();
            proofs.order_sent(&self.version, chunks, check, self.sequence, now);
        }
        self.is_ordered = true;
        self.sequence
    }

    /// Records that the engine accepted the order.
    pub fn order_answered(&mut self, proofs: &mut LoadProofs, now: Timestamp) {
        self.step = match proofs.order_answered(&self.version, now) {
            true => LoadStep::End(LoadEnd::Proved),
            false => LoadStep::CheckChunks,
        };
    }

    /// Records that the engine was ordered to drop its layers; its next report shows whether it did.
    pub fn layers_dropped(&mut self) {
        self.step = LoadStep::End(LoadEnd::Unproved);
    }
}
