//! Rendezvous hashing: a ranking that every process computes without communication.
//!
//! All processes derive the same order from the same names. For each chunk the same agent is thus
//! first to fetch it from the origin, and for each agent the same entries are first to be dialled.

/// Weight of `name` for the key `subject`; the highest weight ranks first.
pub fn rendezvous_weight(subject: u64, name: &str) -> u64 {
    // FNV-1a over the name, then a finaliser with good avalanche (splitmix64).
    let mut hash = 0xcbf2_9ce4_8422_2325_u64 ^ mix(subject);
    for byte in name.bytes() {
        hash = (hash ^ u64::from(byte)).wrapping_mul(0x0000_0100_0000_01b3);
    }
    mix(hash)
}

fn mix(value: u64) -> u64 {
    let value = value.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}

/// Part of a chunk's weight that depends only on the chunk.
pub(crate) fn chunk_salt(index: u64) -> u64 {
    mix(index)
}

/// Part of a chunk's weight that depends only on the agent's name.
pub(crate) fn name_salt(name: &str) -> u64 {
    rendezvous_weight(0, name)
}

/// Weight of an agent for a chunk, from the salts of both.
///
/// It serves the same purpose as [`rendezvous_weight`] but does not hash the name for every chunk,
/// which would cost milliseconds per join.
pub(crate) fn salted_weight(chunk_salt: u64, name_salt: u64) -> u64 {
    mix(chunk_salt ^ name_salt)
}

/// The `count` highest ranked of `names` for `subject`.
pub fn first_ranked<'a>(
    subject: u64,
    names: impl Iterator<Item = &'a str>,
    count: usize,
) -> Vec<&'a str> {
    let mut ranked: Vec<_> = names.map(|name| (rendezvous_weight(subject, name), name)).collect();
    ranked.sort_unstable_by(|a, b| b.cmp(a));
    ranked.into_iter().take(count).map(|(_, name)| name).collect()
}

/// Stable hash of a text, for use as a subject.
pub fn subject_of(text: &str) -> u64 {
    rendezvous_weight(0, text)
}
