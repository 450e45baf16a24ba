//! Prefix affinity by consistent hashing with bounded loads.
//!
//! Each endpoint has several points on a hash ring, and a prefix maps to the first point after its
//! digest. All entries compute the same mapping without cache events from the engines, which arrive
//! late and with gaps. The load is bounded: a popular prefix spills over to the next endpoints on
//! the ring.

use crate::rank::rendezvous_weight;

/// Target number of points on the ring, over all endpoints.
const TOTAL_POINTS: usize = 2_048;

/// Minimum number of points per endpoint.
const MIN_POINTS: usize = 4;
const MAX_POINTS: usize = 128;

/// Maximum number of ring points visited for one prefix.
const MAX_STEPS: usize = 24;

/// Hash ring of the endpoints of one service.
#[derive(Debug, Clone, Default)]
pub struct PrefixRing {
    points: Vec<RingPoint>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct RingPoint {
    hash: u64,
    position: u32,
}

impl PrefixRing {
    /// Creates a ring of the endpoints with these names, in the order of their positions.
    pub fn new<'a>(names: impl ExactSizeIterator<Item = &'a str>) -> Self {
        let per_endpoint = (TOTAL_POINTS / names.len().max(1)).clamp(MIN_POINTS, MAX_POINTS);
        let mut points = Vec::with_capacity(names.len() * per_endpoint);
        for (position, name) in names.enumerate() {
            points.extend((0..per_endpoint).map(|number| RingPoint {
                hash: rendezvous_weight(number as u64 + 1, name),
                position: position as u32,
            }));
        }
        points.sort_unstable();
        Self { points }
    }

    /// Positions of the endpoints for `prefix` in ring order; some occur more than once.
    pub fn positions(&self, prefix: u64) -> impl Iterator<Item = usize> {
        let start = self.points.partition_point(|point| point.hash < prefix);
        let (before, after) = self.points.split_at(start);
        after.iter().chain(before).take(MAX_STEPS).map(|point| point.position as usize)
    }
}

/// Number of in-flight requests below which one of `endpoints` endpoints gets another for its
/// cache, with `total` in flight over all of them.
pub fn bounded_load(total: u32, endpoints: usize) -> u32 {
    // A quarter above the mean, plus one for the request itself.
    (u64::from(total) * 5 / (4 * endpoints.max(1) as u64)) as u32 + 1
}

/// Digest of the first `length` bytes of a prompt; `None` if the prompt is shorter.
pub fn prefix_digest(prompt: &[u8], length: usize) -> Option<u64> {
    if length == 0 || prompt.len() < length {
        return None;
    }
    let words = prompt[..length].chunks(8);
    let digest = words.fold(0_u64, |digest, word| {
        let mut bytes = [0; 8];
        bytes[..word.len()].copy_from_slice(word);
        (digest ^ u64::from_le_bytes(bytes)).wrapping_mul(0x9e37_79b9_7f4a_7c15).rotate_left(29)
    });
    Some(rendezvous_weight(digest, ""))
}
