//! Requests and answers, multiplexed over one connection.
//!
//! Each attempt has a number that is unique per connection. An answer consists of
//! `Head`, any number of `Data` and `End`; it is complete only with `End`.

use cassiawheel_model::{
    HeaderField, ModelVersion, NotRunReason, PresetRevision, RequestHead, record,
};
use macro_rules_attribute::apply;

/// A message about one attempt of a request between an entry and an agent.
#[apply(record!)]
#[serde(rename_all = "kebab-case")]
pub enum RequestMessage {
    /// Entry to agent: run the request.
    Dispatch {
        /// Identifies the attempt on this connection.
        attempt: u64,
        /// Metadata of the request.
        head: Box<RequestHead>,
        /// Body of the request.
        #[serde(with = "serde_bytes")]
        body: Vec<u8>,
    },
    /// Entry to agent: stop, since the caller has disconnected or has been answered.
    Cancel {
        /// Identifies the attempt.
        attempt: u64,
    },
    /// Entry to agent: flow control for the bytes of the answer.
    Credit {
        /// Identifies the attempt.
        attempt: u64,
        /// Number of further bytes that the agent may send.
        bytes: u32,
    },
    /// Agent to entry: the request was not run and will not be run for this attempt.
    Refused {
        /// Identifies the attempt.
        attempt: u64,
        /// Reason for which it was not run.
        reason: NotRunReason,
    },
    /// Agent to entry: start of the answer.
    Head {
        /// Identifies the attempt.
        attempt: u64,
        /// Request that is answered.
        request: cassiawheel_model::RequestId,
        /// HTTP status of the answer.
        status: u16,
        /// Media type of the answer.
        content_type: Option<String>,
        /// Further header fields of the answer.
        headers: Vec<HeaderField>,
        /// Version that the endpoint reports to have answered with.
        version: Option<ModelVersion>,
        /// Preset revision under which the request ran.
        revision: PresetRevision,
        /// Whether this is the stored answer of an earlier run with the same key, which may
        /// come from an earlier version than the one that the request was routed to.
        replayed: bool,
    },
    /// Agent to entry: a part of the body of the answer.
    Data {
        /// Identifies the attempt.
        attempt: u64,
        /// Bytes of the part.
        #[serde(with = "serde_bytes")]
        bytes: Vec<u8>,
    },
    /// Agent to entry: the answer is complete.
    End {
        /// Identifies the attempt.
        attempt: u64,
        /// Total length of all parts, in bytes.
        bytes: u64,
    },
    /// Agent to entry: the run failed and may have had side effects.
    Failed {
        /// Identifies the attempt.
        attempt: u64,
        /// Description of the failure, in one sentence.
        detail: String,
    },
}

impl RequestMessage {
    /// The attempt that the message belongs to.
    pub fn attempt(&self) -> u64 {
        match self {
            Self::Dispatch { attempt, .. }
            | Self::Cancel { attempt }
            | Self::Credit { attempt, .. }
            | Self::Refused { attempt, .. }
            | Self::Head { attempt, .. }
            | Self::Data { attempt, .. }
            | Self::End { attempt, .. }
            | Self::Failed { attempt, .. } => *attempt,
        }
    }
}
