//! Expected work of a request.
//!
//! The work is the time that a request occupies a slot of an engine that does nothing else. The
//! answer's length is the caller's estimate, and the work is not corrected when the answer ends:
//! the fair shares are forgotten as soon as no request waits, mostly before the answers end.

use cassiawheel_model::{EngineProfile, GenerationSize};

/// Expected time of a request in a slot, in milliseconds; at least one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct RequestWork(u64);

impl RequestWork {
    /// Work of a request whose size is not taken into account.
    pub const UNIT: Self = Self(1);

    /// Work of a request of `size` to an engine; that of the usual request if the size is unknown.
    pub fn of(engine: Option<&EngineProfile>, size: Option<GenerationSize>) -> Self {
        let Some(engine) = engine else {
            return Self::UNIT;
        };
        let usual = GenerationSize { prompt: engine.usual_prompt, answer: engine.usual_answer };
        let size = size.unwrap_or(usual);
        let read_ms = match engine.read_per_ms > 0.0 {
            true => f64::from(size.prompt) / engine.read_per_ms,
            false => 0.0,
        };
        Self(((read_ms + f64::from(size.answer) * engine.step_ms) as u64).max(1))
    }

    /// The work in milliseconds.
    pub fn as_ms(self) -> u64 {
        self.0
    }
}
