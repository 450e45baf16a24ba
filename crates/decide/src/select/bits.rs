//! Bit sets of chunk indices.

/// A set of chunk indices below a fixed length.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct ChunkBits {
    words: Vec<u64>,
    length: usize,
}

impl ChunkBits {
    /// Creates an empty set of indices below `length`.
    pub fn empty(length: usize) -> Self {
        Self { words: vec![0; length.div_ceil(64)], length }
    }

    /// Creates the set of all indices below `length`.
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

    /// Adds `index`; returns false if it is already in the set or not below its length.
    pub fn insert(&mut self, index: usize) -> bool {
        if index >= self.length || self.contains(index) {
            return false;
        }
        self.words[index / 64] |= 1 << (index % 64);
        true
    }

    /// Removes `index`; returns false if it was not in the set.
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

    /// Returns the number of indices in the set.
    pub fn count(&self) -> usize {
        self.words.iter().map(|word| word.count_ones() as usize).sum()
    }

    /// Whether both sets have an index in common.
    pub fn intersects(&self, other: &Self) -> bool {
        self.words.iter().zip(&other.words).any(|(own, other)| own & other != 0)
    }

    /// Whether all three sets have an index in common.
    pub fn intersects_both(&self, one: &Self, other: &Self) -> bool {
        let words = self.words.iter().zip(&one.words).zip(&other.words);
        words.into_iter().any(|((own, one), other)| own & one & other != 0)
    }

    /// Iterates over the indices in ascending order.
    pub fn iter(&self) -> impl Iterator<Item = usize> {
        indices(self.words.iter().copied())
    }

    /// Iterates over the indices that both sets have in common, in ascending order.
    pub fn iter_common(&self, other: &Self) -> impl Iterator<Item = usize> {
        indices(self.words.iter().zip(&other.words).map(|(own, other)| own & other))
    }
}

fn indices(words: impl Iterator<Item = u64>) -> impl Iterator<Item = usize> {
    words.enumerate().flat_map(|(word, mut remaining)| {
        std::iter::from_fn(move || {
            if remaining == 0 {
                return None;
            }
            let bit = remaining.trailing_zeros() as usize;
            remaining &= remaining - 1;
            Some(word * 64 + bit)
        })
    })
}
