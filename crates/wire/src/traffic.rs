//! Counters of the bytes sent and received, and of queued and dropped messages.
//!
//! Control traffic has its own bandwidth limit, so it is counted separately from
//! requests and weights.

use std::sync::LazyLock;

use prometheus::{IntCounter, IntCounterVec, IntGauge, Opts, Registry};

use crate::{WireMessage, lanes::MessageLane};

/// Counters of bytes by direction and of dropped messages, by kind of message.
pub struct TrafficCounters {
    sent: ConversationCounters,
    received: ConversationCounters,
    dropped: IntCounterVec,
    queued: LaneGauges,
}

/// Gauges of the messages queued on all connections.
struct LaneGauges {
    urgent: IntGauge,
    state: IntGauge,
    ordinary: IntGauge,
}

struct ConversationCounters {
    control: IntCounter,
    request: IntCounter,
    chunk: IntCounter,
}

/// Counters of this process.
pub static TRAFFIC: LazyLock<TrafficCounters> = LazyLock::new(TrafficCounters::new);

impl TrafficCounters {
    fn new() -> Self {
        Self {
            sent: ConversationCounters::new("sent"),
            received: ConversationCounters::new("received"),
            dropped: dropped_counter(),
            queued: LaneGauges::new(),
        }
    }

    /// Registers the counters with `registry`.
    pub fn register(&self, registry: &Registry) -> prometheus::Result<()> {
        for counters in [&self.sent, &self.received] {
            for counter in [&counters.control, &counters.request, &counters.chunk] {
                registry.register(Box::new(counter.clone()))?;
            }
        }
        registry.register(Box::new(self.queued.urgent.clone()))?;
        registry.register(Box::new(self.queued.state.clone()))?;
        registry.register(Box::new(self.queued.ordinary.clone()))?;
        registry.register(Box::new(self.dropped.clone()))
    }

    /// Changes the number of messages queued in `lane` by `count`.
    pub(crate) fn add_queued(&self, lane: MessageLane, count: i64) {
        match lane {
            MessageLane::Urgent => self.queued.urgent.add(count),
            MessageLane::State => self.queued.state.add(count),
            MessageLane::Ordinary => self.queued.ordinary.add(count),
            // A connection has one at most.
            MessageLane::Preset => {}
        }
    }

    /// Counts a sent message of `bytes`.
    pub(crate) fn count_sent(&self, message: &WireMessage, bytes: usize) {
        self.sent.counter(message).inc_by(bytes as u64);
    }

    /// Counts a message that was dropped because the queue of its connection was full.
    pub(crate) fn count_dropped(&self, message: &WireMessage) {
        self.dropped.with_label_values(&[message.kind()]).inc();
    }

    /// Counts a received message of `bytes`.
    pub(crate) fn count_received(&self, message: &WireMessage, bytes: usize) {
        self.received.counter(message).inc_by(bytes as u64);
    }
}

fn dropped_counter() -> IntCounterVec {
    let name = "cassiawheel_wire_dropped_messages_total";
    let help = "Messages dropped because the queue of their connection was full, by kind";
    // The name is constant and valid, so this cannot fail at run time.
    IntCounterVec::new(Opts::new(name, help), &["kind"])
        .unwrap_or_else(|error| unreachable!("invalid metric name: {error}"))
}

impl LaneGauges {
    fn new() -> Self {
        let gauge = |lane: &str| {
            let name = format!("cassiawheel_wire_queued_{lane}_messages");
            let help = format!("Messages in the {lane} lanes of all connections");
            // The names are constant and valid, so this cannot fail at run time.
            IntGauge::new(name, help)
                .unwrap_or_else(|error| unreachable!("invalid metric name: {error}"))
        };
        Self { urgent: gauge("urgent"), state: gauge("state"), ordinary: gauge("ordinary") }
    }
}

impl ConversationCounters {
    fn new(direction: &str) -> Self {
        let counter = |conversation: &str| {
            let name = format!("cassiawheel_wire_{conversation}_{direction}_bytes_total");
            let help = format!("Bytes of {conversation} messages {direction}");
            // The names are constant and valid, so this cannot fail at run time.
            IntCounter::new(name, help)
                .unwrap_or_else(|error| unreachable!("invalid metric name: {error}"))
        };
        Self { control: counter("control"), request: counter("request"), chunk: counter("chunk") }
    }

    fn counter(&self, message: &WireMessage) -> &IntCounter {
        match message {
            WireMessage::Hello(_) | WireMessage::Control(_) => &self.control,
            WireMessage::Request(_) => &self.request,
            WireMessage::Chunk(_) => &self.chunk,
        }
    }
}
