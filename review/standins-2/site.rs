//! Processes of the project with settings as the platform writes them, and the record of a case.

use std::{
    fs::{self, File},
    io::{self, Write},
    net::{Ipv4Addr, SocketAddr},
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::Mutex,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use crate::http::{ask, wait_until};

/// A started process; killed when dropped.
pub struct Process(pub Child);

impl Drop for Process {
    fn drop(&mut self) {
        let _ = (self.0.kill(), self.0.wait());
    }
}

/// A random number from the clock and the process id.
pub fn random(below: u32) -> u32 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let seed = now.subsec_nanos() ^ std::process::id().wrapping_mul(2_654_435_761);
    (seed >> 4) % below
}

/// A loopback network of three octets on which the project's fixed ports are free.
pub fn free_network() -> io::Result<[u8; 3]> {
    for attempt in 0..200_u32 {
        let network = [127, 10 + (random(200) + attempt) as u8 % 200, random(250) as u8];
        let [a, b, c] = network;
        let ip = Ipv4Addr::new(a, b, c, 10);
        if std::net::TcpListener::bind((ip, 9_464)).is_ok() {
            return Ok(network);
        }
    }
    Err(io::Error::other("no free network"))
}

/// Folder for settings and logs, removed at the end.
pub struct Folder(pub PathBuf);

impl Folder {
    pub fn create() -> io::Result<Self> {
        let path = std::env::temp_dir().join(format!("review-2-{}", std::process::id()));
        fs::create_dir_all(&path)?;
        Ok(Self(path))
    }

    /// Starts a program of the deploy file with these settings.
    pub fn start(&self, name: &str, program: &str, settings: &str) -> io::Result<Process> {
        let path = self.0.join(format!("{name}.toml"));
        fs::write(&path, settings)?;
        let log = File::create(self.0.join(format!("{name}.log")))?;
        let mut command = Command::new(program);
        command.arg("serve").env("CASSIAWHEEL_BOOT", &path).stdin(Stdio::null());
        command.stderr(log.try_clone()?).stdout(log);
        Ok(Process(command.spawn()?))
    }

    pub fn log(&self, name: &str) -> String {
        fs::read_to_string(self.0.join(format!("{name}.log"))).unwrap_or_default()
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        if std::env::var_os("KEEP").is_none() {
            let _ = fs::remove_dir_all(&self.0);
        }
    }
}

/// Bounds and limits of the users' site files, which every process gets.
const BOUNDS: &str = "in_failure_budget = false\ndiscovery = \"platform\"\nentry = \"directory\"\n\
heartbeat_ms = 1200\n\
contracts = [\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\",\"engine\",\"stream\",\"tenants\",\"platform\",\"chunks\"]\n\
[zones]\nhall = \"north\"\n\
[fault_tolerance]\nmachines = 1\nzones = 0\nregions = 0\n\
[bounds]\nseed_lag_s = 3\nreuse_after_s = 2\nstable_window_ms = 3000\nack_timeout_ms = 4000\n\
catch_up_s = 4\ndrain_ms = 2000\ngrace_s = 8\nloss_slack_ms = 200\nconfig_apply_ms = 2000\n\
downgrade_slack_ms = 250\nmax_stretch_ms = 5000\nstrict_revoke = false\nrevoke_ms = 5000\n\
retry_budget_ratio = 0.2\nbudget_window_s = 10\nretry_slack = 106\nrecovery_s = 12\n\
event_latency_ms = 120\nretry_after_s = 0\nversion_ms = 8000\nversion_all_ms = 0\nttl_max_s = 5\n";

fn platform(store: SocketAddr) -> String {
    format!(
        "[platform]\naddress = \"{store}\"\nform = \"table\"\nwrites_per_s = 400\n\
         reads_per_s = 2000\ntxn_ms = 8.0\npart_writes_per_s = 150\nrow_bytes = 65536\n\
         cross_shard = false\nhistory_s = 20\nblob_bytes = 8388608\nblob_ms = 25.0\n\
         blob_mb_per_s = 80.0\n"
    )
}

/// Settings of an entry at `ip`.
pub fn entry_settings(name: &str, ip: Ipv4Addr, seeds: &[SocketAddr], store: SocketAddr) -> String {
    let seeds: Vec<_> = seeds.iter().map(ToString::to_string).collect();
    format!(
        "node_name = \"{name}\"\nrole = \"entry\"\nmachine_class = \"edge\"\n\
         serves = [\"edge\",\"control\",\"directory\"]\nip = \"{ip}\"\nzone = \"hall\"\n\
         region = \"north\"\ninternal_port_range = [7700,7715]\nseeds = {seeds:?}\n\
         bootstrap = true\n{BOUNDS}\
         [listen]\nfront = \"{ip}:8005\"\nready = \"{ip}:8002\"\ncontrol = \"{ip}:8000\"\n\
         directory = \"{ip}:8009\"\n\
         [limits]\ncpu_share = 1.0\ncpu_cores = 1\nmemory_mb = 260\nmax_fds = 4100\n\
         link_mbps = 1000.0\ndisk_mb = 0\n{}",
        platform(store)
    )
}

/// Settings of an agent at `ip`, beside the engine at `app`.
pub fn agent_settings(
    name: &str,
    ip: Ipv4Addr,
    app: SocketAddr,
    seeds: &[SocketAddr],
    store: SocketAddr,
) -> String {
    let seeds: Vec<_> = seeds.iter().map(ToString::to_string).collect();
    format!(
        "node_name = \"{name}\"\nrole = \"agent\"\nmachine_class = \"side\"\nserves = [\"side\"]\n\
         ip = \"{ip}\"\nzone = \"hall\"\nregion = \"north\"\ninternal_port_range = [7700,7715]\n\
         seeds = {seeds:?}\nbootstrap = true\napp = \"{app}\"\nservice = \"guide\"\n{BOUNDS}\
         [listen]\n\
         [limits]\ncpu_share = 1.0\ncpu_cores = 1\nmemory_mb = 128\nmax_fds = 2048\n\
         link_mbps = 9.4\ndisk_mb = 0\n{}",
        platform(store)
    )
}

/// Waits until the entry at `ip` says that it is ready.
pub fn wait_ready(ip: Ipv4Addr) -> bool {
    let text = format!("GET /v1/ready HTTP/1.1\r\nHost: {ip}\r\nConnection: close\r\n\r\n");
    let addr = SocketAddr::from((ip, 8_002));
    wait_until(Duration::from_secs(15), || {
        let answer = ask(addr, text.as_bytes(), Duration::from_secs(1));
        answer.is_ok_and(|answer| answer.status == 200)
    })
}

/// The record of a case: lines with the time since its start.
pub struct Record {
    pub start: Instant,
    lines: Mutex<Vec<(f64, String)>>,
}

impl Record {
    pub fn begin() -> Self {
        Self { start: Instant::now(), lines: Mutex::default() }
    }

    pub fn now(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }

    /// Adds a line and returns its time.
    pub fn add(&self, line: impl Into<String>) -> f64 {
        let now = self.now();
        self.lines.lock().unwrap().push((now, line.into()));
        now
    }

    /// Writes the lines in the order of their times to `path`.
    pub fn write(&self, path: &str) -> io::Result<()> {
        let mut lines = self.lines.lock().unwrap().clone();
        lines.sort_by(|one, other| one.0.total_cmp(&other.0));
        let mut file = File::create(path)?;
        for (at, line) in lines {
            writeln!(file, "{at:8.3} {line}")?;
        }
        Ok(())
    }
}

/// Ends the process with 2: the case could not run.
pub fn cannot_run(cause: impl std::fmt::Display) -> ! {
    eprintln!("the case could not run: {cause}");
    std::process::exit(2);
}
