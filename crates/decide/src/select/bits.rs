//! Sets of chunks as words of bits.

/// A set of chunk positions below a fixed length.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct ChunkBits {
    words: Vec<u64>,
    length: usize,
}

impl ChunkBits {
    /// The empty set of positions below `length`.
    pub fn empty(length: usize) -> Self {
        Self { words: vec![0; length.div_ceil(64)], length }
    }

    /// The set of all positions below `length`.
    pub fn full(length: usize) -> Self {
        let mut bits = Self::empty(length);
        for index in 0..length {
            bits.insert(index);
        }
        bits
    }

    /// Whether `index` is in the set.
    pub fn contains(&self, index: usize) -> bool {
        index < self.length && self.words[index / 64] & (1 << (index % 64)) != 0
    }

    /// Adds `index`; false if it was in the set already or lies beyond its length.
    pub fn insert(&mut self, index: usize) -> bool {
        if index >= self.length || self.contains(index) {
            return false;
        }
        self.words[index / 64] |= 1 << (index % 64);
        true
    }

    /// Removes `index`; false if it was not in the set.
    pub fn remove(&mut self, index: usize) -> bool {
        if !self.contains(index) {
            return false;
        }
        self.words[index / 64] &= !(1 << (index % 64));
        true
    }

    /// Whether the set is empty.
    pub fn is_empty(&self) -> bool {
        self.words.iter().all(|word| *word == 0)
    }

    /// Positions in the set.
    pub fn count(&self) -> usize {
        self.words.iter().map(|word| word.count_ones() as usize).sum()
    }

    /// Whether both sets have a position in common.
    pub fn intersects(&self, other: &Self) -> bool {
        self.words.iter().zip(&other.words).any(|(own, other)| own & other != 0)
    }

    /// Positions in the set, ascending.
    pub fn iter(&self) -> impl Iterator<Item = usize> {
        positions(self.words.iter().copied())
    }

    /// Positions that both sets have in common, ascending.
    pub fn iter_common(&self, other: &Self) -> impl Iterator<Item = usize> {
        positions(self.words.iter().zip(&other.words).map(|(own, other)| own & other))
    }
}

fn positions(words: impl Iterator<Item = u64>) -> impl Iterator<Item = usize> {
    words.enumerate().flat_map(|(word, mut left)| {
        std::iter::from_fn(move || {
            if left == 0 {
                return None;
            }
            let bit = left.trailing_zeros() as usize;
            left &= left - 1;
            Some(word * 64 + bit)
        })
    })
}
