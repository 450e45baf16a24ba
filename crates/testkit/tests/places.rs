//! Homes of requests and evacuated failure domains on the users' platform, with entries as
//! processes of their own.

use std::time::Duration;

use cassiawheel_testkit::{
    PlatformSite, SiteCall,
    platform_site::{config, wait_until},
};
use hyper::StatusCode;
use serde_json::{Value, json};
use smol::Timer;

fn run<T>(test: impl Future<Output = anyhow::Result<T>>) -> T {
    cassiawheel_runtime::run(4, test).expect("the executor runs").expect("the test passes")
}

/// Time after which a change that was seen at one entry is in force at its neighbour.
const GOSSIP_TIME: Duration = Duration::from_millis(1_500);

/// Status of a request to an entry.
async fn status(site: &PlatformSite, entry: usize, id: &str) -> anyhow::Result<StatusCode> {
    let request = site.request(entry, SiteCall::new(id, "/safe/seat"))?;
    let client = cassiawheel_edge::HttpClient::default();
    Ok(client.send_and_read(request, Duration::from_secs(5)).await?.status())
}

/// Waits until an entry answers with `expected`.
async fn wait_status(
    site: &PlatformSite,
    entry: usize,
    expected: StatusCode,
) -> anyhow::Result<()> {
    let mut number = 0;
    let id = |number: u32| format!("wait-{entry}-{}-{number}", expected.as_u16());
    loop {
        if status(site, entry, &id(number)).await? == expected {
            return Ok(());
        }
        anyhow::ensure!(number < 500, "the status does not become {expected}");
        number += 1;
        Timer::after(Duration::from_millis(20)).await;
    }
}

fn runs(site: &PlatformSite) -> u32 {
    site.replicas.iter().map(|replica| replica.runs().values().sum::<u32>()).sum()
}

/// An evacuated domain must get nothing from any entry, also from one that was killed and starts
/// again after the store has forgotten its history, and serve again once it is taken back.
#[test]
fn an_evacuated_domain_gets_nothing_until_it_is_taken_back() {
    run(async {
        let mut site = PlatformSite::start(3, 2).await?;
        wait_status(&site, 0, StatusCode::OK).await?;
        site.rows.put("op", "evacuate/hall", &json!({}));
        for entry in 0..2 {
            wait_status(&site, entry, StatusCode::SERVICE_UNAVAILABLE).await?;
        }
        site.entries[1].process.kill()?;
        site.rows.compact();
        site.restart_entry(1)?;
        site.wait_ready(&site.entries[1], true).await?;
        let before = runs(&site);
        for number in 0..20 {
            let entry = number % 2;
            let status = status(&site, entry, &format!("evacuated-{number}")).await?;
            assert_eq!(status, StatusCode::SERVICE_UNAVAILABLE, "entry {entry}");
            Timer::after(Duration::from_millis(50)).await;
        }
        assert_eq!(runs(&site), before, "a request reached the evacuated domain");
        site.rows.remove("op", "evacuate/hall");
        for entry in 0..2 {
            wait_status(&site, entry, StatusCode::OK).await?;
        }
        Ok(())
    });
}

/// A route whose homes have no endpoint must be refused by every entry without a run, and be served
/// once its homes change.
#[test]
fn a_request_outside_its_homes_is_not_run() {
    run(async {
        let site = PlatformSite::start(3, 2).await?;
        wait_status(&site, 0, StatusCode::OK).await?;
        let with_homes = |version: u64, homes: &[&str]| -> Value {
            let mut config = config(version, &["safe"], 1_500);
            config["routes"][0]["allowed_regions"] = json!(homes);
            config
        };
        site.rows.put("op", "config", &with_homes(2, &["south"]));
        for entry in 0..2 {
            wait_status(&site, entry, StatusCode::SERVICE_UNAVAILABLE).await?;
        }
        Timer::after(GOSSIP_TIME).await;
        let before = runs(&site);
        for number in 0..10 {
            let status = status(&site, number % 2, &format!("abroad-{number}")).await?;
            assert_eq!(status, StatusCode::SERVICE_UNAVAILABLE);
        }
        assert_eq!(runs(&site), before, "a request ran outside its homes");
        site.rows.put("op", "config", &with_homes(3, &["south", "north"]));
        for entry in 0..2 {
            wait_status(&site, entry, StatusCode::OK).await?;
        }
        // The route's homes and those of the workspace have none in common.
        let mut conflicting = with_homes(4, &["north"]);
        conflicting["tenants"][0]["allowed_regions"] = json!(["south"]);
        site.rows.put("op", "config", &conflicting);
        wait_until(async || {
            let request = site.request(0, SiteCall::new("conflict", "/safe/seat"))?;
            let client = cassiawheel_edge::HttpClient::default();
            let reply = client.send_and_read(request, Duration::from_secs(5)).await?;
            Ok(String::from_utf8_lossy(reply.body()).contains("no-home"))
        })
        .await
    });
}
