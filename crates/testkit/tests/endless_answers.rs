//! Answers without an end, in a head or a body, at each client.

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use bytes::Bytes;
use cassiawheel_edge::{HttpClient, ModelEngine, OriginClient, ReplyBounds};
use cassiawheel_platform::{PlatformEngine, RowClient};
use cassiawheel_runtime::{spawn, timeout};
use cassiawheel_testkit::{PlatformSite, SiteCall};
use hyper::{Method, StatusCode};
use rstest::rstest;
use serde_json::json;

/// Time within which each call must have failed.
const MAX_WAIT: Duration = Duration::from_secs(5);

/// Most bytes that a client may take of an endless answer; socket buffers come on top.
const MAX_TAKEN_BYTES: usize = 48 << 20;

const INTERIM_HEAD: &str = "HTTP/1.1 102 Processing\r\n\r\n";
const OPEN_BODY: &str = "HTTP/1.1 200 OK\r\ncontent-type: application/json\r\n\r\n";
const OPEN_HEAD: &str = "HTTP/1.1 200 OK\r\n";

fn run(test: impl Future<Output = anyhow::Result<()>>) {
    cassiawheel_runtime::run(2, test).expect("the executor runs").expect("the test passes");
}

/// A server that answers with `start` and then with `part` until its client closes.
struct EndlessServer {
    addr: SocketAddr,
    taken: Arc<AtomicUsize>,
    /// Requests of callers, in contrast to probes.
    requests: Arc<AtomicUsize>,
}

impl EndlessServer {
    /// Starts the server on a thread of its own, as the client may keep the executor busy.
    fn start(start: &'static str, part: &'static str) -> anyhow::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let addr = listener.local_addr()?;
        let taken = Arc::<AtomicUsize>::default();
        let requests = Arc::<AtomicUsize>::default();
        let (counted, counted_requests) = (taken.clone(), requests.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (counted, counted_requests) = (counted.clone(), counted_requests.clone());
                thread::spawn(move || answer(stream, start, part, &counted, &counted_requests));
            }
        });
        Ok(Self { addr, taken, requests })
    }
}

fn answer(
    mut stream: TcpStream,
    start: &str,
    part: &str,
    taken: &AtomicUsize,
    requests: &AtomicUsize,
) {
    let block = part.repeat((64 << 10) / part.len());
    let mut request = [0; 4096];
    let Ok(count) = stream.read(&mut request) else {
        return;
    };
    if request[..count].starts_with(b"GET /safe/") {
        requests.fetch_add(1, Ordering::Relaxed);
    }
    let mut is_open = stream.write_all(start.as_bytes()).is_ok();
    while is_open && taken.load(Ordering::Relaxed) < 2 * MAX_TAKEN_BYTES {
        is_open = stream.write_all(block.as_bytes()).is_ok();
        taken.fetch_add(block.len(), Ordering::Relaxed);
    }
}

/// Calls of the clients of a process.
#[derive(Debug, Clone, Copy)]
enum Call {
    Report,
    Origin,
    Rows,
    Feed,
    Plain,
}

async fn call(call: Call, addr: SocketAddr) -> Result<(), String> {
    let client = HttpClient::default();
    let bounds = ReplyBounds { max_wait: MAX_WAIT, max_bytes: 64 << 10 };
    match call {
        Call::Report => {
            let engine = PlatformEngine::new(client, addr);
            engine.status().await.map(drop).map_err(|error| error.to_string())
        }
        Call::Origin => {
            let got = OriginClient::default().get(addr, "/v1/piece/m", bounds).await;
            got.map(drop).map_err(|error| error.to_string())
        }
        Call::Rows => {
            let rows = RowClient::new(client, addr, MAX_WAIT);
            rows.read("op", "").await.map(drop).map_err(|error| error.to_string())
        }
        Call::Feed => {
            let rows = RowClient::new(client, addr, MAX_WAIT);
            let changes = rows.changes("op", Default::default(), Duration::ZERO).await;
            changes.map(drop).map_err(|error| format!("{error:?}"))
        }
        Call::Plain => {
            let got = client.call(Method::GET, addr, "/", Bytes::new(), bounds).await;
            got.map(drop).map_err(|error| error.to_string())
        }
    }
}

/// Guards against a process that ends by its memory, or serves nobody else, while a server in
/// trouble sends bytes until the connection is closed.
#[rstest]
fn an_endless_answer_is_given_up(
    #[values(Call::Report, Call::Origin, Call::Rows, Call::Feed, Call::Plain)] kind: Call,
    #[values((OPEN_BODY, " "), (INTERIM_HEAD, INTERIM_HEAD), (OPEN_HEAD, "x: y\r\n"), ("", "z"))]
    bytes: (&'static str, &'static str),
) {
    run(async {
        let server = EndlessServer::start(bytes.0, bytes.1)?;
        let began = Instant::now();
        // On the only other thread, so that a call that never gives way holds up this one's timer.
        let failed = spawn(call(kind, server.addr));
        let failed = timeout(MAX_WAIT, failed).await;
        let took = began.elapsed();
        anyhow::ensure!(matches!(failed, Some(Err(_))), "{failed:?}");
        anyhow::ensure!(took < MAX_WAIT, "{took:?}");
        let taken = server.taken.load(Ordering::Relaxed);
        anyhow::ensure!(taken < MAX_TAKEN_BYTES, "{taken} bytes were taken");
        Ok(())
    });
}

/// Calls that are sent together; an entry may repeat each of them once it has saved its retries.
const CALLS_AT_ONCE: usize = 8;

/// Calls after which an entry has saved as many retries as it may.
const SAVING_CALLS: usize = 64;

/// Sends `count` calls together and checks that all of them are served.
async fn check_served(site: &PlatformSite, count: usize) -> anyhow::Result<()> {
    let calls = (0..count).map(|number| async move {
        let id = format!("e-{number}");
        let call = site.call(SiteCall::new(&id, "/safe/x"));
        timeout(MAX_WAIT, call).await.map(|answer| answer.map(|answer| answer.status()))
    });
    let answers = futures_util::future::join_all(calls).await;
    let is_served =
        |answer: &Option<anyhow::Result<StatusCode>>| matches!(answer, Some(Ok(StatusCode::OK)));
    let served = answers.iter().filter(|answer| is_served(answer)).count();
    anyhow::ensure!(served == answers.len(), "{served} of {}: {answers:?}", answers.len());
    Ok(())
}

/// Guards against an entry that answers nobody while one endpoint sends interim responses without
/// end.
#[rstest]
fn callers_are_served_beside_an_endless_answer(
    #[values((INTERIM_HEAD, INTERIM_HEAD), (OPEN_HEAD, "x: y\r\n"), ("", "z"))] bytes: (
        &'static str,
        &'static str,
    ),
    #[values(1, 2, 3)] _round: u32,
) {
    run(async {
        let mut site = PlatformSite::prepare(1).await?;
        site.add_entry()?;
        site.wait_ready(&site.entries[0], true).await?;
        // A process that has just started may repeat one request in five, and no more at once.
        for _ in 0..SAVING_CALLS / CALLS_AT_ONCE {
            check_served(&site, CALLS_AT_ONCE).await?;
        }
        let server = EndlessServer::start(bytes.0, bytes.1)?;
        let row = json!({
            "service": "ledger", "address": server.addr, "zone": "hall", "version": "v1", "slots": 8,
            "state": "ready", "cold_remaining_ms": 0, "sequence": 1,
        });
        site.rows.put("servers", "i-raw", &row);
        let began = Instant::now();
        while server.requests.load(Ordering::Relaxed) == 0 {
            anyhow::ensure!(began.elapsed() < MAX_WAIT, "the endpoint was never chosen");
            check_served(&site, CALLS_AT_ONCE).await?;
        }
        let taken = server.taken.load(Ordering::Relaxed);
        anyhow::ensure!(taken < MAX_TAKEN_BYTES, "{taken} bytes were taken");
        Ok(())
    });
}
