//! Requests and their answers, many at a time over one connection.
//!
//! Each attempt has a number that is unique per connection. An answer is
//! `Head`, any number of `Data`, then `End`; only `End` makes it whole.

use cassiawheel_model::{
    HeaderField, ModelVersion, NotRunReason, PresetRevision, RequestHead, record,
};
use macro_rules_attribute::apply;

/// Traffic of one request attempt between an entry and an agent.
#[apply(record!)]
#[serde(rename_all = "kebab-case")]
pub enum RequestMessage {
    /// Entry to agent: run this.
    Dispatch {
        /// Number of the attempt on this connection.
        attempt: u64,
        /// The request.
        head: Box<RequestHead>,
        /// Its body.
        #[serde(with = "serde_bytes")]
        body: Vec<u8>,
    },
    /// Entry to agent: the caller is gone or has been answered.
    Cancel {
        /// The attempt.
        attempt: u64,
    },
    /// Entry to agent: room for more answer bytes.
    Credit {
        /// The attempt.
        attempt: u64,
        /// Further bytes that the agent may send.
        bytes: u32,
    },
    /// Agent to entry: not run, and it never will be under this attempt.
    Refused {
        /// The attempt.
        attempt: u64,
        /// Why.
        reason: NotRunReason,
    },
    /// Agent to entry: the endpoint answers.
    Head {
        /// The attempt.
        attempt: u64,
        /// The request that is answered.
        request: cassiawheel_model::RequestId,
        /// HTTP status of the endpoint.
        status: u16,
        /// Media type of the answer.
        content_type: Option<String>,
        /// Further header fields of the answer.
        headers: Vec<HeaderField>,
        /// The version that the endpoint says it answers from.
        version: Option<ModelVersion>,
        /// The preset under which it ran.
        revision: PresetRevision,
        /// Whether this is the recorded answer of an earlier run of the same key,
        /// which may come from an earlier version than the one routed to.
        replayed: bool,
    },
    /// Agent to entry: a part of the answer.
    Data {
        /// The attempt.
        attempt: u64,
        /// The part.
        #[serde(with = "serde_bytes")]
        bytes: Vec<u8>,
    },
    /// Agent to entry: the answer is whole.
    End {
        /// The attempt.
        attempt: u64,
        /// Length of all parts, in bytes.
        bytes: u64,
    },
    /// Agent to entry: the run failed; it may have had effects.
    Failed {
        /// The attempt.
        attempt: u64,
        /// What went wrong, in a short sentence.
        detail: String,
    },
}

impl RequestMessage {
    /// Number of the attempt that the message belongs to.
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
