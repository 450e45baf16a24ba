//! Endpoints that refuse requests and ask for rest, on the users' platform.

use std::time::Duration;

use cassiawheel_edge::HttpClient;
use cassiawheel_model::Timestamp;
use cassiawheel_testkit::{PlatformSite, SiteCall, stand_in::replica::Replica};
use hyper::StatusCode;
use rstest::rstest;
use smol::Timer;

fn run<T>(test: impl Future<Output = anyhow::Result<T>>) -> T {
    cassiawheel_runtime::run(4, test).expect("the executor runs").expect("the test passes")
}

/// Interval between two requests to one entry.
const REQUEST_INTERVAL: Duration = Duration::from_millis(10);

/// Time after a refusal from which an entry has to keep the rest.
const LEARN_TIME: Duration = Duration::from_millis(500);

/// Most requests of one entry that an endpoint may get during a rest.
const MOST_IN_REST: usize = 2;

/// Timeout of a request.
const CALL_TIME: Duration = Duration::from_secs(3);

/// Sends requests on `route` to every entry for `span`; the ids begin with the entry's index.
/// Returns how many were not served.
async fn load(
    site: &PlatformSite,
    route: &str,
    span: Duration,
    name: &str,
) -> anyhow::Result<usize> {
    let client = HttpClient::default();
    let until = Timestamp::now().deadline_after(span);
    let (mut number, mut failed) = (0, 0);
    while !until.is_past(Timestamp::now()) {
        for entry in 0..site.entries.len() {
            number += 1;
            let (id, path) = (format!("{entry}-{name}-{number}"), format!("/{route}/{number}"));
            let request = site.request(entry, SiteCall::new(&id, &path))?;
            let answer = client.send_and_read(request, CALL_TIME).await?;
            failed += usize::from(answer.status() != StatusCode::OK);
        }
        Timer::after(REQUEST_INTERVAL).await;
    }
    Ok(failed)
}

/// Index of the entry that sent the request with this id.
fn entry_of(id: &str) -> &str {
    id.split_once('-').map_or(id, |(entry, _)| entry)
}

/// Most requests of one entry within one rest that the endpoint had asked it for.
fn most_in_rest(replica: &Replica) -> usize {
    let arrivals = replica.arrivals();
    let within = |rest: &cassiawheel_testkit::stand_in::replica::RestRecord| {
        let from = rest.at.deadline_after(LEARN_TIME);
        let span = Duration::from_secs_f64(rest.value.parse().unwrap_or(0.0));
        let end = rest.at.deadline_after(span);
        let is_within = |at: Timestamp| from.is_past(at) && !end.is_past(at);
        let own = arrivals.iter().filter(|arrival| entry_of(&arrival.id) == entry_of(&rest.id));
        own.filter(|arrival| is_within(arrival.at)).count()
    };
    replica.rests().iter().map(within).max().unwrap_or(0)
}

/// Guards against refusals that end at once and make an endpoint look idle, so that it attracts
/// the requests that it asked to be spared.
#[rstest]
#[case("safe")]
#[case("unsafe")]
#[case("stream")]
fn an_endpoint_that_asks_for_rest_gets_it(#[case] route: &str) {
    run(async {
        let site = PlatformSite::start(4, 3).await?;
        load(&site, route, Duration::from_millis(500), "before").await?;
        site.replicas[0].set_rest(Some("2"));
        let failed = load(&site, route, Duration::from_secs(5), "rests").await?;
        let most = most_in_rest(&site.replicas[0]);
        assert!(most <= MOST_IN_REST, "{most} requests of one entry within a rest");
        assert!(!site.replicas[0].rests().is_empty(), "the endpoint was asked at all");
        assert_eq!(failed, 0, "the others serve");
        Ok(())
    });
}

/// Guards against an endpoint that gets no requests any more after its rest.
#[test]
fn an_endpoint_serves_again_after_its_rest() {
    run(async {
        let site = PlatformSite::start(3, 2).await?;
        site.replicas[0].set_rest(Some("0.8"));
        load(&site, "safe", Duration::from_millis(500), "rests").await?;
        site.replicas[0].set_rest(None);
        load(&site, "safe", Duration::from_secs(2), "returns").await?;
        let (before, from) = (site.replicas[0].runs().len(), Timestamp::now());
        load(&site, "safe", Duration::from_secs(2), "after").await?;
        let own = site.replicas[0].runs().len() - before;
        let all = site.replicas.iter().flat_map(|replica| replica.arrivals());
        let all = all.filter(|arrival| arrival.at >= from).count();
        assert!(own * 6 >= all, "{own} of {all} requests, an equal part is a third");
        Ok(())
    });
}

/// Guards against callers that wait although every endpoint rests, or that are told a time at
/// which all of them still rest.
#[test]
fn callers_are_refused_at_once_while_all_endpoints_rest() {
    run(async {
        let site = PlatformSite::start(2, 1).await?;
        site.replicas.iter().for_each(|replica| replica.set_rest(Some("4")));
        load(&site, "safe", Duration::from_millis(300), "rests").await?;
        let sent_at = Timestamp::now();
        let answer = site.call(SiteCall::new("asks", "/safe/asks")).await?;
        let waited = Timestamp::now().since(sent_at);
        assert!(waited < Duration::from_millis(200), "refused after {waited:?}");
        assert_eq!(answer.status(), StatusCode::SERVICE_UNAVAILABLE);
        let field = answer.headers().get("retry-after").and_then(|value| value.to_str().ok());
        let wait_s: f64 = field.and_then(|text| text.parse().ok()).unwrap_or(0.0);
        assert!((3.0..=5.0).contains(&wait_s), "told to return after {wait_s} s");
        Ok(())
    });
}

/// Guards against a field that no endpoint should send and that takes it out of service.
#[rstest]
#[case("-5")]
#[case("tomorrow")]
#[case("1e300")]
fn a_rest_that_is_no_number_of_seconds_harms_nobody(#[case] value: &str) {
    run(async {
        let site = PlatformSite::start(2, 1).await?;
        site.replicas[0].set_rest(Some(value));
        load(&site, "safe", Duration::from_millis(300), "odd").await?;
        site.replicas[0].set_rest(None);
        let before = site.replicas[0].runs().len();
        load(&site, "safe", Duration::from_secs(1), "after").await?;
        assert!(site.replicas[0].runs().len() > before, "the endpoint serves");
        Ok(())
    });
}
