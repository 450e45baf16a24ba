//! Messages of typical size, for benches and the tests of their bounds.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};

use cassiawheel_model::{
    Deadline, EndpointReport, EndpointRole, EndpointState, FailureDomain, InstanceId, LoadReport,
    ManifestDigest, ModelVersion, PresetRevision, PriorityClass, RegionName, Repeatability,
    RequestHead, RequestId, ServiceName, StagedWeights, Timestamp, WorkspaceId, ids::IdError,
};
use cassiawheel_wire::{ControlMessage, RequestMessage, WireMessage};

/// Fixed time stamp of the messages, with as many digits as a current one.
const NOW: Timestamp = Timestamp(1_800_000_000_000);

/// Heartbeat of an agent whose engine stages one version while it serves another.
pub fn heartbeat() -> Result<WireMessage, IdError> {
    let report = EndpointReport {
        instance: InstanceId::new("samcheok-hall-model-7")?,
        incarnation: NOW.0,
        sequence: 0,
        region: RegionName::new("gangwon")?,
        failure_domain: FailureDomain::new("samcheok-hall")?,
        service: ServiceName::new("desk")?,
        role: EndpointRole::Model,
        inner_addr: SocketAddr::new(IpAddr::V4(Ipv4Addr::new(10, 20, 30, 40)), 7_003),
        endpoint_addr: None,
        state: EndpointState::Serving {
            version: Some(ModelVersion::new("visitor-desk-2026.12.1")?),
            generation: 12,
        },
        staged: Some(StagedWeights {
            version: ModelVersion::new("visitor-desk-2026.12.2")?,
            manifest: ManifestDigest::of(b"sample"),
            chunks_ready: 4_711,
            chunks_total: 65_536,
        }),
        load: LoadReport { in_flight: 17, queued: 3, measured_at: NOW },
        revision: PresetRevision(15_000),
        order: 15_000 << 20,
        ordered: Some(ManifestDigest::of(b"sample")),
        engine_fencing: (14_999 << 20) + 1,
        limit: 32,
        layers: None,
        basis: Default::default(),
    };
    Ok(WireMessage::Control(ControlMessage::Report(Box::new(report))))
}

/// Head of a generation request.
pub fn head() -> Result<RequestHead, IdError> {
    Ok(RequestHead {
        id: RequestId::new("andong-hall-entry-2-19f8a3b4c5d-2a7f")?,
        workspace: WorkspaceId::new("school-groups")?,
        service: ServiceName::new("desk")?,
        priority: PriorityClass::Normal,
        repeat: Repeatability::Idempotent,
        key: None,
        deadline: Deadline(NOW.0 + 30_000),
        method: "POST".to_owned(),
        path: "/v1/generate".to_owned(),
        content_type: Some("application/json".to_owned()),
        headers: Vec::new(),
        prefix: Some(0x1234_5678_9abc_def0),
        revision: PresetRevision(15_000),
        version: Some(ModelVersion::new("visitor-desk-2026.12.1")?),
    })
}

/// Request message with a body of `bytes` bytes.
pub fn dispatch(bytes: usize) -> Result<WireMessage, IdError> {
    let (head, body) = (Box::new(head()?), vec![b'x'; bytes]);
    Ok(WireMessage::Request(RequestMessage::Dispatch { attempt: 1_000_000, head, body }))
}

/// Part of an answer with `bytes` bytes.
pub fn answer_part(bytes: usize) -> WireMessage {
    let bytes = vec![b'x'; bytes];
    WireMessage::Request(RequestMessage::Data { attempt: 1_000_000, bytes })
}
