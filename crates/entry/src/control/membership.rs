//! Membership from heartbeats and the platform's instance list.

use std::{collections::HashSet, sync::Arc, time::Duration};

use cassiawheel_edge::{InstanceList, ListedInstance, ListedState};
use cassiawheel_model::Timestamp;
use smol::Timer;

use crate::shared::EntryShared;

/// Interval between checks for silent endpoints.
const EXPIRE_INTERVAL: Duration = Duration::from_millis(100);

/// Interval between reads of the platform's instance list.
const LIST_INTERVAL: Duration = Duration::from_secs(1);

/// Removes endpoints and entries whose heartbeats stopped; used where all of them connect to this
/// entry.
pub(crate) async fn expire_silent(shared: Arc<EntryShared>) {
    let timeout = shared.settings.control.heartbeat_timeout_ms;
    loop {
        Timer::after(EXPIRE_INTERVAL).await;
        let now = Timestamp::now();
        let oldest = Timestamp(now.0.saturating_sub(timeout));
        let silent = shared.roster().expire(oldest, now);
        for instance in &silent {
            log::warn!(target: "roster", instance:% = instance; "An endpoint is silent.");
        }
        if !silent.is_empty() {
            shared.rebuild_routes();
        }
        shared.peers().expire(oldest, now);
    }
}

/// Follows the platform's list of leaving instances.
pub(crate) async fn follow_list(shared: Arc<EntryShared>, list: Arc<dyn InstanceList>) {
    loop {
        match list.list().await {
            Ok(listed) => apply_list(&shared, listed),
            Err(error) => {
                log::warn!(target: "roster", cause:% = error; "Cannot read the list of instances.");
            }
        }
        Timer::after(LIST_INTERVAL).await;
    }
}

fn apply_list(shared: &EntryShared, listed: Vec<ListedInstance>) {
    let leaving: HashSet<_> = listed
        .into_iter()
        .filter(|listed| listed.state == ListedState::Leaving)
        .map(|listed| listed.instance)
        .collect();
    shared.peers().set_platform_leaving(leaving.clone());
    if shared.roster().set_platform_leaving(leaving) {
        shared.rebuild_routes();
    }
}
