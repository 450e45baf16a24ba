//! Requests that crash every endpoint which starts to run them, on the users' platform.

use std::{io::ErrorKind, net::TcpStream, time::Duration};

use cassiawheel_edge::HttpClient;
use cassiawheel_model::{Deadline, Timestamp};
use cassiawheel_testkit::{PlatformSite, SiteCall, stand_in::replica::Replica};
use http_body_util::BodyExt;
use hyper::StatusCode;
use smol::Timer;

fn run<T>(test: impl Future<Output = anyhow::Result<T>>) -> T {
    cassiawheel_runtime::run(4, test).expect("the executor runs").expect("the test passes")
}

/// Maximum number of endpoints that such a request may crash before every entry refuses it.
const MAX_CRASHED: usize = 6;

/// Time after the third crash within which entries may still forward the request.
const PROPAGATION_TIME: Duration = Duration::from_secs(1);

/// Interval between two arrivals of the request.
const ARRIVAL_INTERVAL: Duration = Duration::from_millis(150);

/// Sends a request to an entry. Returns the status, or `None` if the response body broke off.
async fn send(
    site: &PlatformSite,
    entry: usize,
    call: SiteCall<'_>,
) -> anyhow::Result<Option<StatusCode>> {
    let answer = HttpClient::default().send(site.request(entry, call)?).await?;
    let (head, body) = answer.into_parts();
    Ok(body.collect().await.is_ok().then_some(head.status))
}

/// An endpoint that has crashed must refuse connections at once; otherwise an entry that probes it
/// counts no crash, and the request reaches further endpoints.
#[test]
fn a_crashed_endpoint_refuses_connections_at_once() {
    let test = async {
        let replica = Replica::new("i-1");
        let addr = replica.serve("127.0.0.1:0".parse()?).await?;
        replica.end();
        // The only thread of the executor is busy here, so no other task has run since.
        let refused = TcpStream::connect(addr).err().map(|error| error.kind());
        assert_eq!(refused, Some(ErrorKind::ConnectionRefused));
        anyhow::Ok(())
    };
    cassiawheel_runtime::run(1, test).expect("the executor runs").expect("the test passes");
}

/// A request that crashes endpoints must be quarantined at every entry after a few crashes.
#[test]
fn a_request_that_ends_endpoints_reaches_few_of_them() {
    run(async {
        for path in ["/safe/fatal", "/stream/fatal", "/unsafe/fatal"] {
            let mut site = PlatformSite::start(6, 3).await?;
            for number in 0..16 {
                let id = format!("fatal-{number}");
                send(&site, number % 3, SiteCall::new(&id, path)).await?;
                site.replace_ended().await?;
                Timer::after(ARRIVAL_INTERVAL).await;
            }
            let ended = site.ended();
            assert!((3..=MAX_CRASHED).contains(&ended), "{path}: {ended} endpoints ended");
            let mut arrivals: Vec<_> = site
                .replicas
                .iter()
                .flat_map(|replica| replica.fatal_arrivals())
                .map(|f| f.at)
                .collect();
            arrivals.sort_unstable();
            let bound: Deadline = arrivals[2].deadline_after(PROPAGATION_TIME);
            let late = arrivals.iter().filter(|arrival| bound.is_past(**arrival)).count();
            assert_eq!(late, 0, "{path}: forwarded more than a second after the third crash");
        }
        Ok(())
    });
}

/// A request that may have run must not be reported as not run, and a quarantined request must
/// get a long `retry-after`.
#[test]
fn a_request_that_ends_endpoints_is_refused_truly() {
    run(async {
        let mut site = PlatformSite::start(6, 1).await?;
        for number in 0..3 {
            let id = format!("fatal-{number}");
            let answer = site.call(SiteCall::new(&id, "/safe/fatal")).await?;
            let ran = site.runs_of(&id) > 0;
            let says_not_run = answer.status() == StatusCode::SERVICE_UNAVAILABLE;
            assert!(!(ran && says_not_run), "{id} ran and was answered {}", answer.status());
            site.replace_ended().await?;
            Timer::after(ARRIVAL_INTERVAL).await;
        }
        let began_at = Timestamp::now();
        let answer = site.call(SiteCall::new("fatal-last", "/safe/fatal")).await?;
        assert!(Timestamp::now().since(began_at) < Duration::from_millis(200), "refused late");
        assert_eq!(answer.status(), StatusCode::SERVICE_UNAVAILABLE);
        assert_eq!(site.runs_of("fatal-last"), 0);
        let wait_s: f64 = answer.headers()["retry-after"].to_str()?.parse()?;
        assert!(wait_s > 60.0, "called back after {wait_s} s");
        Ok(())
    });
}

/// Time after an entry's start from which it refuses requests that were quarantined before.
const START_TIME: Duration = Duration::from_millis(2_500);

/// The quarantine must survive the loss of all entries; otherwise the request would crash
/// endpoints again after a power failure.
#[test]
fn a_bar_outlives_all_entries() {
    run(async {
        let mut site = PlatformSite::start(6, 2).await?;
        for number in 0..8 {
            let id = format!("fatal-{number}");
            send(&site, number % 2, SiteCall::new(&id, "/safe/fatal")).await?;
            site.replace_ended().await?;
            Timer::after(ARRIVAL_INTERVAL).await;
        }
        for entry in &mut site.entries {
            entry.process.kill()?;
        }
        for index in 2..4 {
            site.add_entry()?;
            site.wait_ready(&site.entries[index], true).await?;
        }
        Timer::after(START_TIME).await;
        let before = site.ended();
        for entry in 2..4 {
            let id = format!("fatal-at-{entry}");
            let status = send(&site, entry, SiteCall::new(&id, "/safe/fatal")).await?;
            assert_eq!(status, Some(StatusCode::SERVICE_UNAVAILABLE), "entry {entry}");
        }
        assert_eq!(site.ended(), before, "an endpoint ended again");
        Ok(())
    });
}

/// Requests of another caller, path or body must not be refused because of a quarantined one, nor
/// because the endpoint that ran them crashed.
#[test]
fn requests_beside_one_that_ends_endpoints_are_served() {
    run(async {
        let mut site = PlatformSite::start(6, 2).await?;
        let unrelated = SiteCall { patience_ms: 5_000, ..SiteCall::new("r", "/stream/innocent") };
        for number in 0..12 {
            let (fatal, id) = (format!("fatal-{number}"), format!("r-{number}"));
            let other = SiteCall { id: &id, ..unrelated };
            let entry = number % 2;
            let (_, status) = smol::future::zip(
                send(&site, entry, SiteCall::new(&fatal, "/safe/fatal")),
                send(&site, 1 - entry, other),
            )
            .await;
            let cut = status?.is_none_or(|status| status != StatusCode::OK);
            assert!(!cut || site.ended() > 0, "an unrelated request failed without cause");
            site.replace_ended().await?;
            Timer::after(ARRIVAL_INTERVAL).await;
        }
        for number in 0..8 {
            let id = format!("after-{number}");
            let status = send(&site, number % 2, SiteCall { id: &id, ..unrelated }).await?;
            assert_eq!(status, Some(StatusCode::OK), "an unrelated request is refused");
        }
        Ok(())
    });
}
