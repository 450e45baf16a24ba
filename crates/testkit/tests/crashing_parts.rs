//! Prompts with a part that crashes every endpoint which starts to answer them, on the users'
//! platform.

use std::time::Duration;

use cassiawheel_edge::HttpClient;
use cassiawheel_model::{Deadline, Timestamp};
use cassiawheel_testkit::{PlatformSite, SiteCall, stand_in::replica::FATAL_PART};
use http_body_util::BodyExt;
use hyper::StatusCode;
use rstest::rstest;
use smol::Timer;

fn run<T>(test: impl Future<Output = anyhow::Result<T>>) -> T {
    cassiawheel_runtime::run(4, test).expect("the executor runs").expect("the test passes")
}

/// Maximum number of endpoints that requests with such a part may crash.
const MAX_CRASHED: usize = 6;

/// Time after the fifth crash within which entries may still forward such requests.
const PROPAGATION_TIME: Duration = Duration::from_secs(1);

/// Interval between two arrivals of such requests.
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

/// Sends `count` requests whose prompts share a fatal part, at all entries in turn.
async fn send_fatal(site: &mut PlatformSite, route: &str, count: usize) -> anyhow::Result<()> {
    for number in 0..count {
        let (id, path) = (format!("fatal-{number}"), format!("/{route}/{number}"));
        let prompt = format!("aa:40,{FATAL_PART}:300,{number:x}:120");
        let call = SiteCall { prompt: Some(&prompt), ..SiteCall::new(&id, &path) };
        let entry = number % site.entries.len();
        send(site, entry, call).await?;
        site.replace_ended().await?;
        Timer::after(ARRIVAL_INTERVAL).await;
    }
    Ok(())
}

/// Guards against a part of prompts that crashes one endpoint after the other because every request
/// with it is new.
#[rstest]
#[case("safe")]
#[case("stream")]
#[case("unsafe")]
fn a_part_that_crashes_endpoints_reaches_few_of_them(#[case] route: &str) {
    run(async {
        let mut site = PlatformSite::start(6, 3).await?;
        send_fatal(&mut site, route, 16).await?;
        let ended = site.ended();
        assert!((3..=MAX_CRASHED).contains(&ended), "{ended} endpoints ended");
        let mut arrivals: Vec<_> = site
            .replicas
            .iter()
            .flat_map(|replica| replica.fatal_arrivals())
            .map(|f| f.at)
            .collect();
        arrivals.sort_unstable();
        let bound: Option<Deadline> = arrivals.get(4).map(|at| at.deadline_after(PROPAGATION_TIME));
        let late = arrivals.iter().filter(|at| bound.is_some_and(|bound| bound.is_past(**at)));
        assert_eq!(late.count(), 0, "forwarded more than a second after the fifth crash");
        Ok(())
    });
}

/// Guards against refusing sound requests that share caller, route and the other parts with those
/// that crash endpoints, and against refusing the part where it is a request's own.
#[test]
fn sound_requests_with_the_other_parts_are_served() {
    run(async {
        let mut site = PlatformSite::start(8, 3).await?;
        for number in 0..20 {
            let (id, prompt) = (format!("before-{number}"), format!("aa:40,bb:200,{number:x}:80"));
            let call = SiteCall { prompt: Some(&prompt), ..SiteCall::new(&id, "/safe/before") };
            assert_eq!(send(&site, number % 3, call).await?, Some(StatusCode::OK), "{id}");
        }
        send_fatal(&mut site, "safe", 12).await?;
        Timer::after(PROPAGATION_TIME).await;
        for (number, part) in ["bb", "cc", "dd"].into_iter().cycle().take(30).enumerate() {
            let (id, prompt) =
                (format!("sound-{number}"), format!("aa:40,{part}:200,{number:x}:80"));
            let call = SiteCall { prompt: Some(&prompt), ..SiteCall::new(&id, "/safe/sound") };
            let began_at = Timestamp::now();
            assert_eq!(send(&site, number % 3, call).await?, Some(StatusCode::OK), "{id}");
            let took = Timestamp::now().since(began_at);
            assert!(took < Duration::from_millis(200), "{id} took {took:?}");
        }
        Ok(())
    });
}

/// Guards against a refusal that claims too much or too little: nothing was run, and the caller is
/// given a long `retry-after`.
#[test]
fn a_prompt_with_a_barred_part_is_refused_at_once() {
    run(async {
        let mut site = PlatformSite::start(6, 2).await?;
        send_fatal(&mut site, "safe", 10).await?;
        for entry in 0..2 {
            let prompt = format!("cc:10,{FATAL_PART}:300,ee:9");
            let call = SiteCall { prompt: Some(&prompt), ..SiteCall::new("last", "/unsafe/last") };
            let sent_at = Timestamp::now();
            let request = site.request(entry, call)?;
            let answer = HttpClient::default().send_and_read(request, PROPAGATION_TIME).await?;
            assert!(Timestamp::now().since(sent_at) < Duration::from_millis(200), "refused late");
            assert_eq!(answer.status(), StatusCode::SERVICE_UNAVAILABLE, "entry {entry}");
            let wait_s: f64 = answer.headers()["retry-after"].to_str()?.parse()?;
            assert!(wait_s > 60.0, "retry after {wait_s} s");
        }
        assert_eq!(site.runs_of("last"), 0);
        Ok(())
    });
}

/// Time after an entry's start from which it refuses what was barred before.
const START_TIME: Duration = Duration::from_millis(2_500);

/// Guards against a part that crashes endpoints again after all entries have lost power.
#[test]
fn a_barred_part_outlives_all_entries() {
    run(async {
        let mut site = PlatformSite::start(6, 2).await?;
        send_fatal(&mut site, "safe", 10).await?;
        for entry in &mut site.entries {
            entry.process.kill()?;
        }
        for entry in 0..2 {
            site.restart_entry(entry)?;
            site.wait_ready(&site.entries[entry], true).await?;
        }
        Timer::after(START_TIME).await;
        let before = site.ended();
        for entry in 0..2 {
            let prompt = format!("aa:40,{FATAL_PART}:300,{entry}:9");
            let call = SiteCall { prompt: Some(&prompt), ..SiteCall::new("after", "/safe/after") };
            let status = send(&site, entry, call).await?;
            assert_eq!(status, Some(StatusCode::SERVICE_UNAVAILABLE), "entry {entry}");
        }
        assert_eq!(site.ended(), before, "an endpoint ended again");
        Ok(())
    });
}
