//! Urgencies from the configuration to the endpoint, and retry times, with an entry process.

use std::time::Duration;

use cassiawheel_testkit::{
    PlatformSite, SiteCall,
    platform_site::{config, wait_until},
    stand_in::replica::ReplicaMode,
};
use hyper::StatusCode;
use serde_json::{Value, json};

fn run<T>(test: impl Future<Output = anyhow::Result<T>>) -> T {
    cassiawheel_runtime::run(4, test).expect("the executor runs").expect("the test passes")
}

/// Priority header of the last request that the endpoint has received.
async fn priority(site: &PlatformSite, id: &str, path: &str) -> anyhow::Result<Option<String>> {
    let answer = site.call(SiteCall::new(id, path)).await?;
    anyhow::ensure!(answer.status() == StatusCode::OK, "{}", answer.status());
    let heads = site.replicas[0].heads();
    let field = heads.last().and_then(|head| head.get("x-cassiawheel-request-priority"));
    Ok(field.map(|value| value.to_str().map(str::to_owned)).transpose()?)
}

fn with_priorities(version: u64, priorities: [Value; 2], tenant: Value) -> Value {
    let mut config = config(version, &["safe", "unsafe"], 1_500);
    for (index, priority) in priorities.into_iter().enumerate() {
        config["routes"][index]["priority"] = priority;
    }
    config["tenants"][0]["priority"] = tenant;
    config
}

/// Guards against a priority header where only one urgency is named, against urgencies that a
/// change of the configuration leaves behind, and against a configuration that an invalid priority
/// keeps from taking effect.
#[test]
fn the_configuration_decides_which_requests_are_urgent() {
    run(async {
        let site = PlatformSite::start(1, 1).await?;
        assert_eq!(priority(&site, "one-0", "/safe/x").await?, None);
        let changes = [
            (with_priorities(2, [json!(0), json!(2)], Value::Null), [Some("0"), Some("2")]),
            (with_priorities(3, [json!(2), json!(2)], json!(0)), [Some("0"), Some("0")]),
            (with_priorities(4, [json!("high"), json!(1)], Value::Null), [None, None]),
        ];
        for (number, (config, expected)) in changes.iter().enumerate() {
            site.rows.put("op", "config", config);
            let ids = |route: &str, attempt: usize| format!("{route}-{number}-{attempt}");
            let attempt = std::cell::Cell::new(0);
            wait_until(async || {
                attempt.set(attempt.get() + 1);
                let safe = priority(&site, &ids("safe", attempt.get()), "/safe/x").await?;
                let sale = priority(&site, &ids("unsafe", attempt.get()), "/unsafe/x").await?;
                Ok([safe.as_deref(), sale.as_deref()] == *expected)
            })
            .await?;
        }
        Ok(())
    });
}

/// Guards against a refused caller that is told no time, a time that it does not honour, or an
/// early one while nothing serves.
#[test]
fn a_refused_caller_is_told_a_time_within_a_third_of_its_own() {
    run(async {
        let site = PlatformSite::start(1, 1).await?;
        let urgent = with_priorities(2, [json!(0), json!(2)], Value::Null);
        site.rows.put("op", "config", &urgent);
        let attempt = std::cell::Cell::new(0);
        wait_until(async || {
            attempt.set(attempt.get() + 1);
            let id = format!("in-force-{}", attempt.get());
            Ok(priority(&site, &id, "/safe/x").await?.as_deref() == Some("0"))
        })
        .await?;
        let told_s = async |id: &str| {
            let answer = site.call(SiteCall::new(id, "/safe/x")).await?;
            anyhow::ensure!(answer.status() != StatusCode::OK, "answered");
            Ok::<f64, anyhow::Error>(answer.headers()["retry-after"].to_str()?.parse()?)
        };
        site.replicas[0].set_mode(ReplicaMode::Refuses);
        for number in 0..4 {
            let told_s = told_s(&format!("refused-{number}")).await?;
            assert!((0.1..=0.5).contains(&told_s), "{told_s} s of 1.5 s");
        }
        site.set_state(0, "draining");
        smol::Timer::after(Duration::from_secs(2)).await;
        let told_s = told_s("nothing-serves").await?;
        assert!((0.37..=0.5).contains(&told_s), "{told_s} s of 1.5 s");
        Ok(())
    });
}

/// Guards against callers of services without urgencies that are told another time than before.
#[test]
fn without_urgencies_a_refused_caller_is_told_two_seconds() {
    run(async {
        let site = PlatformSite::start(1, 1).await?;
        site.replicas[0].set_mode(ReplicaMode::Refuses);
        let answer = site.call(SiteCall::new("refused", "/safe/x")).await?;
        anyhow::ensure!(answer.status() == StatusCode::TOO_MANY_REQUESTS, "{}", answer.status());
        assert_eq!(answer.headers()["retry-after"], "2.000");
        Ok(())
    });
}
