//! The least time in which a version can reach all agents.

use std::time::Duration;

/// What bounds one rollout.
#[derive(Debug, Clone, Copy)]
pub struct RolloutBound {
    /// Bytes of the version.
    pub model_bytes: u64,
    /// Agents that fetch it.
    pub agents: usize,
    /// Bytes per second of each agent's link; none if nothing holds the agents to it.
    ///
    /// Loopback has no links: agents pace what they fetch, and those whose engines
    /// serve nothing do not, as there are no callers to keep the link free for. Only
    /// the origin's rate bounds their time.
    pub link_bytes_per_s: Option<u64>,
    /// Bytes per second of the origin's link.
    pub origin_bytes_per_s: u64,
}

impl RolloutBound {
    /// The least time.
    pub fn span(&self) -> Duration {
        let (size, origin) = (self.model_bytes as f64, self.origin_bytes_per_s as f64);
        let from_origin = size / origin;
        let seconds = match self.link_bytes_per_s {
            None => from_origin,
            Some(link) => {
                let (link, agents) = (link as f64, self.agents as f64);
                from_origin.max(size / link).max(agents * size / (agents * link + origin))
            }
        };
        Duration::from_secs_f64(seconds)
    }

    /// `took` over the least time; an error if it is less than that.
    ///
    /// A time below the least one means that the bound or the clock is wrong, and
    /// every ratio with it.
    pub fn ratio(&self, took: Duration) -> anyhow::Result<f64> {
        let least = self.span();
        let ratio = took.as_secs_f64() / least.as_secs_f64();
        anyhow::ensure!(ratio >= 1.0, "{took:.2?} is less than the least time, {least:.2?}");
        Ok(ratio)
    }
}
