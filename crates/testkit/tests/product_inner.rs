//! The inner ports under wrong keys and malformed input, over real TCP.

use std::{net::SocketAddr, time::Duration};

use cassiawheel_model::InstanceId;
use cassiawheel_runtime::timeout;
use cassiawheel_testkit::{
    Deployment, DeploymentPlan,
    deployment::{INNER_KEY, MODEL_SERVICE},
};
use cassiawheel_wire::{ControlMessage, HelloMessage, ProcessKind, WireMessage, codec, connect};
use rstest::rstest;
use smol::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};

/// Far longer than every timeout under test.
const TEST_TIMEOUT: Duration = Duration::from_secs(20);

const BINARY: u8 = 0x82;
const TEXT: u8 = 0x81;

fn run<T>(test: impl Future<Output = anyhow::Result<T>>) -> T {
    cassiawheel_runtime::run(4, test).expect("the executor runs").expect("the test passes")
}

/// Starts one entry and one model agent.
async fn start_pair() -> anyhow::Result<Deployment> {
    let plan = DeploymentPlan { entries: 1, model_agents: 1, ..DeploymentPlan::default() };
    let deployment = Deployment::start(&plan).await?;
    let has_one = |status: &serde_json::Value| {
        status["endpoints"].as_array().is_some_and(|endpoints| endpoints.len() == 1)
    };
    deployment.wait_status(0, TEST_TIMEOUT, has_one).await?;
    Ok(deployment)
}

async fn handshake(addr: SocketAddr, key: &str) -> anyhow::Result<TcpStream> {
    let mut stream = TcpStream::connect(addr).await?;
    let head = format!(
        "GET / HTTP/1.1\r\nHost: {addr}\r\nUpgrade: websocket\r\nConnection: Upgrade\r\n\
         Sec-WebSocket-Version: 13\r\nSec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\n\
         Authorization: Bearer {key}\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).await?;
    Ok(stream)
}

/// A complete masked frame as a client sends it; `kind` is its first byte.
fn frame(kind: u8, payload: &[u8]) -> Vec<u8> {
    let length = u8::try_from(payload.len()).expect("a short payload");
    assert!(length < 126);
    let mut bytes = vec![kind, 0x80 | length, 0, 0, 0, 0];
    bytes.extend_from_slice(payload);
    bytes
}

/// Whether the peer closes the connection.
async fn is_closed(mut stream: TcpStream) -> bool {
    let mut bytes = Vec::new();
    timeout(TEST_TIMEOUT, stream.read_to_end(&mut bytes)).await.is_some()
}

async fn assert_unaffected(deployment: &mut Deployment) -> anyhow::Result<()> {
    let status = deployment.status(0).await?;
    let endpoints = status["endpoints"].as_array().cloned().unwrap_or_default();
    assert_eq!(endpoints.len(), 1, "{status}");
    assert_eq!(endpoints[0]["leaving"], false, "{status}");
    assert_eq!(endpoints[0]["report"]["service"], MODEL_SERVICE, "{status}");
    for process in [&mut deployment.entries[0].process, &mut deployment.endpoints[0].agent] {
        let process = process.as_mut().expect("it was started");
        assert_eq!(process.wait(Duration::ZERO).await?, None, "{} keeps running", process.name());
    }
    Ok(())
}

fn inner_addrs(deployment: &Deployment) -> [SocketAddr; 2] {
    [deployment.entries[0].inner_addr, deployment.endpoints[0].inner_addr]
}

/// A process without the key, or of another deployment, connects to an inner port. It must not be
/// able to report as an endpoint, since requests would be routed to it.
#[rstest]
#[case("")]
#[case("inner-key-for-tests")]
#[case("inner-key-for-tests-only-and-more")]
fn a_wrong_key_is_refused(#[case] key: &str) {
    run(async {
        let mut deployment = start_pair().await?;
        for addr in inner_addrs(&deployment) {
            let mut stream = handshake(addr, key).await?;
            let mut answer = Vec::new();
            timeout(TEST_TIMEOUT, stream.read_to_end(&mut answer)).await.expect("closed")?;
            let answer = String::from_utf8_lossy(&answer);
            assert!(answer.starts_with("HTTP/1.1 401"), "{answer}");
        }
        assert_unaffected(&mut deployment).await
    });
}

/// Bytes that are not WebSocket arrive, as from a port scanner.
#[rstest]
#[case::noise(b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03 noise that is no protocol\r\n\r\n")]
#[case::http(b"GET /metrics HTTP/1.1\r\nhost: x\r\n\r\n")]
#[case::nothing(b"")]
fn noise_ends_the_connection(#[case] noise: &[u8]) {
    run(async {
        let mut deployment = start_pair().await?;
        for addr in inner_addrs(&deployment) {
            let mut stream = TcpStream::connect(addr).await?;
            stream.write_all(noise).await?;
            assert!(is_closed(stream).await);
        }
        assert_unaffected(&mut deployment).await
    });
}

fn hello(kind: ProcessKind) -> Vec<u8> {
    let instance = InstanceId::new("stranger").expect("a name");
    codec::encode(&WireMessage::from(HelloMessage { kind, instance, incarnation: 1 }))
        .expect("encodes")
}

/// A process that has the key sends what cannot be decoded, because of another version or a
/// fault. Its connection is closed, and nothing else is affected.
#[rstest]
#[case::garbage(frame(BINARY, b"\xff\xfe garbage"))]
#[case::empty(frame(BINARY, b""))]
#[case::text(frame(TEXT, b"{\"hello\":{}}"))]
#[case::truncated(frame(BINARY, &hello(ProcessKind::Agent)[..20]))]
#[case::behind(frame(BINARY, &[hello(ProcessKind::Agent), vec![0]].concat()))]
#[case::no_mask(vec![BINARY, 3, 1, 2, 3])]
#[case::over_long(vec![BINARY, 0x80 | 127, 0, 0, 0, 1, 0, 0, 0, 0, 0, 0, 0, 0])]
fn a_bad_frame_ends_the_connection(#[case] bytes: Vec<u8>) {
    run(async {
        let mut deployment = start_pair().await?;
        for addr in inner_addrs(&deployment) {
            let mut stream = handshake(addr, INNER_KEY).await?;
            stream.write_all(&bytes).await?;
            assert!(is_closed(stream).await, "at {addr}");
        }
        assert_unaffected(&mut deployment).await
    });
}

/// A process connects and sends no hello, or another message before it.
#[rstest]
#[case::silent(vec![])]
#[case::speaks_first(frame(BINARY, &codec::encode(&leaving()).expect("encodes")))]
fn a_connection_without_hello_ends(#[case] bytes: Vec<u8>) {
    run(async {
        let mut deployment = start_pair().await?;
        let mut stream = handshake(deployment.entries[0].inner_addr, INNER_KEY).await?;
        stream.write_all(&bytes).await?;
        assert!(is_closed(stream).await);
        assert_unaffected(&mut deployment).await
    });
}

fn leaving() -> WireMessage {
    let instance = InstanceId::new("endpoint-0").expect("a name");
    WireMessage::from(ControlMessage::Drain { instance })
}

/// A process sends a hello as one endpoint and announces that another one is leaving. If this
/// were accepted, a single faulty agent could drain the whole deployment.
#[test]
fn an_agent_speaks_for_itself_only() {
    run(async {
        let mut deployment = start_pair().await?;
        let addr = deployment.entries[0].inner_addr;
        let (sender, _receiver) = connect(addr, INNER_KEY, None).await?;
        let instance = InstanceId::new("stranger")?;
        sender.send(HelloMessage { kind: ProcessKind::Agent, instance, incarnation: 1 }).await?;
        let other = InstanceId::new("endpoint-0")?;
        sender.send(ControlMessage::Leaving { instance: other, incarnation: u64::MAX }).await?;
        // The entry handles the messages of a connection in order; their effect would
        // be visible one heartbeat interval later.
        smol::Timer::after(Duration::from_millis(500)).await;
        assert_unaffected(&mut deployment).await
    });
}
