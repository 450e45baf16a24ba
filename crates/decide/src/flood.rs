//! Duplicate detection for messages that are flooded to every entry.

use std::collections::HashMap;

use cassiawheel_model::InstanceId;

/// Size of the window in which duplicates are detected, in messages per process.
const WINDOW: u64 = 64;

/// Recently seen message numbers of each process.
#[derive(Debug, Default)]
pub struct FloodFilter {
    seen: HashMap<InstanceId, SeenNumbers>,
}

#[derive(Debug, Clone, Copy)]
struct SeenNumbers {
    incarnation: u64,
    newest: u64,
    /// Bit `n` is set if the message `n` before the newest was seen.
    bits: u64,
}

impl FloodFilter {
    /// Records a message; true if it is seen for the first time.
    ///
    /// A message older than the window counts as a duplicate.
    pub fn insert(&mut self, origin: &InstanceId, incarnation: u64, number: u64) -> bool {
        let fresh = SeenNumbers { incarnation, newest: number, bits: 1 };
        let Some(seen) = self.seen.get_mut(origin) else {
            self.seen.insert(origin.clone(), fresh);
            return true;
        };
        if incarnation != seen.incarnation {
            let is_later = incarnation > seen.incarnation;
            if is_later {
                *seen = fresh;
            }
            return is_later;
        }
        if number > seen.newest {
            let step = number - seen.newest;
            seen.bits = if step < WINDOW { seen.bits << step | 1 } else { 1 };
            seen.newest = number;
            return true;
        }
        let behind = seen.newest - number;
        let is_new = behind < WINDOW && seen.bits & (1 << behind) == 0;
        if is_new {
            seen.bits |= 1 << behind;
        }
        is_new
    }

    /// Removes the processes for which `is_present` is false.
    pub fn keep_only(&mut self, is_present: impl Fn(&InstanceId) -> bool) {
        self.seen.retain(|origin, _| is_present(origin));
    }
}
