//! Layers of a model, and which of them an engine has loaded.
//!
//! An engine can load a contiguous range of layers. Requests then pass through several engines
//! whose ranges together cover all layers once and in order.

use std::ops::Range;

use macro_rules_attribute::apply;

use crate::ModelVersion;

/// A contiguous range of layers that is not empty.
#[apply(label!)]
#[serde(try_from = "(u32, u32)", into = "(u32, u32)")]
pub struct LayerRange {
    from: u32,
    to: u32,
}

/// Error for a layer range without layers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("the layer range {from}-{to} is empty")]
pub struct EmptyRange {
    from: u32,
    to: u32,
}

/// Layers of one version that an engine has loaded without holding all of them.
#[apply(record!)]
#[derive(Eq)]
pub struct LoadedLayers {
    /// Version of the layers.
    pub version: ModelVersion,
    /// The loaded layers.
    pub range: LayerRange,
}

impl LayerRange {
    /// Creates the range from `from` up to and excluding `to`.
    pub fn new(from: u32, to: u32) -> Result<Self, EmptyRange> {
        if from < to { Ok(Self { from, to }) } else { Err(EmptyRange { from, to }) }
    }

    /// First layer of the range.
    pub fn from(self) -> u32 {
        self.from
    }

    /// First layer after the range.
    pub fn to(self) -> u32 {
        self.to
    }

    /// Whether `other` lies within this range.
    pub fn contains(self, other: Self) -> bool {
        self.from <= other.from && other.to <= self.to
    }

    /// Indices of the chunks that hold the range, of a version with `chunks` chunks and `layers`
    /// layers. A chunk on the border of two layers belongs to both.
    pub fn chunks(self, chunks: usize, layers: u32) -> Range<usize> {
        let layers = layers.max(1) as usize;
        let start = self.from as usize * chunks / layers;
        let end = (self.to as usize * chunks).div_ceil(layers);
        start.min(chunks)..end.min(chunks)
    }
}

impl TryFrom<(u32, u32)> for LayerRange {
    type Error = EmptyRange;

    fn try_from((from, to): (u32, u32)) -> Result<Self, EmptyRange> {
        Self::new(from, to)
    }
}

impl From<LayerRange> for (u32, u32) {
    fn from(range: LayerRange) -> Self {
        (range.from, range.to)
    }
}
