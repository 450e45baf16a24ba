//! Watches for times in which this process stands still.

use std::sync::Arc;

use cassiawheel_decide::pause_detector::TICK_INTERVAL;
use cassiawheel_model::Timestamp;
use smol::Timer;

use crate::{routed::RoutedState, shared::EntryShared};

/// Watches for pauses; runs until the process ends.
pub(crate) async fn watch(shared: Arc<EntryShared>, routed: Arc<RoutedState>) {
    let pauses = &routed.freshness.pauses;
    loop {
        if let Some(span) = pauses.tick(Timestamp::now()) {
            let (pause_ms, longest) = (span.as_millis() as u64, pauses.longest());
            shared.metrics.list.set_longest_pause(longest);
            log::warn!(target: "pause", pause_ms = pause_ms, longest_ms = longest.as_millis() as u64; "The process stood still.");
        }
        Timer::after(TICK_INTERVAL).await;
    }
}
