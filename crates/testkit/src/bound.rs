//! Lower bound on the time in which a version can reach all agents.

use std::time::Duration;

/// Sizes and rates that bound the time of one rollout.
#[derive(Debug, Clone, Copy)]
pub struct RolloutBound {
    /// Size of the version, in bytes.
    pub model_bytes: u64,
    /// Number of agents that fetch it.
    pub agents: usize,
    /// Rate of each agent's link, in bytes per second; none if it does not limit the agents.
    ///
    /// Loopback has no link limits of its own. Agents pace their own transfers, but not
    /// while their engines serve nothing, as there is no caller traffic to leave room
    /// for. The time of such agents is bounded by the origin's rate alone.
    pub link_bytes_per_s: Option<u64>,
    /// Rate of the origin's link, in bytes per second.
    pub origin_bytes_per_s: u64,
}

impl RolloutBound {
    /// Shortest possible time of the rollout.
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

    /// Ratio of `took` to the lower bound; an error if it is below 1.
    ///
    /// A time below the bound means that the bound or the clock is wrong, which makes
    /// every ratio wrong.
    pub fn ratio(&self, took: Duration) -> anyhow::Result<f64> {
        let least = self.span();
        let ratio = took.as_secs_f64() / least.as_secs_f64();
        anyhow::ensure!(ratio >= 1.0, "{took:.2?} is below the lower bound of {least:.2?}");
        Ok(ratio)
    }
}
