//! Urgent messages behind a full queue of others on the same connection.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use cassiawheel_model::{
    AgeSource, ChangeId, ForcedPreset, InstanceId, LoadReport, ModelVersion, OperatorName,
    PresetContent, PresetName, PresetRevision, TargetVersion, Timestamp,
};
use cassiawheel_runtime::{spawn, timeout};
use cassiawheel_wire::{
    ControlMessage, HelloMessage, ProcessKind, RequestMessage, WireMessage, WireReceiver,
    WireSender, accept, connect,
    lanes::{WriteItem, message_lanes},
};
use rstest::rstest;
use smol::{Timer, net::TcpListener};

/// Time in which the writer has filled the buffers of an unread connection.
const FILL_TIME: Duration = Duration::from_millis(50);

/// Longest wait for a message that is on its way.
const RECEIVE_TIMEOUT: Duration = Duration::from_secs(5);

/// Bytes that a narrow link of 1.2 Mbit/s transmits in 200 ms.
const MAX_ON_THE_WAY: usize = 30_000;

/// Messages sent at most until the queue of an unread connection is full.
const MAX_SENT: usize = 1_000;

const KEY: &str = "key";

fn run(test: impl Future<Output = ()>) {
    cassiawheel_runtime::run(2, test).expect("the executor runs");
}

/// A connection whose messages go in one direction only.
struct Connection {
    sender: WireSender,
    receiver: WireReceiver,
    /// Halves of the unused direction, which would end with them.
    unused: (WireSender, WireReceiver),
}

async fn connection() -> Connection {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("binds");
    let addr = listener.local_addr().expect("has an address");
    let accepted = async {
        let (stream, _) = listener.accept().await.expect("accepts");
        accept(stream, KEY).await.expect("the key is right")
    };
    let (accepted, dialled) = smol::future::zip(accepted, connect(addr, KEY, None)).await;
    let (sender, unused_receiver) = accepted;
    let (unused_sender, receiver) = dialled.expect("connects");
    Connection { sender, receiver, unused: (unused_sender, unused_receiver) }
}

/// Size of an ordinary message.
const ORDINARY_BYTES: usize = 10_000;

/// A message of the ordinary lane, of which the buffers of the system hold hundreds.
fn ordinary(number: u64) -> ControlMessage {
    ControlMessage::Named(TargetVersion {
        model: "m".repeat(ORDINARY_BYTES),
        number,
        version: ModelVersion::new("m:1").expect("a valid name"),
        manifest: None,
        age_ms: 0,
        age_source: AgeSource::Observed,
    })
}

fn preset(revision: u64) -> ControlMessage {
    ControlMessage::Force(Arc::new(ForcedPreset {
        revision: PresetRevision(revision),
        preset: PresetName::new("p").expect("a valid name"),
        content: PresetContent { services: BTreeMap::new(), callers: None },
        change: ChangeId::new("c").expect("a valid name"),
        operator: OperatorName::new("o").expect("a valid name"),
        changed_at: Timestamp(0),
    }))
}

fn hello() -> WireMessage {
    let instance = InstanceId::new("entry-1").expect("a valid name");
    HelloMessage { kind: ProcessKind::Entry, instance, incarnation: 1 }.into()
}

/// Sends ordinary messages until the unread connection takes no more.
async fn fill(sender: &WireSender) {
    let mut sent = 0;
    while sent < MAX_SENT {
        if sender.try_send(ordinary(sent as u64)).expect("is open") {
            sent += 1;
            continue;
        }
        Timer::after(FILL_TIME).await;
        if !sender.try_send(ordinary(sent as u64)).expect("is open") {
            return;
        }
        sent += 1;
    }
    panic!("the queue is not bounded");
}

async fn receive(receiver: &mut WireReceiver) -> WireMessage {
    let received = timeout(RECEIVE_TIMEOUT, receiver.recv()).await;
    received.expect("arrives in time").expect("is open")
}

/// Guards against a preset, a departure or a list that is lost or late because other messages
/// fill the queue of the connection or the buffers of the system.
#[rstest]
#[case::preset_request(ControlMessage::PresetWanted)]
#[case::list_request(ControlMessage::ListingWanted)]
#[case::departure(ControlMessage::Drain { instance: InstanceId::new("agent-1").expect("valid") })]
fn an_urgent_message_overtakes_a_full_queue(#[case] urgent: ControlMessage) {
    run(async {
        let Connection { sender, mut receiver, unused: _unused } = connection().await;
        fill(&sender).await;
        assert!(sender.try_send(urgent.clone()).expect("is open"), "{urgent:?} was dropped");
        let mut before = 0;
        while receive(&mut receiver).await != urgent.clone().into() {
            before += 1;
        }
        let bytes = before * ORDINARY_BYTES;
        assert!(bytes <= MAX_ON_THE_WAY, "{bytes} bytes arrived before {urgent:?}");
    });
}

/// Guards against a process that gets presets one after another of which only the last matters.
#[test]
fn only_the_newest_preset_is_sent() {
    run(async {
        let Connection { sender, mut receiver, unused: _unused } = connection().await;
        fill(&sender).await;
        for revision in [2, 4, 3] {
            assert!(sender.try_send(preset(revision)).expect("is open"));
        }
        sender.close();
        let mut revisions = Vec::new();
        while let Ok(message) = receiver.recv().await {
            if let WireMessage::Control(ControlMessage::Force(preset)) = message {
                revisions.push(preset.revision.0);
            }
        }
        // The first one may have been written before the second one was queued.
        assert!(matches!(revisions[..], [4] | [2, 4]), "{revisions:?}");
    });
}

/// Guards against ordinary messages that stop once a window of them is sent.
#[test]
fn ordinary_messages_flow_while_they_are_read() {
    run(async {
        let Connection { sender, mut receiver, unused } = connection().await;
        let (_unused_sender, mut confirmations) = unused;
        // Answers to pings are read with the messages of the other direction.
        let _reader = spawn(async move { confirmations.recv().await });
        let queue = async {
            for number in 0..MAX_SENT as u64 {
                sender.send(ordinary(number)).await.expect("is open");
            }
        };
        let read = async {
            for number in 0..MAX_SENT as u64 {
                assert_eq!(receive(&mut receiver).await, ordinary(number).into());
            }
        };
        smol::future::zip(queue, read).await;
    });
}

/// Guards against versions and orders that are not sent while entries exchange much state.
#[test]
fn state_and_other_messages_take_turns() {
    let (sender, receiver) = message_lanes();
    let load = LoadReport { in_flight: 1, queued: 0, measured_at: Timestamp(0) };
    for number in 0..10 {
        sender.try_send(ControlMessage::Beat(load).into()).expect("has room");
        sender.try_send(ordinary(number).into()).expect("has room");
    }
    let mut received = Vec::new();
    for _ in 0..6 {
        if let Some(WriteItem::Message(message)) = receiver.try_recv() {
            received.push(message.kind());
        }
    }
    assert_eq!(received, ["beat", "version", "beat", "version", "beat", "version"]);
}

/// Guards against messages of one conversation that overtake each other.
#[test]
fn messages_of_a_lane_keep_their_order() {
    run(async {
        let Connection { sender, mut receiver, unused: _unused } = connection().await;
        sender.send(hello()).await.expect("is open");
        for attempt in 0..300 {
            let data = RequestMessage::Data { attempt, bytes: vec![0; 10_000] };
            let queue = async { sender.send(data).await.expect("is open") };
            let check = async {
                if attempt == 0 {
                    assert_eq!(receive(&mut receiver).await, hello());
                }
                match receive(&mut receiver).await {
                    WireMessage::Request(message) => assert_eq!(message.attempt(), attempt),
                    other => panic!("{other:?} arrived"),
                }
            };
            smol::future::zip(queue, check).await;
        }
    });
}

/// Guards against messages that are lost when the connection is closed after them.
#[test]
fn messages_of_both_lanes_are_written_before_the_connection_closes() {
    run(async {
        let Connection { sender, mut receiver, unused: _unused } = connection().await;
        for number in 0..10 {
            assert!(sender.try_send(ordinary(number)).expect("is open"));
            assert!(sender.try_send(ControlMessage::PresetWanted).expect("is open"));
        }
        sender.close();
        for _ in 0..20 {
            receive(&mut receiver).await;
        }
        let end = timeout(RECEIVE_TIMEOUT, receiver.recv()).await.expect("ends in time");
        assert!(end.is_err(), "{end:?}");
    });
}
