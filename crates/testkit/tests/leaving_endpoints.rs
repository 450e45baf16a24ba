//! Endpoints that state in their answers that they are leaving, on the users' platform.

use std::time::Duration;

use cassiawheel_edge::HttpClient;
use cassiawheel_testkit::{PlatformSite, SiteCall};
use hyper::StatusCode;
use rstest::rstest;
use smol::Timer;

fn run<T>(test: impl Future<Output = anyhow::Result<T>>) -> T {
    cassiawheel_runtime::run(4, test).expect("the executor runs").expect("the test passes")
}

/// Time within which the departure has reached every entry.
const PROPAGATION_TIME: Duration = Duration::from_secs(1);

/// Timeout of a request.
const CALL_TIME: Duration = Duration::from_secs(3);

/// Guards against entries that learn of a departure only from the list, which nobody can read
/// while the store is down.
#[rstest]
#[case("safe")]
#[case("unsafe")]
#[case("stream")]
fn an_endpoint_that_states_it_leaves_gets_no_new_requests(#[case] route: &str) {
    run(async {
        let site = PlatformSite::start(4, 3).await?;
        site.load(route, Duration::from_millis(500), "before").await?;
        site.store_faults.set_down(true);
        site.replicas[0].announce_leaving();
        site.load(route, PROPAGATION_TIME, "learns").await?;
        let before = site.replicas[0].arrivals().len();
        let failed = site.load(route, Duration::from_secs(2), "after").await?;
        let late = site.replicas[0].arrivals().len() - before;
        assert_eq!(late, 0, "requests reached an endpoint that leaves");
        assert_eq!(failed, 0, "the others serve");
        Ok(())
    });
}

/// Guards against a departure that only the entry knows which passed on the answer.
#[test]
fn a_departure_reaches_entries_that_sent_nothing_to_the_endpoint() {
    run(async {
        let mut site = PlatformSite::start(2, 2).await?;
        site.store_faults.set_down(true);
        site.replicas[0].announce_leaving();
        let client = HttpClient::default();
        for number in 0..40 {
            let (id, path) = (format!("one-{number}"), format!("/safe/one-{number}"));
            let request = site.request(0, SiteCall::new(&id, &path))?;
            client.send_and_read(request, CALL_TIME).await?;
        }
        Timer::after(PROPAGATION_TIME).await;
        // A process that starts now has never had an answer of the endpoint.
        site.entries[1].process.kill()?;
        site.restart_entry(1)?;
        site.wait_ready(&site.entries[1], true).await?;
        Timer::after(PROPAGATION_TIME).await;
        let before = site.replicas[0].arrivals().len();
        for number in 0..40 {
            let (id, path) = (format!("two-{number}"), format!("/safe/two-{number}"));
            let request = site.request(1, SiteCall::new(&id, &path))?;
            let answer = client.send_and_read(request, CALL_TIME).await?;
            assert_eq!(answer.status(), StatusCode::OK);
        }
        assert_eq!(site.replicas[0].arrivals().len(), before, "the neighbour knew");
        Ok(())
    });
}
