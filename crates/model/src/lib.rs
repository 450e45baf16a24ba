//! Domain types shared by all crates of cassiawheel.
//!
//! Identifiers, deadlines, manifests, presets, requests and settings, and the
//! findings reported by checks of operator input. Nothing here performs I/O, and
//! only [`Timestamp::now`] reads a clock.

#[macro_use]
mod derives;

pub mod endpoint;
pub mod evacuation;
pub mod finding;
pub mod flags;
pub mod gossip;
pub mod header;
pub mod home;
pub mod ids;
pub mod layer_path;
pub mod layers;
pub mod listing;
pub mod manifest;
pub mod outcome;
pub mod position;
pub mod preset;
pub mod request;
pub mod routing;
pub mod settings;
pub mod target;
pub mod time;

pub use endpoint::{
    EndpointReport, EndpointRole, EndpointState, LoadReport, NamedLimit, StagedWeights,
    WeightsBasis,
};
pub use evacuation::EvacuationOrder;
pub use finding::{FindingList, InputFinding};
pub use gossip::{
    CrashEvent, CrashRecord, DemandRecord, DepartureRecord, EntryRecord, GossipDelta, ItemVersion,
    LimitRecord, LimitState, LoadRecord, QuarantinedRequest,
};
pub use header::HeaderField;
pub use home::{EVERYWHERE, HomeRegions};
pub use ids::{
    AttemptNonce, ChangeId, ChunkDigest, FailureDomain, InstanceId, LeaseHolder, ManifestDigest,
    ModelVersion, OperatorName, PresetName, RegionName, RequestId, RequestKey, ServiceName,
    WorkspaceId,
};
pub use layer_path::{LayerPath, MAX_PATH_MEMBERS, PathError, PathMember};
pub use layers::{EmptyRange, LayerRange, LoadedLayers};
pub use listing::{ListedEndpoint, ListedRow};
pub use manifest::{ChunkEntry, ChunkHash, ManifestError, WeightManifest};
pub use outcome::{NotRunReason, OutcomeKind, RequestOutcome};
pub use position::StorePosition;
pub use preset::{ForcedPreset, PresetContent, PresetRevision, ServiceKind, ServiceTarget};
pub use request::{
    GenerationSize, PriorityClass, Repeatability, RequestDigest, RequestHead, Urgency,
};
pub use routing::{CallerLimits, CallerTable, ColdLimit, RouteKind, RouteRule, RouteShare};
pub use target::{AgeSource, EngineProfile, ModelName, OriginPlace, TargetVersion};
pub use time::{Deadline, Timestamp};
