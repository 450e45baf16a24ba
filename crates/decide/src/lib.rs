//! The decisions of cassiawheel, as pure functions and state machines.
//!
//! Nothing here performs I/O, reads a clock or draws its own random numbers:
//! the present moment and a random generator are arguments. The same code so
//! runs in the processes, in seeded histories and in benches.

pub mod acquaint;
pub mod admit;
pub mod advice;
pub mod affinity;
pub mod budget;
pub mod caller_index;
pub mod cell;
pub mod change;
pub mod claim;
pub mod crash_book;
pub mod entry_choice;
pub mod events;
pub mod fencing;
pub mod flood;
pub mod followed_rows;
pub mod forecast;
pub mod gate;
pub mod gossip;
pub mod heartbeat;
pub mod identity;
pub mod latch;
pub mod limit_book;
pub mod listing;
pub mod lives;
pub mod manifest_search;
pub mod overlay;
pub mod plan;
pub mod preset_holder;
pub mod preset_pull;
pub mod rank;
pub mod repeats;
pub mod retry;
pub mod roster;
pub mod route;
pub mod select;
pub mod switch_stagger;
pub mod versions;

pub use acquaint::{AgentPlace, acquaintances};
pub use admit::{AdmitTicket, AdmitVerdict, CallerTurn, ServiceAdmission};
pub use advice::{AdviceInput, EntryAdvice, advise};
pub use caller_index::{CallerIndex, UnknownKey, draw_service};
pub use cell::{EndpointCell, EndpointPace};
pub use change::{
    ChangeAnswer, ChangeOutcome, ChangeRecord, ChangeRequest, ChangeStep, ChangeWriter, ForceRow,
};
pub use claim::{ClaimRecord, ClaimReply, ClaimState, ClaimStep, ClaimTracker};
pub use crash_book::{BAR_TIME, CrashBook, CrashVerdict};
pub use entry_choice::EntryChoice;
pub use events::{EventError, EventSplicer};
pub use flood::FloodFilter;
pub use followed_rows::FollowedRows;
pub use gate::{GateState, SwitchError};
pub use gossip::{GossipStore, LinkMark, LinkNumber};
pub use heartbeat::{LoadPace, ToldReport};
pub use latch::RunLatch;
pub use limit_book::{HolderPlace, LimitBook};
pub use listing::{EndpointListing, ListingUpdate};
pub use lives::EndpointLives;
pub use manifest_search::{ManifestSearch, SearchStep};
pub use overlay::{EntryPlace, RowDuty, chosen_links, near_or_all, reachable_entries, row_duty};
pub use preset_holder::{Adoption, PresetHolder, StartHold};
pub use preset_pull::{PeerRevision, PresetPull, PullStep, PullView};
pub use repeats::RepeatSchedule;
pub use retry::{AttemptEnd, RepeatGuard, RetryBudget, RetryStep, RetryTracker};
pub use roster::{EndpointRoster, EntryRoster, PeerEntry};
pub use route::{
    EndpointPath, RouteCandidate, RouteChoice, RouteQuery, RouteSnapshot, ServiceRoutes,
};
pub use select::{
    ChunkBits, ChunkPicker, ChunkSource, FetchFailure, FetchOrder, PeerLocation, PickerSettings,
};
pub use switch_stagger::SwitchStagger;
pub use versions::{VersionRecord, VersionRegistry};
