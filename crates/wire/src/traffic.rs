//! Bytes that this process exchanges with others, by conversation.
//!
//! Control traffic has an allowance of its own, so it is told apart from
//! requests and weights.

use std::sync::LazyLock;

use prometheus::{IntCounter, Registry};

use crate::WireMessage;

/// Counters of the bytes sent and received by this process.
pub struct TrafficCounters {
    sent: ConversationCounters,
    received: ConversationCounters,
}

struct ConversationCounters {
    control: IntCounter,
    request: IntCounter,
    chunk: IntCounter,
}

/// The counters of this process.
pub static TRAFFIC: LazyLock<TrafficCounters> = LazyLock::new(TrafficCounters::new);

impl TrafficCounters {
    fn new() -> Self {
        Self {
            sent: ConversationCounters::new("sent"),
            received: ConversationCounters::new("received"),
        }
    }

    /// Adds the counters to `registry`.
    pub fn register(&self, registry: &Registry) -> prometheus::Result<()> {
        for counters in [&self.sent, &self.received] {
            for counter in [&counters.control, &counters.request, &counters.chunk] {
                registry.register(Box::new(counter.clone()))?;
            }
        }
        Ok(())
    }

    /// Counts a message of `bytes` that was sent.
    pub(crate) fn count_sent(&self, message: &WireMessage, bytes: usize) {
        self.sent.of(message).inc_by(bytes as u64);
    }

    /// Counts a message of `bytes` that was received.
    pub(crate) fn count_received(&self, message: &WireMessage, bytes: usize) {
        self.received.of(message).inc_by(bytes as u64);
    }
}

impl ConversationCounters {
    fn new(direction: &str) -> Self {
        let counter = |conversation: &str| {
            let name = format!("cassiawheel_wire_{conversation}_{direction}_bytes_total");
            let help = format!("Bytes of {conversation} messages {direction}");
            // The names are fixed and valid, so this cannot fail at run time.
            IntCounter::new(name, help)
                .unwrap_or_else(|error| unreachable!("a fixed metric name: {error}"))
        };
        Self { control: counter("control"), request: counter("request"), chunk: counter("chunk") }
    }

    fn of(&self, message: &WireMessage) -> &IntCounter {
        match message {
            WireMessage::Hello(_) | WireMessage::Control(_) => &self.control,
            WireMessage::Request(_) => &self.request,
            WireMessage::Chunk(_) => &self.chunk,
        }
    }
}
