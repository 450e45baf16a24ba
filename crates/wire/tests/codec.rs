//! Decoding of valid, damaged and arbitrary frames: the result is a message or an error, never
//! a panic.

use cassiawheel_model::{DemandRecord, GossipDelta, InstanceId};
use cassiawheel_wire::{
    ControlMessage, HelloMessage, ProcessKind, RequestMessage, WireMessage,
    codec::{decode, encode},
};
use proptest::prelude::*;

fn messages() -> impl Strategy<Value = WireMessage> {
    let hello = (any::<bool>(), "[a-z0-9.-]{1,40}", any::<u64>()).prop_map(|(entry, name, n)| {
        let kind = if entry { ProcessKind::Entry } else { ProcessKind::Agent };
        let instance = InstanceId::new(&name).expect("a name");
        WireMessage::from(HelloMessage { kind, instance, incarnation: n })
    });
    let data = (any::<u64>(), proptest::collection::vec(any::<u8>(), 0..200))
        .prop_map(|(attempt, bytes)| RequestMessage::Data { attempt, bytes }.into());
    let failed = (any::<u64>(), ".{0,80}")
        .prop_map(|(attempt, detail)| RequestMessage::Failed { attempt, detail }.into());
    prop_oneof![hello, data, failed]
}

proptest! {
    /// Bytes that are not a message, for example from a process of another version. A panic would
    /// end the process and abort all its requests.
    #[test]
    fn arbitrary_bytes_do_not_panic(bytes in proptest::collection::vec(any::<u8>(), 0..600)) {
        let _ = decode(&bytes);
    }

    #[test]
    fn a_message_is_decoded_as_it_was(message in messages()) {
        let bytes = encode(&message).expect("encodes");
        prop_assert_eq!(decode(&bytes).expect("decodes"), message);
    }

    /// A frame without its end, as after an error in the sender. If it were decoded as a shorter
    /// message, an answer would be incomplete without notice.
    #[test]
    fn a_truncated_message_is_an_error(message in messages(), cut in any::<prop::sample::Index>()) {
        let bytes = encode(&message).expect("encodes");
        prop_assert!(decode(&bytes[..cut.index(bytes.len())]).is_err());
    }

    /// A message followed by bytes of another one.
    #[test]
    fn trailing_bytes_are_an_error(message in messages(), more in any::<u8>()) {
        let mut bytes = encode(&message).expect("encodes");
        bytes.push(more);
        prop_assert!(decode(&bytes).is_err());
    }

    #[test]
    fn damaged_messages_never_panic(
        message in messages(),
        at in any::<prop::sample::Index>(),
        value in any::<u8>(),
    ) {
        let mut bytes = encode(&message).expect("encodes");
        let index = at.index(bytes.len());
        bytes[index] = value;
        let _ = decode(&bytes);
    }
}

/// A few bytes that announce a list of 2^60 items or deeply nested lists: an allocation or a
/// stack of that size would end the process.
#[test]
fn announced_sizes_are_not_allocated() {
    let huge = [0x9b, 0x10, 0, 0, 0, 0, 0, 0, 0];
    assert!(decode(&huge).is_err());
    let huge_text = [0x7b, 0x10, 0, 0, 0, 0, 0, 0, 0, b'x'];
    assert!(decode(&huge_text).is_err());
    assert!(decode(&vec![0x81; 1 << 20]).is_err());
    assert!(decode(&vec![0xc1; 1 << 20]).is_err());
}

fn gossip(demands: Vec<DemandRecord>) -> WireMessage {
    ControlMessage::Gossip(Box::new(GossipDelta { demands, ..GossipDelta::default() })).into()
}

/// Guards against demand records that take more of the control traffic than planned: every entry
/// sends one for each service each second, and each passes most links. A message without any has no
/// field for them, as in builds that do not know it.
#[test]
fn demand_records_are_small_and_absent_where_there_are_none() {
    let demand = |n: u64| DemandRecord {
        instance_hash: u64::MAX - n,
        service_hash: u64::MAX,
        per_second: 17.3,
        age_ms: 900,
    };
    let empty = encode(&gossip(Vec::new())).expect("encodes");
    assert!(!empty.windows(7).any(|bytes| bytes == b"demands"));
    let message = gossip((0..100).map(demand).collect());
    let bytes = encode(&message).expect("encodes");
    let record_bytes = (bytes.len() - empty.len()) as f64 / 100.0;
    println!("{record_bytes} bytes a record");
    assert!(record_bytes <= 28.0, "{record_bytes}");
    assert_eq!(decode(&bytes).expect("decodes"), message);
}
