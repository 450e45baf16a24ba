//! Requests on the users' platform: entries run as processes; endpoints and store are
//! stand-ins with injected faults.

use std::time::Duration;

use cassiawheel_edge::HttpClient;
use cassiawheel_model::Timestamp;
use cassiawheel_testkit::{
    PlatformSite, SiteCall,
    platform_site::{config, wait_until},
    stand_in::replica::{EVENTS, ReplicaMode},
};
use http_body_util::BodyExt;
use hyper::StatusCode;
use rstest::rstest;
use serde_json::json;

fn run<T>(test: impl Future<Output = anyhow::Result<T>>) -> T {
    cassiawheel_runtime::run(4, test).expect("the executor runs").expect("the test passes")
}

/// Time until every entry has read a change of the list; they poll it every 500 ms.
const LIST_TIME: Duration = Duration::from_millis(1_900);

/// Caller timeout that covers a stream which pauses for 1.7 s.
const PATIENT_MS: u64 = 5_000;

fn whole_stream() -> String {
    (1..=EVENTS).map(|id| format!("id: {id}\ndata: piece {id}\n\n")).collect()
}

/// The endpoint receives the caller's request unchanged, except that the workspace replaces the
/// key, and the caller receives the endpoint's answer with its signature.
#[test]
fn a_request_passes_unchanged_but_for_its_key() {
    run(async {
        let site = PlatformSite::start(1, 1).await?;
        let answer = site.call(SiteCall::new("r-1", "/unsafe/seat?row=3")).await?;
        assert_eq!(answer.status(), StatusCode::OK);
        assert_eq!(answer.body(), "/unsafe/seat?row=3 a seat");
        assert_eq!(answer.headers()["x-cassiawheel-replica-stamp"], "stamp-of-i-0");
        let head = site.replicas[0].heads().remove(0);
        assert_eq!(head["x-cassiawheel-tenant"], "booth");
        assert!(!head.contains_key("x-cassiawheel-key"), "the key stays here");
        let left: u64 = head["x-cassiawheel-deadline-ms"].to_str()?.parse()?;
        assert!(left <= 1_500, "the route's time is shorter than the caller's, {left} ms");
        Ok(())
    });
}

/// Requests without a valid key, for an unknown route or with an invalid id are refused, and
/// nothing runs.
#[rstest]
#[case(SiteCall { key: Some("taken away"), ..SiteCall::new("r-1", "/safe/x") }, 401)]
#[case(SiteCall { key: None, ..SiteCall::new("r-1", "/safe/x") }, 401)]
#[case(SiteCall::new("r-1", "/nowhere/x"), 404)]
#[case(SiteCall::new("r 1", "/safe/x"), 400)]
fn a_request_without_a_right_is_refused(#[case] call: SiteCall<'_>, #[case] status: u16) {
    run(async {
        let site = PlatformSite::start(1, 1).await?;
        assert_eq!(site.call(call).await?.status().as_u16(), status);
        assert_eq!(site.runs_of("r-1"), 0);
        Ok(())
    });
}

/// An endpoint reports that it has not run a request. The request is retried at another endpoint,
/// transparently to the caller.
#[rstest]
#[case("/safe/x")]
#[case("/unsafe/x")]
fn a_refused_request_goes_to_another_endpoint(#[case] path: &str) {
    run(async {
        let site = PlatformSite::start(2, 1).await?;
        site.replicas[0].set_mode(ReplicaMode::Refuses);
        for number in 0..8 {
            let id = format!("r-{number}");
            assert_eq!(site.call(SiteCall::new(&id, path)).await?.status(), StatusCode::OK);
            assert_eq!(site.runs_of(&id), 1);
        }
        Ok(())
    });
}

/// An endpoint runs a non-idempotent request and its answer is lost, truncated, or belongs to
/// another request. The request must not run again and must not be reported as not run.
#[rstest]
#[case(ReplicaMode::Cuts)]
#[case(ReplicaMode::Crosses)]
#[case(ReplicaMode::Mute)]
fn a_sale_whose_answer_is_lost_runs_once(#[case] mode: ReplicaMode) {
    run(async {
        let site = PlatformSite::start(2, 1).await?;
        site.replicas.iter().for_each(|replica| replica.set_mode(mode));
        let answer = site.call(SiteCall::new("sale", "/unsafe/x")).await?;
        assert_eq!(answer.status(), StatusCode::BAD_GATEWAY);
        assert!(!answer.headers().contains_key("x-cassiawheel-replica-stamp"));
        assert_eq!(site.runs_of("sale"), 1);
        Ok(())
    });
}

/// The same faults with an idempotent request, which may run again. The caller gets the whole
/// answer of another endpoint, never a truncated one or that of another request.
#[rstest]
#[case(ReplicaMode::Cuts)]
#[case(ReplicaMode::Crosses)]
#[case(ReplicaMode::Fails)]
fn a_look_up_is_answered_by_another_endpoint(#[case] mode: ReplicaMode) {
    run(async {
        let site = PlatformSite::start(2, 1).await?;
        site.replicas[0].set_mode(mode);
        for number in 0..8 {
            let answer = site.call(SiteCall::new(&format!("r-{number}"), "/safe/x")).await?;
            assert_eq!(answer.status(), StatusCode::OK);
            assert_eq!(answer.headers()["x-cassiawheel-replica-stamp"], "stamp-of-i-1");
        }
        Ok(())
    });
}

/// Every endpoint fails an idempotent request. The caller gets the endpoint's own error response
/// instead of one that the entry generates.
#[test]
fn an_endpoints_own_failure_is_passed_on() {
    run(async {
        let site = PlatformSite::start(2, 1).await?;
        site.replicas.iter().for_each(|replica| replica.set_mode(ReplicaMode::Fails));
        let answer = site.call(SiteCall::new("r-1", "/safe/x")).await?;
        assert_eq!(answer.status(), StatusCode::INTERNAL_SERVER_ERROR);
        assert_eq!(answer.body(), "failed");
        assert!(answer.headers().contains_key("x-cassiawheel-replica-stamp"));
        Ok(())
    });
}

/// An engine dies in the middle of an event. Another one resumes the stream, and the caller
/// receives every event once, in order, under the response head of the first.
#[test]
fn a_broken_stream_is_resumed_within_its_answer() {
    run(async {
        let site = PlatformSite::start(2, 1).await?;
        site.replicas[0].set_mode(ReplicaMode::Cuts);
        for number in 0..8 {
            let answer = site.call(SiteCall::new(&format!("s-{number}"), "/stream/x")).await?;
            assert_eq!(answer.status(), StatusCode::OK);
            assert_eq!(std::str::from_utf8(answer.body())?, whole_stream());
        }
        Ok(())
    });
}

/// Both engines break the stream off. The caller's connection must end in an error, since a clean
/// end would hide that the answer is truncated.
#[test]
fn a_stream_that_nobody_finishes_does_not_look_whole() {
    run(async {
        let site = PlatformSite::start(2, 1).await?;
        site.replicas.iter().for_each(|replica| replica.set_mode(ReplicaMode::Cuts));
        let request = site.request(0, SiteCall::new("s-1", "/stream/x"))?;
        let answer = HttpClient::default().send(request).await?;
        assert_eq!(answer.status(), StatusCode::OK);
        assert!(answer.into_body().collect().await.is_err());
        Ok(())
    });
}

/// Callers of a stream got half of their answer and a closed connection although the engine had
/// finished it. Machines of a region had lost power, the links there were full of
/// retransmissions, and the engine's last events took longer than 1.2 s. The entry considered the
/// engine dead and looked for another one to resume the stream; all were full, and it cut the
/// stream while the rest of the answer was in transit. Its log showed "the endpoint fell silent"
/// with one attempt in the same millisecond as the cut, 0.5 s after the engine's run had
/// completed.
#[rstest]
#[case::there_is_no_other(1)]
#[case::another_one_is_as_silent(2)]
fn a_silent_stream_that_nobody_resumes_is_waited_for(#[case] engines: usize) {
    run(async {
        let site = PlatformSite::start(engines, 1).await?;
        site.replicas.iter().for_each(|replica| replica.set_mode(ReplicaMode::Pauses));
        site.rows.put("op", "config", &config(2, &["stream"], PATIENT_MS));
        wait_until(async || {
            let dropped = site.call(SiteCall::new("r-1", "/safe/x")).await?;
            Ok(dropped.status() == StatusCode::NOT_FOUND)
        })
        .await?;
        let call = SiteCall { patience_ms: PATIENT_MS, ..SiteCall::new("s-1", "/stream/x") };
        let answer = site.call(call).await?;
        assert_eq!(answer.status(), StatusCode::OK);
        assert_eq!(std::str::from_utf8(answer.body())?, whole_stream());
        Ok(())
    });
}

/// The caller disconnects while an engine works on its request. The engine must be cancelled
/// within half a second; otherwise it does useless work while other requests wait.
#[test]
fn an_engine_stops_when_its_caller_is_gone() {
    run(async {
        let site = PlatformSite::start(1, 1).await?;
        site.replicas[0].set_mode(ReplicaMode::Mute);
        let request = site.request(0, SiteCall::new("s-1", "/stream/x"))?;
        let client = HttpClient::default();
        let call = cassiawheel_runtime::spawn(async move { client.send(request).await.is_ok() });
        wait_until(async || Ok(site.replicas[0].open_runs() == 1)).await?;
        drop(call);
        let gone_at = Timestamp::now();
        wait_until(async || Ok(site.replicas[0].open_runs() == 0)).await?;
        assert!(Timestamp::now().since(gone_at) < Duration::from_millis(500));
        Ok(())
    });
}

/// A request is still unanswered when its route's timeout expires. It gets its final answer then,
/// even if the caller's own timeout is longer.
#[test]
fn a_request_is_answered_when_its_routes_time_is_over() {
    run(async {
        let site = PlatformSite::start(1, 1).await?;
        site.replicas[0].set_mode(ReplicaMode::Mute);
        let asked_at = Timestamp::now();
        let call = SiteCall { patience_ms: 6_000, ..SiteCall::new("r-1", "/unsafe/x") };
        assert_eq!(site.call(call).await?.status(), StatusCode::BAD_GATEWAY);
        let took = Timestamp::now().since(asked_at);
        assert!(took >= Duration::from_millis(1_400), "took {took:?}");
        assert!(took < Duration::from_millis(1_750), "took {took:?}");
        Ok(())
    });
}

/// An operator removes a route and adds another. Both changes take effect at every entry within
/// two seconds, and no entry reverts to an older revision.
#[test]
fn a_change_is_in_force_at_every_entry_and_stays() {
    run(async {
        let site = PlatformSite::start(1, 2).await?;
        site.rows.put("op", "config", &config(2, &["unsafe", "added"], 1_500));
        let changed_at = Timestamp::now();
        let status = async |entry: usize, path: &str| {
            let request = site.request(entry, SiteCall::new("r-1", path))?;
            let answer =
                HttpClient::default().send_and_read(request, Duration::from_secs(2)).await?;
            anyhow::Ok(answer.status())
        };
        for entry in 0..2 {
            wait_until(async || Ok(status(entry, "/safe/x").await? == StatusCode::NOT_FOUND))
                .await?;
            assert_ne!(status(entry, "/added/x").await?, StatusCode::NOT_FOUND);
        }
        assert!(Timestamp::now().since(changed_at) < Duration::from_secs(2));
        site.rows.put("op", "config", &config(1, &["safe", "unsafe", "stream"], 1_500));
        smol::Timer::after(Duration::from_millis(300)).await;
        assert_eq!(status(0, "/safe/x").await?, StatusCode::NOT_FOUND);
        Ok(())
    });
}

/// Another writer overwrites an endpoint's row with one that lacks a field, has a field of the
/// wrong type or an unknown state, or cannot be parsed. Such a row designates no endpoint: it
/// gets no requests until a valid row is back, and the other endpoint serves all callers
/// meanwhile.
#[rstest]
#[case::lacks_a_field(json!({ "slots": null }))]
#[case::other_type(json!({ "version": 3 }))]
#[case::unknown_state(json!({ "state": "warming" }))]
#[case::unknown_service(json!({ "service": "nobody" }))]
#[case::unreadable(json!("not a row"))]
fn a_row_of_another_writer_names_no_endpoint(#[case] change: serde_json::Value) {
    run(async {
        let site = PlatformSite::start(2, 1).await?;
        let row = match (site.row_of(0), change) {
            (serde_json::Value::Object(mut row), serde_json::Value::Object(change)) => {
                row.extend(change);
                serde_json::Value::Object(row)
            }
            (_, change) => change,
        };
        site.rows.put("servers", "i-0", &row);
        smol::Timer::after(LIST_TIME).await;
        let before = site.replicas[0].runs().len();
        for number in 0..20 {
            let answer = site.call(SiteCall::new(&format!("r-{number}"), "/safe/x")).await?;
            assert_eq!(answer.status(), StatusCode::OK);
        }
        assert_eq!(site.replicas[0].runs().len(), before, "the row names no endpoint");
        site.set_state(0, "ready");
        wait_until(async || {
            let id = format!("s-{}", Timestamp::now().0);
            site.call(SiteCall::new(&id, "/safe/x")).await?;
            Ok(site.replicas[0].runs().len() > before)
        })
        .await
    });
}

/// An endpoint is marked as draining, or its row is removed without notice. Two seconds later it
/// must get no new requests.
#[rstest]
#[case(true)]
#[case(false)]
fn a_leaving_endpoint_gets_nothing_new(#[case] says_so: bool) {
    run(async {
        let site = PlatformSite::start(2, 2).await?;
        match says_so {
            true => site.set_state(0, "draining"),
            false => site.rows.remove("servers", "i-0"),
        }
        smol::Timer::after(Duration::from_millis(1_900)).await;
        let before = site.replicas[0].runs().len();
        for entry in 0..2 {
            for number in 0..10 {
                let id = format!("r-{entry}-{number}");
                let request = site.request(entry, SiteCall::new(&id, "/safe/x"))?;
                let answer =
                    HttpClient::default().send_and_read(request, Duration::from_secs(2)).await?;
                assert_eq!(answer.status(), StatusCode::OK);
            }
        }
        assert_eq!(site.replicas[0].runs().len(), before);
        Ok(())
    });
}

/// The store's change history is compacted while entries follow it. An entry that relied on the
/// change feed alone would miss every later change.
#[test]
fn changes_are_seen_after_the_history_is_dropped() {
    run(async {
        let site = PlatformSite::start(1, 1).await?;
        site.rows.put("op", "config", &config(2, &["safe"], 1_500));
        site.rows.compact();
        site.rows.put("op", "config", &config(3, &["unsafe"], 1_500));
        site.rows.compact();
        wait_until(async || {
            Ok(site.call(SiteCall::new("r-1", "/safe/x")).await?.status() == StatusCode::NOT_FOUND)
        })
        .await
    });
}

/// An entry starts while the store is down. It refuses requests as not run with a `retry-after`
/// header, and serves once the store is back.
#[test]
fn an_entry_that_starts_without_the_store_refuses_and_recovers() {
    run(async {
        let mut site = PlatformSite::prepare(1).await?;
        site.store_faults.set_down(true);
        site.add_entry()?;
        let status = async || {
            let answer = site.call(SiteCall::new("r-1", "/safe/x")).await;
            anyhow::Ok(answer.ok())
        };
        wait_until(async || Ok(status().await?.is_some())).await?;
        let answer = status().await?.expect("the entry listens");
        assert_eq!(answer.status(), StatusCode::SERVICE_UNAVAILABLE);
        assert!(answer.headers().contains_key("retry-after"));
        site.store_faults.set_down(false);
        wait_until(async || Ok(status().await?.is_some_and(|a| a.status() == StatusCode::OK))).await
    });
}

/// A second entry starts while the store is down. It gets the preset and the list of endpoints
/// from the first entry and serves.
#[test]
fn an_entry_learns_from_the_others_while_the_store_is_away() {
    run(async {
        let mut site = PlatformSite::start(1, 1).await?;
        site.store_faults.set_down(true);
        site.add_entry()?;
        site.wait_ready(&site.entries[1], true).await?;
        let request = site.request(1, SiteCall::new("r-1", "/safe/x"))?;
        let answer = HttpClient::default().send_and_read(request, Duration::from_secs(2)).await?;
        assert_eq!(answer.status(), StatusCode::OK);
        Ok(())
    });
}

/// An entry is terminated while it streams an answer. It reports not ready at once, completes the
/// answer, and exits within the grace period.
#[test]
fn a_planned_stop_cuts_nothing_off() {
    run(async {
        let mut site = PlatformSite::start(1, 1).await?;
        let request = site.request(0, SiteCall::new("s-1", "/stream/x"))?;
        let client = HttpClient::default();
        let call = cassiawheel_runtime::spawn(async move {
            client.send_and_read(request, Duration::from_secs(5)).await
        });
        wait_until(async || Ok(site.runs_of("s-1") == 1)).await?;
        site.entries[0].process.terminate()?;
        site.wait_ready(&site.entries[0], false).await?;
        assert_eq!(std::str::from_utf8(call.await?.body())?, whole_stream());
        let ended = site.entries[0].process.wait(Duration::from_secs(8)).await?;
        assert!(ended.is_some_and(|status| status.success()), "{ended:?}");
        Ok(())
    });
}

/// The directory lists the live entries and drops one that is shutting down.
#[test]
fn the_advice_names_the_entries_that_live() {
    run(async {
        let site = PlatformSite::start(1, 2).await?;
        let advice = async |entry: usize| {
            let directory = site.entries[entry].directory;
            let url = format!("http://{directory}/v1/resolve?name=x&region=north&zone=hall");
            let request = hyper::Request::get(url).body(Default::default())?;
            let answer =
                HttpClient::default().send_and_read(request, Duration::from_secs(2)).await?;
            let value: serde_json::Value = serde_json::from_slice(answer.body())?;
            let addrs = value["addresses"].as_array().cloned().unwrap_or_default();
            anyhow::Ok((addrs, value["ttl_s"].as_f64()))
        };
        wait_until(async || Ok(advice(0).await?.0.len() == 2)).await?;
        assert_eq!(advice(1).await?.1, Some(2.0));
        site.entries[1].process.terminate()?;
        let first = serde_json::json!(site.entries[0].front.to_string());
        wait_until(async || Ok(advice(0).await?.0 == [first.clone()])).await
    });
}
