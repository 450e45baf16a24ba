//! Recent times that requests took, by route.

use std::{collections::HashMap, sync::Arc, time::Duration};

use arc_swap::ArcSwap;
use cassiawheel_decide::answer_times::AnswerTimes;
use cassiawheel_model::Timestamp;

/// Most routes whose times are recorded; the records begin anew beyond that.
const MAX_ROUTES: usize = 8_192;

/// Times by route.
#[derive(Debug, Default)]
pub(crate) struct RouteTimes(ArcSwap<HashMap<String, Arc<AnswerTimes>>>);

impl RouteTimes {
    /// Records that a request on `route` took `span`.
    pub(crate) fn record(&self, route: &str, span: Duration) {
        let now = Timestamp::now();
        if let Some(times) = self.0.load().get(route) {
            times.record(span, now);
            return;
        }
        self.0.rcu(|known| {
            let mut known = match known.len() < MAX_ROUTES {
                true => HashMap::clone(known),
                false => HashMap::new(),
            };
            known.entry(route.to_owned()).or_default().record(span, now);
            known
        });
    }

    /// Longest recent time of a request on `route`; `None` if there was none.
    pub(crate) fn longest(&self, route: &str) -> Option<Duration> {
        self.0.load().get(route).and_then(|times| times.longest())
    }
}
