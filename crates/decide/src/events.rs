//! Joining the event streams of several runs into one answer.
//!
//! Only whole events are passed on. An endpoint that dies in the middle of an
//! event would else leave its caller with half a line, and the events of the
//! endpoint that goes on would be glued to it. Events that the caller has
//! already are dropped, since an endpoint may repeat the last ones.

/// Largest event, in bytes; a longer one is no event stream.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// What is wrong with a stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum EventError {
    /// An event is longer than any real one.
    #[error("an event has more than {MAX_EVENT_BYTES} bytes")]
    TooLong,
    /// The stream ended within an event.
    #[error("the stream ended within an event")]
    Unfinished,
}

/// Takes in the bytes of event streams and gives out whole events.
#[derive(Debug, Clone, Default)]
pub struct EventSplicer {
    /// The event that has begun.
    pending: Vec<u8>,
    /// Bytes of it that were searched for its end.
    searched: usize,
    /// The last event that was given out.
    last_id: Option<u64>,
}

impl EventSplicer {
    /// A splicer for a caller that has all events up to `last_id`.
    pub fn new(last_id: Option<u64>) -> Self {
        Self { last_id, ..Self::default() }
    }

    /// The last event that was given out.
    pub fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Takes `bytes` in; the whole events that the caller does not have yet.
    pub fn push(&mut self, bytes: &[u8]) -> Result<Vec<u8>, EventError> {
        self.pending.extend_from_slice(bytes);
        let mut ready = Vec::new();
        while let Some(length) = self.event_length() {
            let event: Vec<u8> = self.pending.drain(..length).collect();
            self.searched = 0;
            self.emit(&event, &mut ready);
        }
        if self.pending.len() > MAX_EVENT_BYTES {
            return Err(EventError::TooLong);
        }
        Ok(ready)
    }

    /// Notes that a stream ended as a whole.
    pub fn finish(&self) -> Result<(), EventError> {
        if self.pending.is_empty() { Ok(()) } else { Err(EventError::Unfinished) }
    }

    /// Forgets the event that a broken stream has begun.
    pub fn discard_partial(&mut self) {
        self.pending.clear();
        self.searched = 0;
    }

    fn emit(&mut self, event: &[u8], ready: &mut Vec<u8>) {
        let id = event_id(event);
        // Without an id there is no telling whether the caller has it.
        if id.is_some_and(|id| self.last_id.is_some_and(|last| id <= last)) {
            return;
        }
        self.last_id = id.or(self.last_id);
        ready.extend_from_slice(event);
    }

    /// Length of the first event with the empty line that ends it.
    fn event_length(&mut self) -> Option<usize> {
        let start = self.searched.saturating_sub(3);
        let found = (start..self.pending.len()).find_map(|at| {
            let rest = &self.pending[at..];
            let end = [b"\n\n".as_slice(), b"\r\n\r\n".as_slice()]
                .into_iter()
                .find(|end| rest.starts_with(end))?;
            Some(at + end.len())
        });
        self.searched = self.pending.len();
        found
    }
}

/// The number after `id:` in an event.
fn event_id(event: &[u8]) -> Option<u64> {
    let mut lines = event.split(|byte| *byte == b'\n');
    let text = lines.find_map(|line| line.strip_prefix(b"id:"))?;
    std::str::from_utf8(text).ok()?.trim().parse().ok()
}
