//! A store that returns from an older copy, on the users' platform: its positions are given out
//! again, and what was written since the copy is gone.

use std::time::Duration;

use cassiawheel_edge::HttpClient;
use cassiawheel_testkit::{
    PlatformSite, SiteCall,
    platform_site::{config, wait_until},
};
use hyper::StatusCode;
use rstest::rstest;
use smol::Timer;

fn run<T>(test: impl Future<Output = anyhow::Result<T>>) -> T {
    cassiawheel_runtime::run(4, test).expect("the executor runs").expect("the test passes")
}

/// Time within which a change of a row reaches every entry.
const PROPAGATION_TIME: Duration = Duration::from_secs(2);

/// Timeout of a request.
const CALL_TIME: Duration = Duration::from_secs(3);

/// Writes rows that entries do not use, so that positions increase.
fn write_others(site: &PlatformSite, count: usize) {
    for number in 0..count {
        site.rows.put("others", &format!("row-{number}"), &serde_json::json!({}));
    }
}

/// Has every endpoint renew its row after `count` other writes.
fn renew_rows(site: &PlatformSite, count: usize) {
    write_others(site, count);
    for index in 0..site.replicas.len() {
        site.set_state(index, "ready");
    }
}

/// Returns the store to `copy` after a moment in which it is down.
async fn return_to(site: &PlatformSite, copy: &cassiawheel_testkit::stand_in::rows::StoreCopy) {
    site.store_faults.set_down(true);
    Timer::after(Duration::from_millis(700)).await;
    site.rows.return_to(copy);
    site.store_faults.set_down(false);
}

/// Sends `count` requests to every entry; returns how many got another status than 200.
async fn load(site: &PlatformSite, count: usize, name: &str) -> anyhow::Result<usize> {
    let client = HttpClient::default();
    let mut failed = 0;
    for number in 0..count {
        for entry in 0..site.entries.len() {
            let (id, path) = (format!("{name}-{entry}-{number}"), format!("/safe/{number}"));
            let request = site.request(entry, SiteCall::new(&id, &path))?;
            let answer = client.send_and_read(request, CALL_TIME).await?;
            failed += usize::from(answer.status() != StatusCode::OK);
        }
    }
    Ok(failed)
}

/// Guards against rows of the new era that are taken for old because their positions are lower,
/// or that are skipped because the positions have overtaken the known one unseen.
#[rstest]
#[case(0)]
#[case(200)]
fn a_departure_after_the_return_reaches_every_entry(#[case] writes_after: usize) {
    run(async {
        let site = PlatformSite::start(3, 3).await?;
        let copy = site.rows.copy();
        renew_rows(&site, 100);
        Timer::after(PROPAGATION_TIME).await;
        site.store_faults.set_down(true);
        Timer::after(Duration::from_millis(700)).await;
        site.rows.return_to(&copy);
        site.set_state(0, "draining");
        write_others(&site, writes_after);
        site.store_faults.set_down(false);
        Timer::after(PROPAGATION_TIME).await;
        let before = site.replicas[0].arrivals().len();
        assert_eq!(load(&site, 20, "after").await?, 0);
        assert_eq!(site.replicas[0].arrivals().len(), before, "the endpoint leaves");
        Ok(())
    });
}

/// Guards against an older row that takes back a departure which was acknowledged.
#[test]
fn a_departure_before_the_return_holds() {
    run(async {
        let site = PlatformSite::start(3, 3).await?;
        let copy = site.rows.copy();
        renew_rows(&site, 100);
        site.set_state(0, "draining");
        Timer::after(PROPAGATION_TIME).await;
        let before = site.replicas[0].arrivals().len();
        return_to(&site, &copy).await;
        // Endpoints write their rows again, each later than the others.
        for _ in 0..4 {
            assert_eq!(load(&site, 10, "again").await?, 0);
            Timer::after(Duration::from_millis(300)).await;
        }
        assert_eq!(site.replicas[0].arrivals().len(), before, "the endpoint leaves");
        Ok(())
    });
}

/// Guards against endpoints that lose their traffic because the copy is older than their rows.
#[test]
fn endpoints_registered_since_the_copy_keep_serving() {
    run(async {
        let mut site = PlatformSite::start(1, 2).await?;
        let copy = site.rows.copy();
        write_others(&site, 50);
        site.add_replica("i-late").await?;
        Timer::after(PROPAGATION_TIME).await;
        load(&site, 20, "before").await?;
        assert!(!site.replicas[1].runs().is_empty(), "the endpoint serves");
        return_to(&site, &copy).await;
        Timer::after(Duration::from_millis(900)).await;
        let before = site.replicas[1].runs().len();
        load(&site, 20, "after").await?;
        assert!(site.replicas[1].runs().len() > before, "the endpoint is alive");
        site.set_state(1, "ready");
        Timer::after(Duration::from_secs(3)).await;
        let before = site.replicas[1].runs().len();
        load(&site, 20, "later").await?;
        assert!(site.replicas[1].runs().len() > before, "its row is back");
        Ok(())
    });
}

/// Guards against an accepted change that goes back to the state of the copy.
#[test]
fn a_preset_accepted_before_the_return_stays_in_force() {
    run(async {
        let site = PlatformSite::start(2, 2).await?;
        let copy = site.rows.copy();
        write_others(&site, 20);
        site.rows.put("op", "config", &config(2, &["safe", "unsafe", "stream", "new"], 1_500));
        let serves = async |entry: usize, id: &str| {
            let request = site.request(entry, SiteCall::new(id, "/new/x"))?;
            let answer = HttpClient::default().send_and_read(request, CALL_TIME).await?;
            anyhow::Ok(answer.status() == StatusCode::OK)
        };
        for entry in 0..2 {
            wait_until(async || serves(entry, "first").await).await?;
        }
        return_to(&site, &copy).await;
        for round in 0..15 {
            for entry in 0..2 {
                assert!(serves(entry, &format!("r-{round}-{entry}")).await?, "reverted");
            }
            Timer::after(Duration::from_millis(100)).await;
        }
        site.rows.put("op", "config", &config(3, &["safe", "unsafe", "stream"], 1_500));
        for entry in 0..2 {
            wait_until(async || Ok(!serves(entry, "last").await?)).await?;
        }
        Ok(())
    });
}

/// Guards against an entry that recognises one return only.
#[test]
fn two_returns_in_a_row_are_recognised() {
    run(async {
        let site = PlatformSite::start(4, 3).await?;
        let copy = site.rows.copy();
        renew_rows(&site, 60);
        Timer::after(PROPAGATION_TIME).await;
        for index in 0..2 {
            return_to(&site, &copy).await;
            site.set_state(index, "draining");
            write_others(&site, 10 * index);
            Timer::after(PROPAGATION_TIME).await;
        }
        let before: Vec<_> = site.replicas.iter().map(|r| r.arrivals().len()).collect();
        assert_eq!(load(&site, 20, "after").await?, 0);
        for (replica, before) in site.replicas.iter().zip(before).take(2) {
            assert_eq!(replica.arrivals().len(), before, "endpoint {} leaves", replica.id);
        }
        Ok(())
    });
}

/// Guards against rows of this system that are gone with the copy and that nobody writes again.
#[test]
fn entries_register_again_after_the_return() {
    run(async {
        let mut site = PlatformSite::prepare(2).await?;
        let copy = site.rows.copy();
        for _ in 0..3 {
            site.add_entry()?;
        }
        for entry in &site.entries {
            site.wait_ready(entry, true).await?;
        }
        let registered = || {
            let keys = site.rows.keys("cassiawheel");
            keys.iter().filter(|key| key.starts_with("entries/")).count()
        };
        wait_until(async || Ok(registered() == 3)).await?;
        return_to(&site, &copy).await;
        assert_eq!(registered(), 0);
        wait_until(async || Ok(registered() == 3)).await
    });
}

/// Guards against a request that is quarantined and reaches endpoints again, since the row that
/// says so is gone with the copy when all entries lose power.
#[test]
fn a_quarantine_survives_the_return_and_a_loss_of_power() {
    run(async {
        let mut site = PlatformSite::start(8, 2).await?;
        let copy = site.rows.copy();
        let client = HttpClient::default();
        for number in 0..8 {
            let id = format!("fatal-{number}");
            let request = site.request(number % 2, SiteCall::new(&id, "/safe/fatal"))?;
            let _ = client.send_and_read(request, CALL_TIME).await;
        }
        let is_stored = || site.rows.keys("cassiawheel").iter().any(|key| key == "quarantine");
        wait_until(async || Ok(is_stored())).await?;
        return_to(&site, &copy).await;
        wait_until(async || Ok(is_stored())).await?;
        for entry in 0..2 {
            site.entries[entry].process.kill()?;
        }
        for entry in 0..2 {
            site.restart_entry(entry)?;
        }
        for entry in &site.entries {
            site.wait_ready(entry, true).await?;
        }
        Timer::after(PROPAGATION_TIME).await;
        let ended = site.ended();
        for entry in 0..2 {
            let request = site.request(entry, SiteCall::new("again", "/safe/fatal"))?;
            let _ = client.send_and_read(request, CALL_TIME).await;
        }
        assert_eq!(site.ended(), ended, "the request is quarantined");
        Ok(())
    });
}
