//! Endpoints that announce a rate limit which applies to all entries together, on the users'
//! platform.

use std::{sync::Arc, time::Duration};

use cassiawheel_edge::HttpClient;
use cassiawheel_model::Timestamp;
use cassiawheel_testkit::{PlatformSite, SiteCall, stand_in::replica::Replica};
use hyper::StatusCode;
use smol::Timer;

fn run<T>(test: impl Future<Output = anyhow::Result<T>>) -> T {
    cassiawheel_runtime::run(4, test).expect("the executor runs").expect("the test passes")
}

/// Requests per second that the limited endpoint accepts.
const LIMIT: f64 = 2.0;

/// Window in which arrivals are counted.
const WINDOW: Duration = Duration::from_secs(4);

/// Tolerated arrivals per window beyond the limit.
const SLACK: f64 = 5.0;

/// Time within which a limit has reached every entry.
const PROPAGATION_TIME: Duration = Duration::from_secs(1);

/// Time after the first answer that carries a limit within which every entry must apply it.
const LEARN_TIME: Duration = Duration::from_millis(300);

/// Interval between two requests to one entry.
const REQUEST_INTERVAL: Duration = Duration::from_millis(50);

/// Rounds of requests after a limit has ended. Chance alone then leaves an endpoint less than two
/// thirds of its equal part four times in a million runs.
const FREE_ROUNDS: usize = 160;

/// Sends requests to every entry for `span`; returns how many were not served.
async fn load(site: &PlatformSite, span: Duration, name: &str) -> anyhow::Result<usize> {
    let until = Timestamp::now().deadline_after(span);
    let mut failed = 0;
    let mut round = 0;
    while !until.is_past(Timestamp::now()) {
        let (_, unserved) = load_rounds(site, 1, &format!("{name}-{round}")).await?;
        failed += unserved;
        round += 1;
    }
    Ok(failed)
}

/// Sends `rounds` requests to every entry; returns how many were sent and how many were not served.
async fn load_rounds(
    site: &PlatformSite,
    rounds: usize,
    name: &str,
) -> anyhow::Result<(usize, usize)> {
    let client = HttpClient::default();
    let (mut sent, mut failed) = (0, 0);
    for _ in 0..rounds {
        for entry in 0..site.entries.len() {
            sent += 1;
            let id = format!("{name}-{sent}");
            let request = site.request(entry, SiteCall::new(&id, "/safe/x"))?;
            let answer = client.send_and_read(request, PROPAGATION_TIME).await?;
            failed += usize::from(answer.status() != StatusCode::OK);
        }
        Timer::after(REQUEST_INTERVAL).await;
    }
    Ok((sent, failed))
}

/// Maximum number of arrivals in any window that begins at `from` or later.
fn most_in_window(replica: &Arc<Replica>, from: Timestamp) -> usize {
    let arrivals: Vec<_> =
        replica.arrivals().iter().map(|a| a.at).filter(|at| *at >= from).collect();
    let in_window = |start: &Timestamp| {
        let end = start.deadline_after(WINDOW);
        arrivals.iter().filter(|at| **at >= *start && !end.is_past(**at)).count()
    };
    arrivals.iter().map(in_window).max().unwrap_or(0)
}

/// Number of arrivals since `from`.
fn since(replica: &Arc<Replica>, from: Timestamp) -> usize {
    replica.arrivals().iter().filter(|arrival| arrival.at >= from).count()
}

/// Entries must share an endpoint's limit instead of each using all of it or ignoring it, and
/// must not keep it by sending nothing.
#[test]
fn a_named_limit_holds_for_all_entries_together_and_is_used() {
    run(async {
        let site = PlatformSite::start(4, 5).await?;
        load(&site, PROPAGATION_TIME, "before").await?;
        site.replicas[0].set_limit(Some(LIMIT));
        load(&site, PROPAGATION_TIME, "learns").await?;
        let from = Timestamp::now();
        let span = Duration::from_secs(8);
        let failed = load(&site, span, "limited").await?;
        let most = most_in_window(&site.replicas[0], from) as f64;
        let allowed = LIMIT * WINDOW.as_secs_f64() + SLACK;
        assert!(most <= allowed, "{most} requests in 4 s where {allowed} are allowed");
        let used = since(&site.replicas[0], from) as f64;
        let least = 0.9 * LIMIT * span.as_secs_f64() - 1.0;
        assert!(used >= least, "{used} requests where {least} were to be used");
        assert_eq!(failed, 0, "what is over goes to the others");
        Ok(())
    });
}

/// Once an endpoint stops announcing a limit, the limit must end, but gradually, so that not all
/// entries return to the endpoint at the same moment.
#[test]
fn a_limit_that_is_named_no_more_ends_step_by_step() {
    run(async {
        let site = PlatformSite::start(4, 3).await?;
        site.replicas[0].set_limit(Some(LIMIT));
        load(&site, Duration::from_secs(2), "limited").await?;
        site.replicas[0].set_limit(None);
        let ended_at = Timestamp::now();
        load(&site, Duration::from_secs(1), "returns").await?;
        let first = since(&site.replicas[0], ended_at);
        assert!(first <= 10, "{first} requests in the first second");
        load(&site, Duration::from_secs(4), "returns more").await?;
        let from = Timestamp::now();
        let (requests, _) = load_rounds(&site, FREE_ROUNDS, "after").await?;
        let used = since(&site.replicas[0], from);
        let equal_part = requests / site.replicas.len();
        assert!(used * 3 >= equal_part * 2, "{used} of {requests} requests, as if limited");
        Ok(())
    });
}

/// A limit that is announced again must take effect quickly: from half a second after the first
/// answer that carries it, no entry exceeds it.
#[test]
fn a_limit_that_is_named_anew_holds_at_once() {
    run(async {
        let site = PlatformSite::start(3, 5).await?;
        load(&site, PROPAGATION_TIME, "before").await?;
        for round in 0..3 {
            site.replicas[0].set_limit(Some(1.0));
            let named_at = Timestamp::now();
            load(&site, Duration::from_secs(3), &format!("limited-{round}")).await?;
            let arrivals = site.replicas[0].arrivals().into_iter().map(|arrival| arrival.at);
            let arrivals: Vec<_> = arrivals.filter(|at| *at >= named_at).collect();
            // No entry has the limit before the first answer that carries it.
            let learned_at = arrivals[0].deadline_after(LEARN_TIME);
            let late: Vec<_> = arrivals.iter().filter(|at| learned_at.is_past(**at)).collect();
            assert!(late.len() <= 4, "round {round}: {late:?} after {named_at:?}");
            site.replicas[0].set_limit(None);
            load(&site, Duration::from_secs(3), &format!("free-{round}")).await?;
        }
        Ok(())
    });
}

/// When every endpoint announces a limit, the entries must use what the limits allow and refuse
/// the rest, instead of letting callers wait in vain.
#[test]
fn the_limits_of_all_endpoints_are_used() {
    run(async {
        let site = PlatformSite::start(8, 5).await?;
        site.replicas.iter().for_each(|replica| replica.set_limit(Some(LIMIT)));
        load(&site, Duration::from_secs(2), "learns").await?;
        let (from, span) = (Timestamp::now(), Duration::from_secs(6));
        let refused = load(&site, span, "limited").await?;
        let used: usize = site.replicas.iter().map(|replica| since(replica, from)).sum();
        let allowed = LIMIT * site.replicas.len() as f64 * span.as_secs_f64();
        assert!(used as f64 >= 0.85 * allowed, "{used} of {allowed} requests");
        assert!(refused > 0, "the load exceeds all limits, so some requests must be refused");
        Ok(())
    });
}
