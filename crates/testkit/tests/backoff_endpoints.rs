//! Endpoints that refuse requests and request backoff, on the users' platform.

use std::time::Duration;

use cassiawheel_model::Timestamp;
use cassiawheel_testkit::{PlatformSite, SiteCall, stand_in::replica::Replica};
use hyper::StatusCode;
use rstest::rstest;

fn run<T>(test: impl Future<Output = anyhow::Result<T>>) -> T {
    cassiawheel_runtime::run(4, test).expect("the executor runs").expect("the test passes")
}

/// Time after a refusal from which an entry has to keep the backoff.
const LEARN_TIME: Duration = Duration::from_millis(500);

/// Most requests of one entry that an endpoint may get during a backoff.
const MOST_IN_BACKOFF: usize = 2;

/// Index of the entry that sent the request with this id.
fn entry_of(id: &str) -> &str {
    id.split_once('-').map_or(id, |(entry, _)| entry)
}

/// Most requests of one entry within one backoff that the endpoint had requested from it.
fn most_in_backoff(replica: &Replica) -> usize {
    let arrivals = replica.arrivals();
    let within = |refusal: &cassiawheel_testkit::stand_in::replica::BackoffRecord| {
        let from = refusal.at.deadline_after(LEARN_TIME);
        let span = Duration::from_secs_f64(refusal.value.parse().unwrap_or(0.0));
        let end = refusal.at.deadline_after(span);
        let is_within = |at: Timestamp| from.is_past(at) && !end.is_past(at);
        let own = arrivals.iter().filter(|arrival| entry_of(&arrival.id) == entry_of(&refusal.id));
        own.filter(|arrival| is_within(arrival.at)).count()
    };
    replica.backoffs().iter().map(within).max().unwrap_or(0)
}

/// Guards against refusals that end at once and make an endpoint look idle, so that it attracts
/// the requests that it asked to be spared.
#[rstest]
#[case("safe")]
#[case("unsafe")]
#[case("stream")]
fn an_endpoint_that_requests_backoff_gets_it(#[case] route: &str) {
    run(async {
        let site = PlatformSite::start(4, 3).await?;
        site.load(route, Duration::from_millis(500), "before").await?;
        site.replicas[0].set_backoff(Some("2"));
        let failed = site.load(route, Duration::from_secs(5), "refused").await?;
        let most = most_in_backoff(&site.replicas[0]);
        assert!(most <= MOST_IN_BACKOFF, "{most} requests of one entry within a backoff");
        assert!(!site.replicas[0].backoffs().is_empty(), "the endpoint refused at all");
        assert_eq!(failed, 0, "the others serve");
        Ok(())
    });
}

/// Guards against an endpoint that gets no requests any more after its backoff.
#[test]
fn an_endpoint_serves_again_after_its_backoff() {
    run(async {
        let site = PlatformSite::start(3, 2).await?;
        site.replicas[0].set_backoff(Some("0.8"));
        site.load("safe", Duration::from_millis(500), "refused").await?;
        site.replicas[0].set_backoff(None);
        site.load("safe", Duration::from_secs(2), "returns").await?;
        let (before, from) = (site.replicas[0].runs().len(), Timestamp::now());
        site.load("safe", Duration::from_secs(2), "after").await?;
        let own = site.replicas[0].runs().len() - before;
        let all = site.replicas.iter().flat_map(|replica| replica.arrivals());
        let all = all.filter(|arrival| arrival.at >= from).count();
        assert!(own * 6 >= all, "{own} of {all} requests, an equal part is a third");
        Ok(())
    });
}

/// Guards against callers that wait although every endpoint is in backoff, or that get a
/// `Retry-After` at which all of them still are.
#[test]
fn callers_are_refused_at_once_while_all_endpoints_are_in_backoff() {
    run(async {
        let site = PlatformSite::start(2, 1).await?;
        site.replicas.iter().for_each(|replica| replica.set_backoff(Some("4")));
        site.load("safe", Duration::from_millis(300), "refused").await?;
        for number in 0..40 {
            let (id, path) = (format!("asks-{number}"), format!("/safe/asks-{number}"));
            let sent_at = Timestamp::now();
            let answer = site.call(SiteCall::new(&id, &path)).await?;
            let waited = Timestamp::now().since(sent_at);
            assert!(waited < Duration::from_millis(200), "refused after {waited:?}");
            assert_eq!(answer.status(), StatusCode::SERVICE_UNAVAILABLE);
            let field = answer.headers().get("retry-after").and_then(|value| value.to_str().ok());
            let wait_s: f64 = field.and_then(|text| text.parse().ok()).unwrap_or(0.0);
            assert!((3.0..=5.0).contains(&wait_s), "told to return after {wait_s} s");
        }
        Ok(())
    });
}

/// Guards against a field that no endpoint should send and that takes it out of service.
#[rstest]
#[case("-5")]
#[case("tomorrow")]
#[case("1e300")]
fn a_backoff_that_is_no_number_of_seconds_harms_nobody(#[case] value: &str) {
    run(async {
        let site = PlatformSite::start(2, 1).await?;
        site.replicas[0].set_backoff(Some(value));
        site.load("safe", Duration::from_millis(300), "odd").await?;
        site.replicas[0].set_backoff(None);
        let before = site.replicas[0].runs().len();
        site.load("safe", Duration::from_secs(1), "after").await?;
        assert!(site.replicas[0].runs().len() > before, "the endpoint serves");
        Ok(())
    });
}
