//! The inner ports against strangers and garbage, over real TCP.

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

/// Far beyond every limit under test.
const LONG: Duration = Duration::from_secs(20);

const BINARY: u8 = 0x82;
const TEXT: u8 = 0x81;

fn run<T>(test: impl Future<Output = anyhow::Result<T>>) -> T {
    cassiawheel_runtime::run(4, test).expect("the executor runs").expect("the test passes")
}

async fn one_of_each() -> anyhow::Result<Deployment> {
    let plan = DeploymentPlan { entries: 1, model_agents: 1, ..DeploymentPlan::default() };
    let deployment = Deployment::start(&plan).await?;
    let has_one = |status: &serde_json::Value| {
        status["endpoints"].as_array().is_some_and(|endpoints| endpoints.len() == 1)
    };
    deployment.wait_status(0, LONG, has_one).await?;
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

/// A whole frame as a client sends it.
fn frame(kind: u8, payload: &[u8]) -> Vec<u8> {
    let length = u8::try_from(payload.len()).expect("a short payload");
    assert!(length < 126);
    let mut bytes = vec![kind, 0x80 | length, 0, 0, 0, 0];
    bytes.extend_from_slice(payload);
    bytes
}

/// Whether the other end closes the connection.
async fn is_closed(mut stream: TcpStream) -> bool {
    let mut bytes = Vec::new();
    timeout(LONG, stream.read_to_end(&mut bytes)).await.is_some()
}

async fn assert_unharmed(deployment: &mut Deployment) -> anyhow::Result<()> {
    let status = deployment.status(0).await?;
    let endpoints = status["endpoints"].as_array().cloned().unwrap_or_default();
    assert_eq!(endpoints.len(), 1, "{status}");
    assert_eq!(endpoints[0]["leaving"], false, "{status}");
    assert_eq!(endpoints[0]["report"]["service"], MODEL_SERVICE, "{status}");
    for process in [&mut deployment.entries[0].process, &mut deployment.endpoints[0].agent] {
        let process = process.as_mut().expect("it was started");
        assert_eq!(process.wait(Duration::ZERO).await?, None, "{} goes on", process.name());
    }
    Ok(())
}

fn inner_addrs(deployment: &Deployment) -> [SocketAddr; 2] {
    [deployment.entries[0].inner_addr, deployment.endpoints[0].inner_addr]
}

/// A stranger, or a process of another deployment, finds an inner port. It
/// must not be able to report as an endpoint, since callers' requests would be
/// sent to it.
#[rstest]
#[case("")]
#[case("inner-key-for-tests")]
#[case("inner-key-for-tests-only-and-more")]
fn a_wrong_key_is_refused(#[case] key: &str) {
    run(async {
        let mut deployment = one_of_each().await?;
        for addr in inner_addrs(&deployment) {
            let mut stream = handshake(addr, key).await?;
            let mut answer = Vec::new();
            timeout(LONG, stream.read_to_end(&mut answer)).await.expect("closed")?;
            let answer = String::from_utf8_lossy(&answer);
            assert!(answer.starts_with("HTTP/1.1 401"), "{answer}");
        }
        assert_unharmed(&mut deployment).await
    });
}

/// Something else than WebSocket arrives, as from a port scanner.
#[rstest]
#[case::noise(b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03 noise that is no protocol\r\n\r\n")]
#[case::http(b"GET /metrics HTTP/1.1\r\nhost: x\r\n\r\n")]
#[case::nothing(b"")]
fn noise_ends_the_connection(#[case] noise: &[u8]) {
    run(async {
        let mut deployment = one_of_each().await?;
        for addr in inner_addrs(&deployment) {
            let mut stream = TcpStream::connect(addr).await?;
            stream.write_all(noise).await?;
            assert!(is_closed(stream).await);
        }
        assert_unharmed(&mut deployment).await
    });
}

fn hello(kind: ProcessKind) -> Vec<u8> {
    let instance = InstanceId::new("stranger").expect("a name");
    codec::encode(&WireMessage::from(HelloMessage { kind, instance, incarnation: 1 }))
        .expect("encodes")
}

/// A process of another version, or one with a fault, holds the key and sends
/// what is no message. The connection ends, and nothing else does.
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
        let mut deployment = one_of_each().await?;
        for addr in inner_addrs(&deployment) {
            let mut stream = handshake(addr, INNER_KEY).await?;
            stream.write_all(&bytes).await?;
            assert!(is_closed(stream).await, "at {addr}");
        }
        assert_unharmed(&mut deployment).await
    });
}

/// A process connects and does not say who it is, or speaks before it does.
#[rstest]
#[case::silent(vec![])]
#[case::speaks_first(frame(BINARY, &codec::encode(&leaving()).expect("encodes")))]
fn a_connection_without_hello_ends(#[case] bytes: Vec<u8>) {
    run(async {
        let mut deployment = one_of_each().await?;
        let mut stream = handshake(deployment.entries[0].inner_addr, INNER_KEY).await?;
        stream.write_all(&bytes).await?;
        assert!(is_closed(stream).await);
        assert_unharmed(&mut deployment).await
    });
}

fn leaving() -> WireMessage {
    let instance = InstanceId::new("endpoint-0").expect("a name");
    WireMessage::from(ControlMessage::Drain { instance })
}

/// A process says that it is one endpoint and that another one leaves. Taken at
/// its word, a single faulty agent could empty the deployment.
#[test]
fn an_agent_speaks_for_itself_only() {
    run(async {
        let mut deployment = one_of_each().await?;
        let addr = deployment.entries[0].inner_addr;
        let (sender, _receiver) = connect(addr, INNER_KEY, None).await?;
        let instance = InstanceId::new("stranger")?;
        sender.send(HelloMessage { kind: ProcessKind::Agent, instance, incarnation: 1 }).await?;
        let other = InstanceId::new("endpoint-0")?;
        sender.send(ControlMessage::Leaving { instance: other, incarnation: u64::MAX }).await?;
        // The entry handles the messages of a connection in order, and a
        // heartbeat's time later what it made of them would show.
        smol::Timer::after(Duration::from_millis(500)).await;
        assert_unharmed(&mut deployment).await
    });
}
