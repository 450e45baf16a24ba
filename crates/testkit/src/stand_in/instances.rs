//! Stand-in of the platform's list of instances.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{Arc, Mutex},
};

use cassiawheel_edge::{ListedInstance, ListedState};
use cassiawheel_model::InstanceId;
use cassiawheel_runtime::http::json_reply;
use hyper::StatusCode;

use super::{RunningStandIn, start};
use crate::FaultSwitches;

/// Rows of the list. They change only by [`Self::set`], so a test controls how far the
/// list lags behind the actual state.
#[derive(Debug, Default)]
pub struct InstanceRows {
    listed: Mutex<BTreeMap<InstanceId, ListedState>>,
}

impl InstanceRows {
    /// Serves the list at `addr`.
    pub async fn serve(
        self: &Arc<Self>,
        addr: SocketAddr,
        switches: Arc<FaultSwitches>,
    ) -> std::io::Result<RunningStandIn> {
        let rows = self.clone();
        start(addr, switches, move |_| {
            let rows = rows.clone();
            async move { json_reply(StatusCode::OK, &rows.all()) }
        })
        .await
    }

    /// Lists `instance` in `state`; `None` removes it from the list.
    pub fn set(&self, instance: &InstanceId, state: Option<ListedState>) {
        let mut listed = self.listed.lock().unwrap_or_else(|poison| poison.into_inner());
        match state {
            Some(state) => listed.insert(instance.clone(), state),
            None => listed.remove(instance),
        };
    }

    fn all(&self) -> Vec<ListedInstance> {
        let listed = self.listed.lock().unwrap_or_else(|poison| poison.into_inner());
        listed
            .iter()
            .map(|(instance, state)| ListedInstance { instance: instance.clone(), state: *state })
            .collect()
    }
}
