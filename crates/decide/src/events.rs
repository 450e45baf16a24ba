//! Joins the event streams of several runs into one answer.
//!
//! Only complete events are passed on. If an endpoint failed in the middle of an event, the caller
//! would otherwise get half a line, directly followed by the events of the endpoint that resumes.
//! Events that the caller already has are dropped, since an endpoint may repeat the last ones.

/// Maximum size of an event, in bytes; anything longer is not an event stream.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// Error in an event stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum EventError {
    /// An event exceeds the maximum size.
    #[error("an event has more than {MAX_EVENT_BYTES} bytes")]
    TooLong,
    /// The stream ended within an event.
    #[error("the stream ended within an event")]
    Unfinished,
}

/// Splits the bytes of event streams into complete events and drops duplicates.
#[derive(Debug, Clone, Default)]
pub struct EventSplicer {
    /// Bytes of the incomplete event.
    pending: Vec<u8>,
    /// Number of pending bytes already searched for the end of the event.
    searched: usize,
    /// Id of the last event that was passed on.
    last_id: Option<u64>,
}

impl EventSplicer {
    /// Creates a splicer for a caller that has all events up to `last_id`.
    pub fn new(last_id: Option<u64>) -> Self {
        Self { last_id, ..Self::default() }
    }

    /// Id of the last event that was passed on.
    pub fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Number of bytes of the incomplete event.
    pub fn pending_bytes(&self) -> usize {
        self.pending.len()
    }

    /// Appends `bytes`; returns the complete events that are new to the caller.
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

    /// Checks at a regular end of the stream that no event is incomplete.
    pub fn finish(&self) -> Result<(), EventError> {
        if self.pending.is_empty() { Ok(()) } else { Err(EventError::Unfinished) }
    }

    /// Discards the incomplete event of a broken stream.
    pub fn discard_partial(&mut self) {
        self.pending.clear();
        self.searched = 0;
    }

    fn emit(&mut self, event: &[u8], ready: &mut Vec<u8>) {
        let id = event_id(event);
        // Events without an id cannot be matched, so they are always passed on.
        if id.is_some_and(|id| self.last_id.is_some_and(|last| id <= last)) {
            return;
        }
        self.last_id = id.or(self.last_id);
        ready.extend_from_slice(event);
    }

    /// Length of the first complete event, including the blank line that ends it.
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

/// Value of the `id:` line of an event.
fn event_id(event: &[u8]) -> Option<u64> {
    let mut lines = event.split(|byte| *byte == b'\n');
    let text = lines.find_map(|line| line.strip_prefix(b"id:"))?;
    std::str::from_utf8(text).ok()?.trim().parse().ok()
}
