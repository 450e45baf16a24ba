//! The smoke scenario with a fixed seed: judged by invariants and counts only.

use std::{
    collections::BTreeSet,
    net::{IpAddr, Ipv4Addr},
    path::Path,
    sync::Arc,
    time::Duration,
};

use cassiawheel_model::settings::parse_settings;
use cassiawheel_runtime::timeout;
use cassiawheel_testkit::{
    burst::{BurstOptions, BurstScenario, run_burst, schedule::draw_arrivals},
    stand_in::link::{LinkCuts, relay},
};
use rstest::rstest;
use smol::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
};

/// A rollout, a planned stop and lost answers of the store under load. Every
/// caller gets a whole answer or an honest word, and no operator's change is lost.
#[rstest]
fn the_smoke_scenario_breaks_no_invariant() {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../scenarios/smoke.json");
    let text = std::fs::read_to_string(path).expect("the scenario can be read");
    let scenario: BurstScenario = parse_settings("smoke.json", &text).expect("a valid scenario");
    let folder = tempfile::tempdir().expect("a folder for the plot");
    let plot = folder.path().join("smoke.svg");
    let options = BurstOptions { seed: 11, plot: Some(plot.clone()), ..BurstOptions::default() };
    let report = cassiawheel_runtime::run(4, run_burst(&scenario, &options))
        .expect("the executor runs")
        .expect("the scenario runs");
    let counts = &report.counts;
    assert_eq!(counts.broken(), vec![], "{report}");
    assert_eq!(counts.requests, draw_arrivals(&scenario, 11).len() as u64);
    assert_eq!(counts.complete + counts.not_run + counts.unknown, counts.requests);
    assert!(counts.complete * 10 >= counts.requests * 9, "{report}");
    assert_eq!((report.replicas_ready, report.replicas_wanted), (3, 3));
    let drawing = std::fs::read_to_string(plot).expect("the plot was drawn");
    assert!(drawing.contains("<polyline"), "the plot has no lines");
}

/// A switch drops everything between two instances and closes nothing. Bytes
/// wait, and arrive once the link carries again.
#[rstest]
fn a_severed_link_carries_nothing_until_it_is_restored() {
    let test = async {
        let here = IpAddr::V4(Ipv4Addr::LOCALHOST);
        let there = IpAddr::V4(Ipv4Addr::new(127, 0, 0, 2));
        let far = TcpListener::bind((there, 0)).await?;
        let cuts = Arc::new(LinkCuts::default());
        let free = std::net::TcpListener::bind((there, 0))?.local_addr()?;
        let _relay = relay(free, far.local_addr()?, cuts.clone()).await?;
        let mut caller = TcpStream::connect(free).await?;
        let (mut endpoint, _) = far.accept().await?;
        let mut byte = [0];
        caller.write_all(b"a").await?;
        endpoint.read_exact(&mut byte).await?;
        cuts.sever(1, BTreeSet::from([here]));
        caller.write_all(b"b").await?;
        let early = timeout(Duration::from_millis(200), endpoint.read_exact(&mut byte)).await;
        anyhow::ensure!(early.is_none(), "a severed link carried a byte");
        cuts.restore(1);
        endpoint.read_exact(&mut byte).await?;
        anyhow::Ok(byte)
    };
    let outcome = cassiawheel_runtime::run(2, timeout(Duration::from_secs(20), test));
    let byte = outcome.expect("the executor runs").expect("in time").expect("carried");
    assert_eq!(&byte, b"b");
}
