//! Entries with uneven demand and endpoints that report their speed, on the users' platform.

use std::time::Duration;

use anyhow::Context;
use bytes::Bytes;
use cassiawheel_edge::HttpClient;
use cassiawheel_model::Timestamp;
use cassiawheel_testkit::{
    PlatformSite, SiteCall,
    platform_site::{PlatformEntry, wait_until},
};
use http_body_util::Full;
use hyper::Request;
use smol::Timer;

fn run<T>(test: impl Future<Output = anyhow::Result<T>>) -> T {
    cassiawheel_runtime::run(4, test).expect("the executor runs").expect("the test passes")
}

/// Timeout of a request.
const CALL_TIME: Duration = Duration::from_secs(3);

/// Interval between two requests to the first entry; the others get a tenth of its requests each.
const REQUEST_INTERVAL: Duration = Duration::from_millis(20);

/// Time after which demand counts as uneven.
const LOAD_TIME: Duration = Duration::from_secs(8);

async fn metric(entry: &PlatformEntry, name: &str) -> anyhow::Result<f64> {
    let url = format!("http://{}/metrics", entry.metrics);
    let request = Request::get(url).body(Full::new(Bytes::new()))?;
    let reply = HttpClient::default().send_and_read(request, CALL_TIME).await?;
    let text = String::from_utf8_lossy(reply.body()).into_owned();
    let prefix = format!("cassiawheel_entry_{name}{{service=\"ledger\"}} ");
    let value = text.lines().find_map(|line| line.strip_prefix(&prefix));
    Ok(value.with_context(|| format!("no metric {name}"))?.parse()?)
}

/// Sends most requests to the first entry.
async fn load_unevenly(site: &PlatformSite) -> anyhow::Result<()> {
    let client = HttpClient::default();
    let until = Timestamp::now().deadline_after(LOAD_TIME);
    for number in 0.. {
        if until.is_past(Timestamp::now()) {
            break;
        }
        for entry in 0..site.entries.len() {
            if entry > 0 && number % 10 != entry {
                continue;
            }
            let id = format!("{entry}-{number}");
            let request = site.request(entry, SiteCall::new(&id, "/safe/x"))?;
            client.send_and_read(request, CALL_TIME).await?;
        }
        Timer::after(REQUEST_INTERVAL).await;
    }
    Ok(())
}

/// Guards against demand that is measured and not passed on or not used, also while the store is
/// down; and against shares that outlast the entries that they were computed from.
#[test]
fn entries_share_slots_by_demand_while_the_store_is_down() {
    run(async {
        let mut site = PlatformSite::start(2, 3).await?;
        site.store_faults.set_down(true);
        site.replicas.iter().for_each(|replica| replica.set_load("7,0,8,220"));
        load_unevenly(&site).await?;
        let busy = metric(&site.entries[0], "slot_share").await?;
        let idle = metric(&site.entries[1], "slot_share").await?;
        assert!(busy >= 1.5 && idle <= 0.75, "{busy} at the busy entry, {idle} at another");
        assert!(metric(&site.entries[0], "demand_per_second").await? > 10.0);
        let log = std::fs::read_to_string(site.log(0))?;
        assert!(
            log.contains("demand: The share of the free slots differs"),
            "no line of the share"
        );
        let answers = log.lines().filter(|line| line.contains("An answer begins."));
        assert!(answers.filter(|line| line.contains("speed=220")).count() > 10, "no speed");
        for entry in &mut site.entries[1..] {
            entry.process.kill()?;
        }
        let entry = &site.entries[0];
        wait_until(async || Ok(metric(entry, "slot_share").await? == 1.0)).await
    });
}
