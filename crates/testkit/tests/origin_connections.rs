//! Connections to an origin that admits few.

use std::{
    net::{Ipv4Addr, SocketAddr},
    time::Duration,
};

use cassiawheel_edge::WeightSource;
use cassiawheel_model::{InstanceId, ModelVersion, WeightManifest};
use cassiawheel_platform::PlatformOrigin;
use cassiawheel_runtime::spawn;
use cassiawheel_testkit::{
    PlatformSite,
    platform_site::{model_config, wait_until},
    stand_in::limited_origin::{LimitedOrigin, RunningOrigin},
};
use cassiawheel_wire::{
    ControlMessage, HelloMessage, ProcessKind, WireMessage, WireSender, connect,
};
use serde_json::json;
use smol::{Timer, io::AsyncReadExt, net::TcpListener};

/// Connections that the users' origin admits.
const PLACES: usize = 48;

/// Chunks of a version.
const CHUNKS: usize = 48;

/// Agents that read a manifest within the seconds before the loss of power.
const READERS: usize = 51;

/// Key that processes on the platform show each other.
const INNER_KEY: &str = "cassiawheel-on-the-platform";

/// Time for three entries to meet.
const MEET_TIME: Duration = Duration::from_millis(1_500);

/// Reads of a manifest that are allowed: two by each of the two entries that may begin at the
/// same time, and the test's own.
const MOST_READS: usize = 5;

/// Time for which an origin is away.
const AWAY_TIME: Duration = Duration::from_millis(2_500);

/// Time between heartbeats of an entry.
const HEARTBEAT_TIME: Duration = Duration::from_millis(200);

/// Time for a closed connection to be seen at the other end.
const CLOSE_TIME: Duration = Duration::from_millis(200);

fn run<T>(test: impl Future<Output = anyhow::Result<T>>) -> T {
    cassiawheel_runtime::run(4, test).expect("the executor runs").expect("the test passes")
}

fn client_of(origin: &RunningOrigin) -> PlatformOrigin {
    let client = PlatformOrigin::default();
    client.set_addr(origin.addr);
    client
}

fn version(number: u64) -> ModelVersion {
    ModelVersion::new(&format!("guide:{number}")).expect("a valid version")
}

/// Users were refused for eighteen seconds and longer after all instances had lost
/// power and were back; only the plain services answered. Engines had been replaced
/// in the seconds before: fifty new agents had each read the manifest of the version
/// and kept the connection to the origin, which admits 48 of all clients together.
/// Instances that lose power do not close their connections, so the origin counted
/// them as open, reset every new one after it was made, and no entry learned which
/// bytes the version consists of; without that no agent gets an order. The entries'
/// logs proved it: `A manifest cannot be read` with a reset after connecting, fifteen
/// times a second and never a success, while the agents' logs stayed empty.
#[test]
fn a_manifest_is_read_after_all_instances_lost_power() {
    run(async {
        let origin = LimitedOrigin::start(PLACES, CHUNKS, Duration::ZERO).await?;
        let mut agents = Vec::new();
        for _ in 0..READERS {
            let agent = client_of(&origin);
            // Those for whom there is no place ask other agents instead.
            let _ = agent.manifest(&version(2)).await;
            agents.push(agent);
        }
        Timer::after(CLOSE_TIME).await;
        origin.state.lose_clients();
        drop(agents);

        let entry = client_of(&origin);
        let read = entry.manifest(&version(2)).await;
        assert!(read.is_ok(), "{read:?} with {} places taken", origin.state.taken());
        Ok(())
    });
}

/// Instances that lose power in the middle of a call leave its connection behind. An
/// origin that was asked to close it does so after its answer, though nobody is there;
/// one that was not waits for the next request.
#[test]
fn the_origin_is_asked_to_close() {
    run(async {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
        let client = PlatformOrigin::default();
        client.set_addr(listener.local_addr()?);
        let asking = cassiawheel_runtime::spawn(async move { client.manifest(&version(2)).await });
        let (mut stream, _) = listener.accept().await?;
        let mut head = vec![0; 4_096];
        let length = stream.read(&mut head).await?;
        let head = String::from_utf8_lossy(&head[..length]).to_lowercase();
        assert!(head.contains("connection: close"), "{head}");
        drop(asking);
        Ok(())
    });
}

/// Connects to an entry as an agent does, and asks for a manifest until it has it.
async fn told_manifest(addr: SocketAddr, wanted: &WeightManifest) -> anyhow::Result<Told> {
    let (sender, mut receiver) = connect(addr, INNER_KEY, None).await?;
    let instance = InstanceId::new("side-1")?;
    sender.send(HelloMessage { kind: ProcessKind::Agent, instance, incarnation: 1 }).await?;
    sender.send(ControlMessage::ManifestWanted { manifest: wanted.digest }).await?;
    loop {
        match receiver.recv().await? {
            WireMessage::Control(ControlMessage::Manifest(told)) => {
                return Ok(Told::Whole(told.as_ref().clone()));
            }
            WireMessage::Control(ControlMessage::ManifestUnknown { .. }) => {
                return Ok(Told::Unknown);
            }
            _ => {}
        }
    }
}

/// Sends what keeps a link between entries up.
async fn send_heartbeats(sender: WireSender) {
    while sender.send(ControlMessage::Gossip(Box::default())).await.is_ok() {
        Timer::after(HEARTBEAT_TIME).await;
    }
}

#[derive(Debug, PartialEq)]
enum Told {
    Whole(WeightManifest),
    Unknown,
}

/// After a loss of power every process needs the manifest of the version in force. When
/// a hundred agents read it at an origin of 48 connections, half of them were reset, and
/// engines that held all chunks served nothing for two seconds. One entry reads it, twice
/// since the origin may send damaged bytes, and all entries pass it on.
#[test]
fn entries_read_a_manifest_once_and_pass_it_on() {
    run(async {
        let origin = LimitedOrigin::start(PLACES, CHUNKS, Duration::ZERO).await?;
        let mut site = PlatformSite::prepare(1).await?;
        for _ in 0..3 {
            site.add_entry()?;
        }
        for entry in &site.entries {
            site.wait_ready(entry, true).await?;
        }
        // All entries know each other before the version is named.
        Timer::after(MEET_TIME).await;
        site.rows.put("op", "config", &model_config(2, "guide", origin.addr, PLACES));
        let wanted = client_of(&origin).manifest(&version(1)).await?;
        for entry in &site.entries {
            wait_until(async || {
                let told = told_manifest(entry.control, &wanted).await?;
                Ok(told == Told::Whole(wanted.clone()))
            })
            .await?;
        }
        assert!(origin.state.served() <= MOST_READS, "{} reads", origin.state.served());
        assert_eq!(origin.state.taken(), 0);
        Ok(())
    });
}

/// The origin is away when a version is named, and back seconds later. Who pins the
/// version tells the others how long ago it was named; told as just named, an entry that
/// had not heard of it would let older versions answer for those seconds too long.
#[test]
fn a_version_that_is_pinned_late_is_told_with_its_age() {
    run(async {
        let reserved = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
        let addr = reserved.local_addr()?;
        drop(reserved);
        let site = PlatformSite::start(1, 1).await?;
        site.rows.put("op", "config", &model_config(2, "guide", addr, PLACES));
        site.rows.put("op", "version/guide", &json!({ "model": "guide", "version": 2 }));

        let (sender, mut receiver) = connect(site.entries[0].control, INNER_KEY, None).await?;
        let instance = InstanceId::new("entry-other")?;
        sender.send(HelloMessage { kind: ProcessKind::Entry, instance, incarnation: 1 }).await?;
        let _heartbeats = spawn(send_heartbeats(sender));
        Timer::after(AWAY_TIME).await;
        let _origin = LimitedOrigin::start_at(addr, PLACES, CHUNKS, Duration::ZERO).await?;
        let told = loop {
            if let WireMessage::Control(ControlMessage::Named(named)) = receiver.recv().await?
                && named.manifest.is_some()
            {
                break named;
            }
        };
        let told_age = Duration::from_millis(told.age_ms);
        assert!(told_age >= AWAY_TIME, "told as named {told_age:?} ago");
        Ok(())
    });
}
