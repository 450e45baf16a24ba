//! A path of endpoints that together hold all layers of one version.
//!
//! An engine does not check the path that a request names, so a path can only be constructed if it
//! is valid: with a gap, an overlap or two versions, the answer would come from wrong weights.

use std::{collections::HashSet, fmt, net::SocketAddr};

use crate::{InstanceId, LayerRange, ModelVersion, Timestamp};

/// Most members of a path, as accepted by engines.
pub const MAX_PATH_MEMBERS: usize = 32;

/// An endpoint of a path, with the layers that it computes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PathMember {
    /// Instance of the endpoint.
    pub instance: InstanceId,
    /// Address of the endpoint.
    pub addr: SocketAddr,
    /// Start time of the endpoint's process, if it reports it.
    pub born_at: Option<Timestamp>,
    /// Version of the loaded layers.
    pub version: ModelVersion,
    /// The loaded layers.
    pub range: LayerRange,
}

/// Endpoints that hold all layers of one version exactly once, in order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LayerPath {
    members: Vec<PathMember>,
}

/// Reason why members form no path.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum PathError {
    /// There are no members.
    #[error("a path needs members")]
    Empty,
    /// There are more members than engines accept.
    #[error("{0} members are more than {MAX_PATH_MEMBERS}")]
    TooLong(usize),
    /// An endpoint is a member twice.
    #[error("{0} is a member twice")]
    Repeated(InstanceId),
    /// Two members hold different versions.
    #[error("{0} holds another version")]
    OtherVersion(InstanceId),
    /// A layer is missing, repeated or out of order.
    #[error("layer {expected} is expected at {instance}, which begins with {from}")]
    Misplaced {
        /// The member at which the order is broken.
        instance: InstanceId,
        /// The layer that has to follow.
        expected: u32,
        /// First layer of the member.
        from: u32,
    },
    /// The last member does not end with the last layer.
    #[error("the path ends with layer {to} of {layers}")]
    Incomplete {
        /// First layer that no member holds.
        to: u32,
        /// Number of layers of the model.
        layers: u32,
    },
}

impl LayerPath {
    /// Creates the path through `members` for a model of `layers` layers.
    pub fn new(layers: u32, members: Vec<PathMember>) -> Result<Self, PathError> {
        let Some(first) = members.first() else {
            return Err(PathError::Empty);
        };
        if members.len() > MAX_PATH_MEMBERS {
            return Err(PathError::TooLong(members.len()));
        }
        let (mut instances, mut addrs) = (HashSet::new(), HashSet::new());
        let mut expected = 0;
        for member in &members {
            let instance = member.instance.clone();
            if !instances.insert(&member.instance) || !addrs.insert(member.addr) {
                return Err(PathError::Repeated(instance));
            }
            if member.version != first.version {
                return Err(PathError::OtherVersion(instance));
            }
            let from = member.range.from();
            if from != expected {
                return Err(PathError::Misplaced { instance, expected, from });
            }
            expected = member.range.to();
        }
        if expected != layers {
            return Err(PathError::Incomplete { to: expected, layers });
        }
        Ok(Self { members })
    }

    /// The members, in the order of their layers.
    pub fn members(&self) -> &[PathMember] {
        &self.members
    }

    /// The member that receives the request.
    pub fn first(&self) -> &PathMember {
        // Construction refuses a path without members.
        &self.members[0]
    }

    /// Version that the members hold.
    pub fn version(&self) -> &ModelVersion {
        &self.first().version
    }

    /// Position of the member with this address or instance id.
    pub fn position_of(&self, name: &str) -> Option<usize> {
        let addr: Option<SocketAddr> = name.parse().ok();
        self.members.iter().position(|m| Some(m.addr) == addr || m.instance.as_str() == name)
    }
}

impl fmt::Display for LayerPath {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, member) in self.members.iter().enumerate() {
            let separator = if index == 0 { "" } else { "," };
            let (from, to) = member.range.into();
            write!(f, "{separator}{}={from}-{to}", member.instance)?;
        }
        Ok(())
    }
}
