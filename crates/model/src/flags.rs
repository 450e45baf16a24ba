//! Flags packed into bits, for the wire.

/// Packs flags into bits, least significant first.
pub fn pack_flags(flags: &[bool]) -> Vec<u8> {
    let mut bits = vec![0; flags.len().div_ceil(8)];
    for (index, _) in flags.iter().enumerate().filter(|(_, flag)| **flag) {
        bits[index / 8] |= 1 << (index % 8);
    }
    bits
}

/// Positions of the set bits below `length`.
pub fn iter_set_bits(bits: &[u8], length: usize) -> impl Iterator<Item = usize> {
    let length = length.min(bits.len() * 8);
    (0..length).filter(move |index| bits[index / 8] & (1 << (index % 8)) != 0)
}
