//! Sending each agent the list of agents that it exchanges chunks with.

use std::{
    collections::{HashMap, HashSet},
    sync::Arc,
    time::Duration,
};

use cassiawheel_decide::{AgentLocation, chunk_peers};
use cassiawheel_model::{Deadline, EndpointRole, InstanceId, ServiceName, Timestamp};
use cassiawheel_wire::{ControlMessage, message::EndpointAddress};
use smol::Timer;

use crate::{link::AgentLink, shared::EntryShared};

/// Interval between checks for agents that need a new list.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Shortest time between two lists to an agent that already has one.
///
/// An agent that joins dials its peers itself, so updating the peers is less urgent, and a list of
/// forty agents has four kilobytes.
const RESEND_INTERVAL: Duration = Duration::from_millis(1_000);

/// Agents by service, with the addresses that their peers need.
type ServiceAgents = HashMap<ServiceName, Vec<EndpointAddress>>;

/// The list last sent to an agent, and the connection that it was sent over.
struct SentPeers {
    link: Arc<AgentLink>,
    peers: Vec<EndpointAddress>,
}

/// State of the lists sent to all agents.
#[derive(Default)]
struct ChunkPeerSender {
    sent: HashMap<InstanceId, SentPeers>,
    known: ServiceAgents,
    /// Change counter of the roster and number of links at the last complete check.
    checked_at: Option<(u64, usize)>,
    /// When agents that already have a list may get a new one; none before the first time.
    resend_at: Option<Deadline>,
}

/// Sends agents their chunk peers whenever these have changed.
///
/// An agent keeps the same peers while the roster lists them. A new random choice at each check
/// would cost control traffic and make agents reconnect in the middle of a transfer.
pub(crate) async fn send_chunk_peers(shared: Arc<EntryShared>) {
    let mut peer_sender = ChunkPeerSender::default();
    loop {
        Timer::after(CHECK_INTERVAL).await;
        peer_sender.update(&shared, Timestamp::now());
    }
}

impl ChunkPeerSender {
    /// Sends lists to new agents at once, and to the others if the interval has passed.
    fn update(&mut self, shared: &EntryShared, now: Timestamp) {
        let links = shared.links.load_full();
        self.sent.retain(|instance, last| {
            links.get(instance).is_some_and(|link| Arc::ptr_eq(link, &last.link))
        });
        let checked_at = Some((shared.roster().changes(), links.len()));
        let all_sent = links.keys().all(|instance| self.sent.contains_key(instance));
        if checked_at == self.checked_at && all_sent {
            return;
        }
        let by_service = agents_by_service(shared);
        let all_are_due =
            by_service != self.known && self.resend_at.is_none_or(|at| at.is_past(now));
        for agents in by_service.values() {
            for agent in agents {
                let is_due = all_are_due || !self.sent.contains_key(&agent.instance);
                if let Some(link) = links.get(&agent.instance).filter(|_| is_due) {
                    self.send(link, agent, chosen_peers(agent, agents));
                }
            }
        }
        if all_are_due {
            self.resend_at = Some(now.deadline_after(RESEND_INTERVAL));
            self.known = by_service;
        }
        if !all_are_due && self.resend_at.is_none_or(|at| at.is_past(now)) {
            self.checked_at = checked_at;
        }
    }

    fn send(
        &mut self,
        link: &Arc<AgentLink>,
        agent: &EndpointAddress,
        peers: Vec<EndpointAddress>,
    ) {
        let last = self.sent.get(&agent.instance);
        // An empty list replaces one that was sent earlier.
        let is_changed = last.map_or(!peers.is_empty(), |last| last.peers != peers);
        let message = ControlMessage::Peers(peers.clone());
        if !is_changed || matches!(link.sender.try_send(message), Ok(true)) {
            let last = SentPeers { link: link.clone(), peers };
            self.sent.insert(agent.instance.clone(), last);
        }
    }
}

fn agents_by_service(shared: &EntryShared) -> ServiceAgents {
    let mut by_service = ServiceAgents::new();
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
    let places: Vec<_> = agents.iter().map(agent_location).collect();
    let chosen: HashSet<_> = chunk_peers(agent_location(agent), &places).into_iter().collect();
    agents.iter().filter(|other| chosen.contains(other.instance.as_str())).cloned().collect()
}

fn agent_location(agent: &EndpointAddress) -> AgentLocation<'_> {
    AgentLocation { instance: agent.instance.as_str(), region: &agent.region }
}
