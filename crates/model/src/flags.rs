//! Bitmaps: flags packed into bytes, as they are sent over the wire.

/// Packs flags into bytes, the least significant bit first.
pub fn pack_flags(flags: &[bool]) -> Vec<u8> {
    let mut bits = vec![0; flags.len().div_ceil(8)];
    for (index, _) in flags.iter().enumerate().filter(|(_, flag)| **flag) {
        bits[index / 8] |= 1 << (index % 8);
    }
    bits
}

/// Iterates over the indices of set bits below `length`.
pub fn iter_set_bits(bits: &[u8], length: usize) -> impl Iterator<Item = usize> {
    let length = length.min(bits.len() * 8);
    (0..length).filter(move |index| bits[index / 8] & (1 << (index % 8)) != 0)
}
