//! Keeping the roster: silent endpoints, the platform's list, peers of agents.

use std::{
    collections::{HashMap, HashSet},
    sync::Arc,
    time::Duration,
};

use cassiawheel_decide::rank::{first_ranked, subject_of};
use cassiawheel_edge::{InstanceList, ListedInstance, ListedState};
use cassiawheel_model::{EndpointRole, InstanceId, ServiceName, Timestamp};
use cassiawheel_wire::{ControlMessage, message::EndpointAddress};
use smol::Timer;

use crate::{link::AgentLink, shared::EntryShared};

/// Time between looks for silent endpoints.
const EXPIRE_TIME: Duration = Duration::from_millis(100);

/// Time between reads of the platform's list.
const LIST_TIME: Duration = Duration::from_secs(1);

/// Time between looks for new peers of agents.
const PEERS_TIME: Duration = Duration::from_millis(100);

/// Most peers that an agent is told.
const MAX_PEERS: usize = 256;

/// Drops endpoints and entries whose heartbeats stopped.
pub(crate) async fn expire_silent(shared: Arc<EntryShared>) {
    let timeout = shared.settings.control.heartbeat_timeout_ms;
    loop {
        Timer::after(EXPIRE_TIME).await;
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
            Ok(listed) => take_list(&shared, listed),
            Err(error) => {
                log::warn!(target: "roster", cause:% = error; "The list of instances cannot be read.");
            }
        }
        Timer::after(LIST_TIME).await;
    }
}

fn take_list(shared: &EntryShared, listed: Vec<ListedInstance>) {
    let leaving: HashSet<_> = listed
        .into_iter()
        .filter(|listed| listed.state == ListedState::Leaving)
        .map(|listed| listed.instance)
        .collect();
    shared.peers().list_leaving(leaving.clone());
    if shared.roster().list_leaving(leaving) {
        shared.rebuild_routes();
    }
}

/// What an agent was told last, and over which connection.
struct ToldPeers {
    link: Arc<AgentLink>,
    peers: Vec<EndpointAddress>,
}

/// Tells agents whom they may swap chunks with, whenever that has changed.
///
/// Each agent has the same peers for as long as they live: a new random choice
/// at every look would cost control traffic and make agents dial each other
/// again and again in the middle of a transfer.
pub(crate) async fn introduce_agents(shared: Arc<EntryShared>) {
    let mut told: HashMap<InstanceId, ToldPeers> = HashMap::new();
    let mut known = HashMap::new();
    loop {
        Timer::after(PEERS_TIME).await;
        let links = shared.links.load_full();
        told.retain(|instance, last| {
            links.get(instance).is_some_and(|link| Arc::ptr_eq(link, &last.link))
        });
        let by_service = agents_by_service(&shared);
        let all_told = links.keys().all(|instance| told.contains_key(instance));
        if all_told && by_service == known {
            continue;
        }
        known = by_service;
        for agents in known.values() {
            for agent in agents {
                let Some(link) = links.get(&agent.instance) else {
                    continue;
                };
                let peers = chosen_peers(agent, agents);
                if told.get(&agent.instance).is_some_and(|last| last.peers == peers) {
                    continue;
                }
                if let Ok(true) = link.sender.try_send(ControlMessage::Peers(peers.clone())) {
                    let last = ToldPeers { link: link.clone(), peers };
                    told.insert(agent.instance.clone(), last);
                }
            }
        }
    }
}

fn agents_by_service(shared: &EntryShared) -> HashMap<ServiceName, Vec<EndpointAddress>> {
    let mut by_service: HashMap<ServiceName, Vec<EndpointAddress>> = HashMap::new();
    for member in shared.roster().members() {
        let report = &member.report;
        if report.role == EndpointRole::Model {
            by_service.entry(report.service.clone()).or_default().push(EndpointAddress {
                instance: report.instance.clone(),
                inner_addr: report.inner_addr,
                failure_domain: report.failure_domain.clone(),
                region: report.region.clone(),
            });
        }
    }
    by_service
}

fn chosen_peers(agent: &EndpointAddress, agents: &[EndpointAddress]) -> Vec<EndpointAddress> {
    let others = agents.iter().filter(|other| other.instance != agent.instance);
    let names = others.map(|other| other.instance.as_str());
    let chosen = first_ranked(subject_of(agent.instance.as_str()), names, MAX_PEERS);
    agents.iter().filter(|other| chosen.contains(&other.instance.as_str())).cloned().collect()
}
