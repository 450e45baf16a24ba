//! The decision logic of cassiawheel, as pure functions and state machines.
//!
//! Nothing here performs I/O, reads a clock or creates random numbers: the current time and a
//! random number generator are arguments. The same code therefore runs in the processes, in
//! seeded simulations and in benchmarks.

pub mod admit;
pub mod advice;
pub mod affinity;
pub mod answer_times;
mod answered_parts;
pub mod budget;
pub mod byte_budget;
pub mod caller_index;
pub mod change;
pub mod claim;
pub mod crash_tracker;
pub mod demand;
pub mod departures;
pub mod endpoint_backoff;
pub mod endpoint_speed;
pub mod endpoint_tracker;
pub mod entry_lists;
pub mod entry_selector;
pub mod evacuation;
pub mod events;
pub mod fencing;
pub mod flood;
pub mod followed_rows;
pub mod forecast;
pub mod gate;
pub mod gossip;
pub mod heartbeat;
pub mod idempotency;
pub mod item_requests;
pub mod latch;
pub mod layer_path;
pub mod layers;
pub mod listing;
pub mod load_proof;
pub mod manifest_search;
pub mod outage_recovery;
pub mod overlay;
pub mod path_candidate;
pub mod pause_detector;
pub mod peering;
pub mod plan;
pub mod preset_holder;
pub mod preset_pull;
pub mod rank;

pub mod rate_limits;
pub mod rate_meter;
mod region_delay;
pub mod request_work;
pub mod restarts;
pub mod resync;
pub mod retry;
pub mod retry_time;
pub mod roster;
pub mod route;
pub mod select;
pub mod slot_share;
pub mod switch_stagger;
pub mod urgency;
mod urgency_queue;
pub mod verified_load;
pub mod versions;

pub use admit::{AdmitRank, AdmitTicket, AdmitTier, AdmitVerdict, ServiceAdmission};
pub use advice::{CallerLocation, EntryAdvice, EntryCandidate, advise};
pub use answered_parts::AnsweredParts;
pub use byte_budget::{ByteBudget, ByteReservation};
pub use caller_index::{CallerIndex, UnknownKey, pick_service};
pub use change::{
    ChangeAnswer, ChangeOutcome, ChangeRecord, ChangeRequest, ChangeStep, ChangeWriter, ForceRow,
};
pub use claim::{ClaimRecord, ClaimReply, ClaimState, ClaimStep, ClaimTracker};
pub use crash_tracker::{BAR_DURATION, CrashTracker, CrashVerdict};
pub use demand::{DemandSample, DemandShare, DemandTable, ShareReason};
pub use departures::DepartureTable;
pub use endpoint_backoff::EndpointBackoff;
pub use endpoint_speed::EndpointSpeed;
pub use endpoint_tracker::{EndpointPace, EndpointTracker, PATH_TTL_MS};
pub use entry_lists::SentEntryLists;
pub use entry_selector::EntrySelector;
pub use evacuation::EvacuationTable;
pub use events::{EventError, EventSplicer};
pub use flood::FloodFilter;
pub use followed_rows::FollowedRows;
pub use gate::{GateState, SwitchError};
pub use gossip::{DueState, GossipStore, LinkCursor, LinkId};
pub use heartbeat::{LoadSchedule, SentReport};
pub use item_requests::ItemRequests;
pub use latch::RunLatch;
pub use layer_path::{LayerHolder, form_paths};
pub use layers::{EngineHolding, LayerHalf, LayerRelease, PATH_RELEASE_MS};
pub use listing::{EndpointListing, ExpiredRow, ListingUpdate};
pub use load_proof::{ChunkCheck, LoadProofs};
pub use manifest_search::{ManifestSearch, SearchStep};
pub use outage_recovery::OutageRecovery;
pub use overlay::{
    EntryLocation, FeedRole, far_link_rank, feed_role, links_to_dial, reachable_entries,
    same_region_or_all,
};
pub use path_candidate::{MemberState, PathCandidate};
pub use pause_detector::PauseDetector;
pub use peering::{AgentLocation, chunk_peers};
pub use preset_holder::{Adoption, PresetHolder, StartHold};
pub use preset_pull::{PeerRevision, PresetPull, PullStep, PullView};
pub use rate_limits::{ColdBound, HolderRank, RateLimits};
pub use rate_meter::RateMeter;
pub use region_delay::{RegionDelay, RegionDelays};
pub use request_work::RequestWork;
pub use restarts::RestartDetector;
pub use resync::ResyncSchedule;
pub use retry::{AttemptFailure, RepeatGuard, RetryBudget, RetryStep, RetryTracker};
pub use retry_time::{RefusedCaller, RetryOutlook, RetryPlan};
pub use roster::{EndpointRoster, EntryRoster, PeerEntry};
pub use route::{
    EndpointPath, RouteCandidate, RouteChoice, RouteQuery, RouteSnapshot, ServiceRoutes,
};
pub use select::{
    ChunkBits, ChunkPicker, ChunkSource, FetchFailure, FetchOrder, PeerLocation, PickerSettings,
};
pub use slot_share::{SlotCompetitor, SlotShare};
pub use switch_stagger::SwitchStagger;
pub use urgency::{RequestUrgency, UrgencyTable, engine_priority};
pub use verified_load::{LoadEnd, LoadStep, VerifiedLoad};
pub use versions::{VersionRecord, VersionRegistry};
