//! Connections to an origin that admits few.

use std::{net::Ipv4Addr, time::Duration};

use cassiawheel_edge::WeightSource;
use cassiawheel_model::ModelVersion;
use cassiawheel_platform::PlatformOrigin;
use cassiawheel_testkit::stand_in::limited_origin::{LimitedOrigin, RunningOrigin};
use smol::{Timer, io::AsyncReadExt, net::TcpListener};

/// Connections that the users' origin admits.
const PLACES: usize = 48;

/// Chunks of a version.
const CHUNKS: usize = 48;

/// Agents that read a manifest within the seconds before the loss of power.
const READERS: usize = 51;

/// Time for a closed connection to be seen at the other end.
const CLOSE_TIME: Duration = Duration::from_millis(200);

fn run<T>(test: impl Future<Output = anyhow::Result<T>>) -> T {
    cassiawheel_runtime::run(4, test).expect("the executor runs").expect("the test passes")
}

fn client_of(origin: &RunningOrigin) -> PlatformOrigin {
    let client = PlatformOrigin::default();
    client.relocate(origin.addr);
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
        client.relocate(listener.local_addr()?);
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
