//! Telling agents whom they may swap chunks with.

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

/// Time between looks for agents that have to be told.
const LOOK_TIME: Duration = Duration::from_millis(100);

/// Shortest time between two words to an agent that has been told of others.
///
/// An agent that joins dials the others itself; that they know of it is less
/// urgent, and a list of forty is four kilobytes.
const AGAIN_TIME: Duration = Duration::from_millis(1_000);

/// Agents by service, each with what it has to know of the others.
type ServiceAgents = HashMap<ServiceName, Vec<EndpointAddress>>;

/// What an agent was told last, and over which connection.
struct ToldPeers {
    link: Arc<AgentLink>,
    peers: Vec<EndpointAddress>,
}

/// What all agents have been told.
#[derive(Default)]
struct FleetWords {
    told: HashMap<InstanceId, ToldPeers>,
    known: ServiceAgents,
    /// The state of the roster that the last look was made at.
    looked_at: Option<(u64, usize)>,
    /// When agents that have been told may be told again; at once at first.
    again_at: Option<Deadline>,
}

/// Tells agents whom they may swap chunks with, whenever that has changed.
///
/// Each agent has the same peers for as long as they live: a new random choice
/// at every look would cost control traffic and make agents dial each other
/// again and again in the middle of a transfer.
pub(crate) async fn introduce_agents(shared: Arc<EntryShared>) {
    let mut words = FleetWords::default();
    loop {
        Timer::after(LOOK_TIME).await;
        words.renew(&shared, Timestamp::now());
    }
}

impl FleetWords {
    /// Tells new agents at once, and the others if it is time and something changed.
    fn renew(&mut self, shared: &EntryShared, now: Timestamp) {
        let links = shared.links.load_full();
        self.told.retain(|instance, last| {
            links.get(instance).is_some_and(|link| Arc::ptr_eq(link, &last.link))
        });
        let looked_at = Some((shared.roster().changes(), links.len()));
        let all_told = links.keys().all(|instance| self.told.contains_key(instance));
        if looked_at == self.looked_at && all_told {
            return;
        }
        let fleet = agents_by_service(shared);
        let all_are_due = fleet != self.known && self.again_at.is_none_or(|at| at.is_past(now));
        for agents in fleet.values() {
            for agent in agents {
                let is_due = all_are_due || !self.told.contains_key(&agent.instance);
                if let Some(link) = links.get(&agent.instance).filter(|_| is_due) {
                    self.tell(link, agent, chosen_peers(agent, agents));
                }
            }
        }
        if all_are_due {
            self.again_at = Some(now.deadline_after(AGAIN_TIME));
            self.known = fleet;
        }
        if !all_are_due && self.again_at.is_none_or(|at| at.is_past(now)) {
            self.looked_at = looked_at;
        }
    }

    fn tell(
        &mut self,
        link: &Arc<AgentLink>,
        agent: &EndpointAddress,
        peers: Vec<EndpointAddress>,
    ) {
        let last = self.told.get(&agent.instance);
        // An empty list takes back the last word of an entry that tells no more.
        let is_news = last.map_or(!peers.is_empty(), |last| last.peers != peers);
        let message = ControlMessage::Peers(peers.clone());
        if !is_news || matches!(link.sender.try_send(message), Ok(true)) {
            let last = ToldPeers { link: link.clone(), peers };
            self.told.insert(agent.instance.clone(), last);
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
    let places: Vec<_> = agents.iter().map(place_of).collect();
    let chosen: HashSet<_> = chunk_peers(place_of(agent), &places).into_iter().collect();
    agents.iter().filter(|other| chosen.contains(other.instance.as_str())).cloned().collect()
}

fn place_of(agent: &EndpointAddress) -> AgentLocation<'_> {
    AgentLocation { instance: agent.instance.as_str(), region: &agent.region }
}
