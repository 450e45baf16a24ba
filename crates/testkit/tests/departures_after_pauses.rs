//! Endpoints that leave while entries stand still or the entries that read the list are gone.

use std::time::Duration;

use cassiawheel_edge::HttpClient;
use cassiawheel_model::Timestamp;
use cassiawheel_runtime::spawn;
use cassiawheel_testkit::{PlatformSite, SiteCall, platform_site::wait_until};
use hyper::StatusCode;
use rstest::rstest;
use smol::Timer;

fn run<T>(test: impl Future<Output = anyhow::Result<T>>) -> T {
    cassiawheel_runtime::run(4, test).expect("the executor runs").expect("the test passes")
}

/// Time after which an endpoint that has left gets no requests.
const DRAIN_TIME: Duration = Duration::from_secs(2);

/// Timeout of a request.
const CALL_TIME: Duration = Duration::from_secs(4);

/// Time between two requests.
const CALL_INTERVAL: Duration = Duration::from_millis(10);

/// How an endpoint leaves.
#[derive(Debug, Clone, Copy)]
enum Departure {
    /// Its row says so.
    Draining,
    /// Its row is removed.
    Removed,
}

fn leave(site: &PlatformSite, index: usize, departure: Departure) {
    match departure {
        Departure::Draining => site.set_state(index, "draining"),
        Departure::Removed => site.rows.remove("servers", &site.replicas[index].id),
    }
}

/// Sends requests to `entry` for `span`; returns how many were not answered with 200.
async fn load(site: &PlatformSite, entry: usize, span: Duration) -> anyhow::Result<usize> {
    let client = HttpClient::default();
    let until = Timestamp::now().deadline_after(span);
    let (mut number, mut failed) = (0, 0);
    while !until.is_past(Timestamp::now()) {
        number += 1;
        let (id, path) = (format!("load-{entry}-{number}"), format!("/safe/{number}"));
        let request = site.request(entry, SiteCall::new(&id, &path))?;
        let answer = client.send_and_read(request, CALL_TIME).await?;
        failed += usize::from(answer.status() != StatusCode::OK);
        Timer::after(CALL_INTERVAL).await;
    }
    Ok(failed)
}

/// Number of requests that reached an endpoint later than `DRAIN_TIME` after it had left.
fn late_arrivals(site: &PlatformSite, index: usize, left_at: Timestamp) -> usize {
    let bound = left_at.deadline_after(DRAIN_TIME);
    let arrivals = site.replicas[index].arrivals();
    arrivals.iter().filter(|arrival| bound.is_past(arrival.at)).count()
}

/// Guards against an absence of the table service that is assumed from the time between two reads.
#[rstest]
#[case(Departure::Removed)]
#[case(Departure::Draining)]
fn an_endpoint_that_leaves_while_the_readers_stand_still_gets_no_requests(
    #[case] departure: Departure,
) {
    run(async {
        let site = PlatformSite::start(4, 6).await?;
        Timer::after(Duration::from_secs(2)).await;
        load(&site, 5, Duration::from_millis(300)).await?;
        for reader in &site.entries[..4] {
            reader.process.pause()?;
        }
        leave(&site, 0, departure);
        let left_at = Timestamp::now();
        let failed = load(&site, 5, Duration::from_secs(5)).await?;
        for reader in &site.entries[..4] {
            reader.process.resume()?;
        }
        assert_eq!(late_arrivals(&site, 0, left_at), 0, "requests after the departure");
        assert_eq!(failed, 0, "the others serve");
        Ok(())
    });
}

/// Guards against requests that an entry routes by what it knew before it stood still.
#[rstest]
#[case(Departure::Removed, 3)]
#[case(Departure::Draining, 3)]
#[case(Departure::Removed, 1)]
#[case(Departure::Draining, 1)]
fn an_entry_that_stood_still_sends_nothing_to_endpoints_that_left(
    #[case] departure: Departure,
    #[case] entries: usize,
) {
    run(async {
        let site = PlatformSite::start(4, entries).await?;
        Timer::after(Duration::from_secs(2)).await;
        let paused = entries - 1;
        load(&site, paused, Duration::from_millis(300)).await?;
        site.entries[paused].process.pause()?;
        leave(&site, 0, departure);
        let left_at = Timestamp::now();
        Timer::after(Duration::from_millis(2_300)).await;
        let waiting = (0..40).map(|number| {
            let (id, path) = (format!("waiting-{number}"), format!("/safe/w{number}"));
            let request = site.request(paused, SiteCall::new(&id, &path));
            spawn(async move {
                HttpClient::default()
                    .send_and_read(request?, CALL_TIME)
                    .await
                    .map_err(anyhow::Error::from)
            })
        });
        let waiting: Vec<_> = waiting.collect();
        Timer::after(Duration::from_millis(200)).await;
        site.entries[paused].process.resume()?;
        let mut failed = load(&site, paused, Duration::from_secs(3)).await?;
        for call in waiting {
            let answer = call.await?;
            failed += usize::from(answer.status() != StatusCode::OK);
        }
        assert_eq!(late_arrivals(&site, 0, left_at), 0, "requests after the departure");
        assert_eq!(failed, 0, "the others serve");
        Ok(())
    });
}

/// Guards against endpoints that are ejected since their answers were read after a pause.
#[test]
fn a_pause_of_the_entry_ejects_no_endpoint() {
    run(async {
        let site = PlatformSite::start(4, 1).await?;
        load(&site, 0, Duration::from_millis(300)).await?;
        let calls = (0..60).map(|number| {
            let (id, path) = (format!("running-{number}"), format!("/stream/{number}"));
            let request = site.request(0, SiteCall::new(&id, &path));
            spawn(async move {
                HttpClient::default()
                    .send_and_read(request?, CALL_TIME)
                    .await
                    .map_err(anyhow::Error::from)
            })
        });
        let calls: Vec<_> = calls.collect();
        Timer::after(Duration::from_millis(25)).await;
        site.entries[0].process.pause()?;
        Timer::after(Duration::from_millis(2_500)).await;
        site.entries[0].process.resume()?;
        for call in calls {
            let _ = call.await;
        }
        let read_log = || std::fs::read_to_string(site.log(0));
        wait_until(async || Ok(read_log()?.contains("The process stood still."))).await?;
        let log = read_log()?;
        assert!(!log.contains("Ejected an endpoint"), "the endpoints have answered in time");
        Ok(())
    });
}
