//! Answers without a length or chunks, which end with their connection, on the users' platform.

use std::net::SocketAddr;

use cassiawheel_runtime::spawn;
use cassiawheel_testkit::{
    PlatformSite, SiteCall, platform_site::wait_until, stand_in::replica::EVENTS,
};
use hyper::StatusCode;
use rstest::rstest;
use serde_json::json;
use smol::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
};

fn run<T>(test: impl Future<Output = anyhow::Result<T>>) -> T {
    cassiawheel_runtime::run(4, test).expect("the executor runs").expect("the test passes")
}

/// Serves `body` to every request, without a length, and closes the connection.
async fn serve_undelimited(body: String) -> anyhow::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let addr = listener.local_addr()?;
    spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let body = body.clone();
            spawn(async move {
                let _ = answer(stream, &body).await;
            })
            .detach();
        }
    })
    .detach();
    Ok(addr)
}

async fn answer(mut stream: TcpStream, body: &str) -> std::io::Result<()> {
    let mut head = Vec::new();
    let mut byte = [0; 1];
    while !head.ends_with(b"\r\n\r\n") && stream.read(&mut byte).await? == 1 {
        head.extend_from_slice(&byte);
    }
    // The body of six bytes belongs to the request; bytes left unread would reset the connection.
    if head.starts_with(b"POST") {
        stream.read_exact(&mut [0; 6]).await?;
    }
    let text = String::from_utf8_lossy(&head).into_owned();
    let field = text.lines().find_map(|line| line.strip_prefix("x-cassiawheel-attempt-id: "));
    let id = field.unwrap_or_default();
    let head = format!(
        "HTTP/1.1 200 OK\r\nx-cassiawheel-attempt-id: {id}\r\n\
         x-cassiawheel-replica-stamp: s\r\ncontent-type: text/event-stream\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).await?;
    stream.write_all(body.as_bytes()).await?;
    stream.close().await
}

fn events(count: u64) -> String {
    (1..=count).map(|id| format!("id: {id}\ndata: piece {id}\n\n")).collect()
}

/// A site whose endpoints are one that serves `body` and, if `has_other`, a sound one.
async fn start(body: &str, has_other: bool) -> anyhow::Result<PlatformSite> {
    let mut site = PlatformSite::prepare(usize::from(has_other)).await?;
    let addr = serve_undelimited(body.to_owned()).await?;
    let row = json!({
        "service": "ledger", "address": addr, "zone": "hall", "version": "v1", "slots": 8,
        "state": "ready", "cold_remaining_ms": 0, "sequence": 1,
    });
    site.rows.put("servers", "i-raw", &row);
    site.add_entry()?;
    site.wait_ready(&site.entries[0], true).await?;
    Ok(site)
}

/// Guards against taking the end of the connection for a failure.
#[rstest]
#[case("/safe/x", "a whole answer".to_owned())]
#[case("/unsafe/x", "a whole answer".to_owned())]
#[case("/stream/x", events(EVENTS))]
fn an_answer_that_ends_with_its_connection_is_whole(#[case] path: &str, #[case] body: String) {
    run(async {
        let site = start(&body, false).await?;
        let answer = site.call(SiteCall::new("whole", path)).await?;
        assert_eq!(answer.status(), StatusCode::OK);
        assert_eq!(std::str::from_utf8(answer.body())?, body);
        Ok(())
    });
}

/// Guards against a stream that looks complete although its endpoint broke off before the first
/// event or inside one.
#[rstest]
#[case::before_the_first_event(String::new())]
#[case::inside_the_first_event("id: 1\nda".to_owned())]
#[case::inside_a_later_event(format!("{}id: 3\nda", events(2)))]
fn a_stream_that_breaks_off_is_finished_elsewhere(#[case] body: String) {
    run(async {
        let site = start(&body, true).await?;
        let has_met_both = async || {
            let number = rand::random::<u32>();
            let id = format!("s-{number}");
            let answer = site.call(SiteCall::new(&id, "/stream/x")).await?;
            assert_eq!(answer.status(), StatusCode::OK);
            assert_eq!(std::str::from_utf8(answer.body())?, events(EVENTS));
            Ok(site.replicas[0].runs().len() >= 12)
        };
        wait_until(has_met_both).await
    });
}
