//! Limits of HTTP listeners, tested over real sockets.

use std::{net::SocketAddr, time::Duration};

use cassiawheel_runtime::{
    ShutdownTrigger,
    http::{BodyError, ListenerLimits, error_reply, full_body, read_body_reserved, serve},
    spawn, timeout,
};
use hyper::{Response, StatusCode};
use rstest::rstest;
use smol::{
    Task,
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
};

/// Timeout of the test, far above the tested limits.
const TEST_TIMEOUT: Duration = Duration::from_secs(20);

const LIMITS: ListenerLimits = ListenerLimits {
    connections: 2,
    head_bytes: 8 << 10,
    head_timeout: Duration::from_millis(300),
    write_timeout: Duration::from_millis(300),
};

struct TestServer {
    addr: SocketAddr,
    trigger: ShutdownTrigger,
    served: Task<()>,
}

async fn start() -> TestServer {
    let listener = TcpListener::bind(("127.0.0.1", 0)).await.expect("listens");
    let addr = listener.local_addr().expect("an address");
    let (trigger, shutdown) = ShutdownTrigger::new();
    let served = spawn(serve(listener, LIMITS, shutdown, |request, _| async move {
        if request.uri().path() == "/large" {
            return Response::new(full_body(vec![b'x'; 64 << 20]));
        }
        let is_full = request.uri().path() == "/full";
        let span = Duration::from_millis(300);
        let reserve = |bytes| !is_full || bytes <= 2;
        match read_body_reserved(request.into_body(), 16, span, reserve).await {
            Ok(body) => Response::new(full_body(body)),
            Err(BodyError::NoRoom) => error_reply(StatusCode::SERVICE_UNAVAILABLE, "no-room", ""),
            Err(BodyError::TooLong) => error_reply(StatusCode::PAYLOAD_TOO_LARGE, "too-long", ""),
            Err(BodyError::TimedOut) => error_reply(StatusCode::REQUEST_TIMEOUT, "slow", ""),
            Err(BodyError::Truncated) => error_reply(StatusCode::BAD_REQUEST, "cut", ""),
        }
    }));
    TestServer { addr, trigger, served }
}

async fn send(addr: SocketAddr, text: &str) -> TcpStream {
    let mut stream = TcpStream::connect(addr).await.expect("connects");
    stream.write_all(text.as_bytes()).await.expect("sends");
    stream
}

/// Reads until the server closes the connection.
async fn read_to_close(mut stream: TcpStream) -> String {
    let mut bytes = Vec::new();
    let _ = timeout(TEST_TIMEOUT, stream.read_to_end(&mut bytes)).await.expect("the server closes");
    String::from_utf8_lossy(&bytes).into_owned()
}

async fn is_served(addr: SocketAddr) -> bool {
    let request = "POST / HTTP/1.1\r\nhost: x\r\ncontent-length: 2\r\nconnection: close\r\n\r\nok";
    read_to_close(send(addr, request).await).await.ends_with("ok")
}

fn run(test: impl Future<Output = ()>) {
    cassiawheel_runtime::run(2, test).expect("the executor runs");
}

/// Clients occupy all connections of the listener and send incomplete requests or nothing.
/// Without timeouts no other client would be served until they disconnect.
#[rstest]
#[case::no_head("")]
#[case::half_a_head("POST / HTTP/1.1\r\nhost:")]
#[case::half_a_body("POST / HTTP/1.1\r\nhost: x\r\ncontent-length: 9\r\n\r\nhalf")]
#[case::idle_after_an_answer("POST / HTTP/1.1\r\nhost: x\r\ncontent-length: 2\r\n\r\nok")]
fn slow_clients_lose_their_connection(#[case] sent: &str) {
    run(async {
        let server = start().await;
        let held = [send(server.addr, sent).await, send(server.addr, sent).await];
        assert!(is_served(server.addr).await);
        for stream in held {
            let answer = read_to_close(stream).await;
            assert_eq!(answer.contains("408"), sent.ends_with("half"), "{answer}");
        }
    });
}

/// A client requests a large answer and does not read it. Without a timeout the connection
/// and its request would remain open, and a shutdown would wait for them.
#[test]
fn a_client_that_reads_nothing_loses_its_connection() {
    run(async {
        let server = start().await;
        let request = "GET /large HTTP/1.1\r\nhost: x\r\n\r\n";
        let held = [send(server.addr, request).await, send(server.addr, request).await];
        assert!(is_served(server.addr).await);
        drop(held);
    });
}

#[test]
fn a_head_or_body_beyond_the_limit_is_refused() {
    run(async {
        let server = start().await;
        let head = format!("GET / HTTP/1.1\r\nhost: x\r\nlong: {}\r\n\r\n", "x".repeat(64 << 10));
        let mut stream = TcpStream::connect(server.addr).await.expect("connects");
        // The server may close the connection before everything is sent.
        let _ = stream.write_all(head.as_bytes()).await;
        let answer = read_to_close(stream).await;
        assert!(!answer.contains("200"), "{answer}");
        let body = "POST / HTTP/1.1\r\nhost: x\r\ncontent-length: 17\r\nconnection: close\r\n\r\n\
                    more than 16 byte";
        assert!(read_to_close(send(server.addr, body).await).await.contains("413"));
        assert!(is_served(server.addr).await);
    });
}

/// An entry is stopped while idle connections occupy all slots of its listener. The shutdown
/// must proceed; otherwise the process would be killed with requests in progress.
#[test]
fn a_full_listener_shuts_down() {
    run(async {
        let server = start().await;
        let sent = "POST / HTTP/1.1\r\nhost: x\r\ncontent-length: 2\r\n\r\nok";
        let held = [send(server.addr, sent).await, send(server.addr, sent).await];
        let waiting = TcpStream::connect(server.addr).await;
        server.trigger.fire();
        assert!(timeout(TEST_TIMEOUT, server.served).await.is_some());
        drop((held, waiting));
    });
}

/// Guards against a body that is read although there is no room for it, and against a caller that
/// loses the refusal because the connection is reset while it still sends.
#[rstest]
#[case::length_stated("content-length: 12\r\n\r\n", "twelve bytes")]
#[case::chunked("transfer-encoding: chunked\r\n\r\nc\r\n", "twelve bytes\r\n0\r\n\r\n")]
fn a_body_without_room_is_refused_and_its_connection_kept(#[case] head: &str, #[case] body: &str) {
    run(async {
        let server = start().await;
        let is_stated = head.starts_with("content-length");
        let text = format!("POST /full HTTP/1.1\r\nhost: x\r\n{head}");
        let mut stream = send(server.addr, &text).await;
        if !is_stated {
            stream.write_all(body.as_bytes()).await.expect("sends");
        }
        let mut answer = vec![0; 1024];
        let read = timeout(TEST_TIMEOUT, stream.read(&mut answer)).await.expect("an answer");
        let answer = String::from_utf8_lossy(&answer[..read.expect("an answer")]).into_owned();
        assert!(answer.contains("503"), "{answer}");
        if is_stated {
            stream.write_all(body.as_bytes()).await.expect("sends");
        }
        let next = "POST / HTTP/1.1\r\nhost: x\r\ncontent-length: 2\r\nconnection: close\r\n\r\nok";
        stream.write_all(next.as_bytes()).await.expect("sends");
        let next = read_to_close(stream).await;
        assert!(next.contains("200") && next.ends_with("ok"), "{next}");
    });
}
