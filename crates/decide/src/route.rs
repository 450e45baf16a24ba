//! Which endpoint gets a request.
//!
//! Two candidates are drawn at random and the one with the lower cost wins.
//! The cost counts requests that this entry has in progress at the endpoint
//! and the endpoint's own report, the latter discounted by its age, since it
//! lags and every entry sees the same number.

use std::{
    collections::HashMap,
    sync::{
        Arc,
        atomic::{AtomicU32, Ordering},
    },
};

use cassiawheel_model::{FailureDomain, InstanceId, ModelVersion, ServiceName, Timestamp};
use rand::Rng;

/// An endpoint that may be chosen.
#[derive(Debug, Clone)]
pub struct RouteCandidate {
    /// The instance.
    pub instance: InstanceId,
    /// Where it stands.
    pub failure_domain: FailureDomain,
    /// The version it serves; none for plain services.
    pub version: Option<ModelVersion>,
    /// Requests that it admits at a time.
    pub limit: u32,
    /// Requests in progress by its own report.
    pub reported: u32,
    /// When it measured that.
    pub measured_at: Timestamp,
    /// Requests that this entry has in progress there.
    pub in_flight: Arc<AtomicU32>,
}

/// Endpoints by service; replaced as a whole, never changed.
#[derive(Debug, Clone, Default)]
pub struct RouteSnapshot {
    /// Endpoints that serve, by service.
    pub services: HashMap<ServiceName, Vec<RouteCandidate>>,
}

/// A choice and what it was made from, for the decision log.
#[derive(Debug, Clone, Copy)]
pub struct RouteChoice<'a> {
    /// The chosen endpoint.
    pub candidate: &'a RouteCandidate,
    /// Its cost.
    pub cost: u32,
    /// Endpoints that serve the service.
    pub candidates: usize,
}

/// Age at which a load report no longer counts, in milliseconds.
const REPORT_LIFE_MS: u64 = 2_000;

/// Random draws before every candidate is looked at.
const DRAWS: usize = 2;

impl RouteSnapshot {
    /// Chooses an endpoint of `service` that is not `excluded`.
    pub fn choose<'a>(
        &'a self,
        service: &ServiceName,
        excluded: &[InstanceId],
        now: Timestamp,
        rng: &mut impl Rng,
    ) -> Option<RouteChoice<'a>> {
        let candidates = self.services.get(service)?;
        let usable = |c: &&RouteCandidate| has_room(c) && !excluded.contains(&c.instance);
        let drawn = (0..DRAWS)
            .filter_map(|_| candidates.get(rng.random_range(0..candidates.len().max(1))))
            .filter(usable)
            .min_by_key(|c| cost(c, now));
        let candidate =
            drawn.or_else(|| candidates.iter().filter(usable).min_by_key(|c| cost(c, now)))?;
        Some(RouteChoice { candidate, cost: cost(candidate, now), candidates: candidates.len() })
    }
}

fn has_room(candidate: &RouteCandidate) -> bool {
    candidate.in_flight.load(Ordering::Relaxed) < candidate.limit
}

fn cost(candidate: &RouteCandidate, now: Timestamp) -> u32 {
    let own = candidate.in_flight.load(Ordering::Relaxed);
    let age = now.since(candidate.measured_at).as_millis() as u64;
    let weight = REPORT_LIFE_MS.saturating_sub(age);
    let reported = u64::from(candidate.reported) * weight / REPORT_LIFE_MS;
    own.max(reported as u32)
}
