//! Addresses and settings of a deployment's processes.

use std::{
    net::{IpAddr, Ipv4Addr, SocketAddr},
    path::{Path, PathBuf},
    sync::Arc,
};

use anyhow::Context;
use cassiawheel_model::{
    EndpointRole, FailureDomain, InstanceId, OperatorName, RegionName, ServiceName,
    settings::{
        AgentSettings, EngineSettings, EntryListen, EntrySettings, ListenerSettings, LogSettings,
        OperatorRole, OperatorToken, PlaceSettings, PlatformSettings,
    },
};
use rand::Rng;
use smol::Task;

use super::{
    DeploymentPlan, INNER_KEY, MODEL_SERVICE, OPERATOR_TOKEN, PLAIN_SERVICE, TestEndpoint,
    TestEntry, VIEWER_TOKEN, WEB_SERVICE,
};
use crate::{
    ChildProcess, FaultSwitches,
    processes::binary_path,
    stand_in::{
        RunningStandIn,
        engine::EngineState,
        link::{self, LinkFaults},
        plain::PlainLedger,
        table::TableRows,
    },
};

const CALLER_PORT: u16 = 7001;
const ADMIN_PORT: u16 = 7002;
const INNER_PORT: u16 = 7003;
const METRICS_PORT: u16 = 7004;
const ENGINE_PORT: u16 = 7005;
const TABLE_PORT: u16 = 7006;
pub(super) const ORIGIN_PORT: u16 = 7007;
pub(super) const LIST_PORT: u16 = 7008;
const RELAY_PORT: u16 = 7009;

/// Last octets of the addresses of the platform, the first entry and the first agent.
pub(super) const PLATFORM_HOST: u8 = 1;
const FIRST_ENTRY: u8 = 10;
const FIRST_AGENT: u8 = 40;

/// A /24 network of loopback addresses, `127.second.third.0`.
#[derive(Debug, Clone, Copy)]
pub(super) struct LoopbackNet {
    second: u8,
    third: u8,
}

impl LoopbackNet {
    pub(super) fn host(self, last: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, self.second, self.third, last)
    }
}

/// Reserves a network that no other deployment uses, by starting the table service in it.
pub(super) async fn claim_net(
    table: &Arc<TableRows>,
    switches: &Arc<FaultSwitches>,
) -> anyhow::Result<(LoopbackNet, RunningStandIn)> {
    for _ in 0..100 {
        let net = LoopbackNet {
            second: rand::rng().random_range(1..=250),
            third: rand::rng().random_range(1..=250),
        };
        let addr = SocketAddr::new(IpAddr::V4(net.host(PLATFORM_HOST)), TABLE_PORT);
        if let Ok(stand_in) = table.serve(addr, switches.clone()).await {
            return Ok((net, stand_in));
        }
    }
    anyhow::bail!("no free loopback network in 100 attempts")
}

/// Addresses and settings of every process of a deployment.
pub(super) struct DeploymentLayout<'a> {
    pub(super) plan: &'a DeploymentPlan,
    pub(super) net: LoopbackNet,
    pub(super) platform: PlatformSettings,
    pub(super) folder: &'a Path,
}

impl DeploymentLayout<'_> {
    fn addr(&self, host: u8, port: u16) -> SocketAddr {
        SocketAddr::new(IpAddr::V4(self.net.host(host)), port)
    }

    fn place(&self, name: String, index: usize) -> anyhow::Result<PlaceSettings> {
        let domain = index % self.plan.failure_domains.max(1);
        Ok(PlaceSettings {
            instance: InstanceId::new(&name)?,
            region: RegionName::new("region-1")?,
            failure_domain: FailureDomain::new(&format!("domain-{domain}"))?,
        })
    }

    fn log(&self) -> LogSettings {
        LogSettings { level: self.plan.log_level.clone(), ..LogSettings::default() }
    }

    /// Port to which other processes connect: the relay's if links are severable.
    fn dialled_port(&self) -> u16 {
        if self.plan.severable_links { RELAY_PORT } else { INNER_PORT }
    }

    fn entry_inner_addrs(&self) -> impl Iterator<Item = SocketAddr> {
        let port = self.dialled_port();
        (0..self.plan.entries).map(move |index| self.addr(FIRST_ENTRY + index as u8, port))
    }

    pub(super) async fn start_relays(
        &self,
        links: &Arc<LinkFaults>,
    ) -> anyhow::Result<Vec<Task<()>>> {
        let mut relays = Vec::new();
        if !self.plan.severable_links {
            return Ok(relays);
        }
        let entries = (0..self.plan.entries).map(|index| FIRST_ENTRY + index as u8);
        let agents = (0..self.plan.endpoints()).map(|index| FIRST_AGENT + index as u8);
        for host in entries.chain(agents) {
            let (listen, target) = (self.addr(host, RELAY_PORT), self.addr(host, INNER_PORT));
            relays.push(link::relay(listen, target, links.clone()).await?);
        }
        Ok(relays)
    }

    pub(super) fn start_entry(&self, index: usize) -> anyhow::Result<TestEntry> {
        let host = FIRST_ENTRY + index as u8;
        let listen = EntryListen {
            caller: self.addr(host, CALLER_PORT),
            admin: self.addr(host, ADMIN_PORT),
            inner: self.addr(host, INNER_PORT),
            metrics: self.addr(host, METRICS_PORT),
        };
        let token = |name: &str, token: &str, role| -> anyhow::Result<OperatorToken> {
            Ok(OperatorToken { name: OperatorName::new(name)?, token: token.to_owned(), role })
        };
        let settings = EntrySettings {
            place: self.place(format!("entry-{index}"), index)?,
            limits: ListenerSettings::default(),
            peers: self.entry_inner_addrs().filter(|addr| addr.ip() != listen.inner.ip()).collect(),
            platform: self.platform.clone(),
            inner_key: INNER_KEY.to_owned(),
            operators: vec![
                token("operator", OPERATOR_TOKEN, OperatorRole::Operate)?,
                token("viewer", VIEWER_TOKEN, OperatorRole::View)?,
            ],
            caller: self.plan.caller.clone(),
            control: self.plan.control.clone(),
            log: self.log(),
            listen,
        };
        let instance = settings.place.instance.clone();
        let config = self.write_config(instance.as_str(), &settings)?;
        let process = start_process(self.folder, instance.as_str(), "cassiawheel", &config)?;
        Ok(TestEntry {
            instance,
            process: Some(process),
            config,
            caller_addr: settings.listen.caller,
            admin_addr: settings.listen.admin,
            inner_addr: settings.listen.inner,
            metrics_addr: settings.listen.metrics,
        })
    }

    pub(super) async fn start_endpoint(&self, index: usize) -> anyhow::Result<TestEndpoint> {
        let host = FIRST_AGENT + index as u8;
        let engine_addr = self.addr(host, ENGINE_PORT);
        let switches = Arc::new(FaultSwitches::default());
        let is_model = index < self.plan.model_agents;
        let (role, service, engine, ledger, stand_in) = if is_model {
            let engine = Arc::new(EngineState::new(self.plan.checks_fencing));
            let stand_in = engine.serve(engine_addr, switches.clone()).await?;
            (EndpointRole::Model, MODEL_SERVICE, Some(engine), None, stand_in)
        } else {
            let ledger = Arc::new(PlainLedger::new(self.plan.plain_work));
            let stand_in = ledger.serve(engine_addr, switches.clone()).await?;
            let is_app = index < self.plan.model_agents + self.plan.plain_agents;
            let service = if is_app { PLAIN_SERVICE } else { WEB_SERVICE };
            (EndpointRole::Plain, service, None, Some(ledger), stand_in)
        };
        let settings = AgentSettings {
            place: self.place(format!("endpoint-{index}"), index)?,
            listen_inner: self.addr(host, INNER_PORT),
            advertise_inner: self.plan.severable_links.then(|| self.addr(host, RELAY_PORT)),
            listen_metrics: self.addr(host, METRICS_PORT),
            inner_connections: 1_024,
            entries: self.entry_inner_addrs().collect(),
            entry_links: self.plan.entries,
            platform: self.platform.clone(),
            inner_key: INNER_KEY.to_owned(),
            engine: EngineSettings {
                addr: engine_addr,
                role,
                service: ServiceName::new(service)?,
                checks_fencing: self.plan.checks_fencing,
                max_in_flight: self.plan.max_in_flight,
                notice_ms: 0,
            },
            transfer: self.plan.transfer.clone(),
            heartbeat_ms: 200,
            drain_ms: 10_000,
            log: self.log(),
        };
        let instance = settings.place.instance.clone();
        let config = self.write_config(instance.as_str(), &settings)?;
        let agent = start_process(self.folder, instance.as_str(), "cassiawheel-agent", &config)?;
        Ok(TestEndpoint {
            instance,
            engine,
            ledger,
            switches,
            agent: Some(agent),
            config,
            inner_addr: settings.listen_inner,
            metrics_addr: settings.listen_metrics,
            stand_in_addr: engine_addr,
            _stand_in: stand_in,
        })
    }

    fn write_config(
        &self,
        name: &str,
        settings: &impl serde::Serialize,
    ) -> anyhow::Result<PathBuf> {
        let path = self.folder.join(format!("{name}.json"));
        std::fs::write(&path, serde_json::to_vec_pretty(settings)?)
            .with_context(|| format!("{}: cannot be written", path.display()))?;
        Ok(path)
    }
}

/// Starts a binary with the settings file `config`; its log is written to `folder`.
pub(super) fn start_process(
    folder: &Path,
    name: &str,
    binary: &str,
    config: &Path,
) -> anyhow::Result<ChildProcess> {
    let log = folder.join(format!("{name}.log"));
    Ok(ChildProcess::start(name, &binary_path(binary)?, config, &log)?)
}
