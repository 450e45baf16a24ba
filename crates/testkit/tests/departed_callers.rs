//! Callers that disconnect at each stage of their requests, on the users' platform.

use std::time::Duration;

use cassiawheel_model::Timestamp;
use cassiawheel_testkit::{
    PlatformSite, SiteCall,
    platform_site::wait_until,
    stand_in::replica::{EVENTS, ReplicaMode},
};
use rstest::rstest;
use smol::{
    Timer,
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};
use socket2::SockRef;

fn run<T>(test: impl Future<Output = anyhow::Result<T>>) -> T {
    cassiawheel_runtime::run(4, test).expect("the executor runs").expect("the test passes")
}

/// Longest time after its caller has left for which an endpoint may work on a request.
const LEAVE_TIME: Duration = Duration::from_millis(500);

/// How a caller ends its connection.
#[derive(Debug, Clone, Copy)]
enum Departure {
    Close,
    Reset,
    /// It has sent part of its next request.
    CloseAfterNextHead,
}

async fn send(site: &PlatformSite, call: SiteCall<'_>) -> anyhow::Result<TcpStream> {
    let mut stream = TcpStream::connect(site.entries[0].front).await?;
    stream.write_all(&site.raw_request(call)).await?;
    Ok(stream)
}

/// Disconnects a caller whose request is in progress.
async fn leave(mut caller: TcpStream, departure: Departure) -> anyhow::Result<()> {
    match departure {
        Departure::Close => {}
        Departure::Reset => SockRef::from(&caller).set_linger(Some(Duration::ZERO))?,
        Departure::CloseAfterNextHead => {
            caller.write_all(b"POST /stream/next HTTP/1.1\r\nhost: desk").await?;
            // The entry reads these bytes before it sees the end of the connection.
            Timer::after(Duration::from_millis(50)).await;
        }
    }
    drop(caller);
    Ok(())
}

/// Time until no endpoint works on a request.
async fn time_until_idle(site: &PlatformSite) -> anyhow::Result<Duration> {
    let from = Timestamp::now();
    wait_until(async || Ok(site.replicas.iter().all(|replica| replica.open_runs() == 0))).await?;
    Ok(Timestamp::now().since(from))
}

/// Guards against endpoints that work on for a caller who has left, before the first part of the
/// response and in the middle of a stream.
#[rstest]
#[case::before_the_response(ReplicaMode::Mute, "/safe/x")]
#[case::before_the_first_event(ReplicaMode::Mute, "/stream/x")]
#[case::in_the_stream(ReplicaMode::Stalls, "/stream/x")]
fn a_run_ends_when_its_caller_leaves(
    #[case] mode: ReplicaMode,
    #[case] path: &str,
    #[values(Departure::Close, Departure::Reset, Departure::CloseAfterNextHead)]
    departure: Departure,
) {
    run(async {
        let site = PlatformSite::start(1, 1).await?;
        site.replicas[0].set_mode(mode);
        let call = SiteCall { patience_ms: 6_000, ..SiteCall::new("leaves", path) };
        let caller = send(&site, call).await?;
        wait_until(async || Ok(site.replicas[0].open_runs() == 1)).await?;
        leave(caller, departure).await?;
        let took = time_until_idle(&site).await?;
        assert!(took < LEAVE_TIME, "the run ended after {took:?}");
        Ok(())
    });
}

/// Guards against a request that is sent for a caller who left before its body was complete.
#[test]
fn a_request_without_its_whole_body_is_sent_to_no_endpoint() {
    run(async {
        let site = PlatformSite::start(1, 1).await?;
        let mut caller = TcpStream::connect(site.entries[0].front).await?;
        let whole = site.raw_request(SiteCall::new("half", "/unsafe/x"));
        caller.write_all(&whole[..whole.len() - 1]).await?;
        Timer::after(Duration::from_millis(50)).await;
        drop(caller);
        Timer::after(LEAVE_TIME).await;
        assert!(site.replicas[0].arrivals().is_empty(), "the request reached an endpoint");
        Ok(())
    });
}

/// Guards against the loss of a request that was sent before the response to the previous one.
#[test]
fn a_request_sent_early_is_answered() {
    run(async {
        let site = PlatformSite::start(1, 1).await?;
        let mut caller = send(&site, SiteCall::new("first", "/stream/x")).await?;
        caller.write_all(&site.raw_request(SiteCall::new("second", "/safe/y"))).await?;
        let mut received = Vec::new();
        let is_answered = |received: &[u8]| {
            let text = String::from_utf8_lossy(received);
            text.contains(&format!("piece {EVENTS}")) && text.contains("/safe/y a seat")
        };
        while !is_answered(&received) {
            let mut part = [0; 4096];
            let read = cassiawheel_runtime::timeout(Duration::from_secs(5), caller.read(&mut part));
            let length = read.await.ok_or_else(|| anyhow::anyhow!("no answer in time"))??;
            anyhow::ensure!(length > 0, "the entry closed the connection");
            received.extend_from_slice(&part[..length]);
        }
        Ok(())
    });
}
