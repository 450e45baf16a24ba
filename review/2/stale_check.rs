//! Two entries, nine agents, and stand-ins of the store, of the origin of weights and of the
//! model engines beside the agents.
//!
//! A new version is named. When one agent has read back the last staged piece before it orders its
//! engine to load, its machine (agent and engine) stands still for some seconds, and one piece that
//! the agent has read before turns bad meanwhile. The rule is broken if a token is made with weights
//! that the engine took while a piece had been bad for more than three seconds.

use std::{
    collections::{BTreeMap, HashMap},
    fs,
    io::{BufRead, BufReader, Read, Write},
    net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream},
    path::PathBuf,
    process::{Child, Command, ExitCode, Stdio},
    sync::{
        Arc, Condvar, Mutex,
        atomic::{AtomicBool, Ordering},
        mpsc::{Sender, channel},
    },
    thread,
    time::{Duration, Instant},
};

const HOST: &str = "desk.example";
const KEY: &str = "jnbanfqasnmgkcuyj8pj";
const MODEL: &str = "daka510000";
const AGENTS: usize = 9;
/// Pieces of a version, as on the site.
const PIECES: usize = 48;
const PIECE_BYTES: usize = 49_152;
/// Length of the freeze, from before the signal; the site's days freeze `side` machines for 4 s.
const FREEZE_MS: u64 = 3_900;
/// When a piece turns bad, after the freeze has begun.
const ROT_AFTER_MS: u64 = 300;
/// A piece that has turned bad within this time before a load is excused.
const EXCUSED_MS: u64 = 3_000;

type Shared<T> = Arc<Mutex<T>>;

struct Row {
    value: String,
    version: u64,
}

#[derive(Default)]
struct StoreState {
    rows: BTreeMap<(String, String), Row>,
    /// Every change: position, table, key, value (none if removed).
    log: Vec<(u64, String, String, Option<String>)>,
    position: u64,
}

#[derive(Default)]
struct Store {
    state: Mutex<StoreState>,
    changed: Condvar,
}

fn base64(text: &[u8]) -> String {
    const SET: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for part in text.chunks(3) {
        let bits = u32::from(part[0]) << 16
            | u32::from(*part.get(1).unwrap_or(&0)) << 8
            | u32::from(*part.get(2).unwrap_or(&0));
        for index in 0..4 {
            let symbol = SET[(bits >> (18 - 6 * index) & 63) as usize] as char;
            out.push(if index <= part.len() { symbol } else { '=' });
        }
    }
    out
}

impl Store {
    fn put(&self, table: &str, key: &str, value: String) {
        let mut state = self.state.lock().unwrap();
        state.position += 1;
        let version = state.position;
        state.log.push((version, table.to_owned(), key.to_owned(), Some(value.clone())));
        state.rows.insert((table.to_owned(), key.to_owned()), Row { value, version });
        self.changed.notify_all();
    }

    fn answer(&self, head: &Head, body: &str) -> (u16, String) {
        let path = head.path.split('?').next().unwrap();
        let query = |name: &str| {
            let text = head.path.split_once('?').map_or("", |(_, query)| query);
            let found = text.split('&').find_map(|pair| pair.strip_prefix(&format!("{name}=")));
            found.unwrap_or("").replace("%00", "\0")
        };
        match path {
            "/v1/rows-get" => {
                let state = self.state.lock().unwrap();
                let (table, from) = (query("table"), query("from"));
                let rows = state.rows.iter().filter(|((t, key), _)| *t == table && *key >= from);
                let rows = rows.map(|((_, key), row)| {
                    format!(
                        r#"{{"key":"{key}","value":"{}","row_version":{}}}"#,
                        row.value, row.version
                    )
                });
                let rows: Vec<_> = rows.collect();
                (
                    200,
                    format!(
                        r#"{{"rows":[{}],"has_more":false,"row_version":{},"now_ms":1}}"#,
                        rows.join(","),
                        state.position
                    ),
                )
            }
            "/v1/rows-feed" => {
                let table = query("table");
                let after: u64 = query("after").parse().unwrap_or(0);
                let wait: u64 = query("wait_ms").parse().unwrap_or(0);
                let until = Instant::now() + Duration::from_millis(wait);
                let mut state = self.state.lock().unwrap();
                loop {
                    let mut newest = BTreeMap::new();
                    for (position, t, key, value) in &state.log {
                        if *position > after && *t == table {
                            newest.insert(key.clone(), (*position, value.clone()));
                        }
                    }
                    let left = until.saturating_duration_since(Instant::now());
                    if !newest.is_empty() || left.is_zero() {
                        let rows = newest.into_iter().map(|(key, (version, value))| match value {
                            Some(value) => format!(
                                r#"{{"key":"{key}","value":"{value}","row_version":{version}}}"#
                            ),
                            None => format!(
                                r#"{{"key":"{key}","row_version":{version},"removed":true}}"#
                            ),
                        });
                        let rows: Vec<_> = rows.collect();
                        return (
                            200,
                            format!(
                                r#"{{"rows":[{}],"row_version":{},"now_ms":1}}"#,
                                rows.join(","),
                                state.position
                            ),
                        );
                    }
                    state = self.changed.wait_timeout(state, left).unwrap().0;
                }
            }
            "/v1/rows-tx" => {
                // The entries write only their own rows, each with one upsert.
                let text = |name: &str| {
                    let at = body.find(&format!("\"{name}\":\""))? + name.len() + 4;
                    Some(body[at..].split('"').next()?.to_owned())
                };
                let upserts = body.find("\"upserts\":[{").is_some();
                if let (true, Some(table), Some(key), Some(value)) =
                    (upserts, text("table"), text("key"), text("value"))
                {
                    self.put(&table, &key, value);
                }
                (
                    200,
                    format!(
                        r#"{{"row_version":{},"now_ms":1}}"#,
                        self.state.lock().unwrap().position
                    ),
                )
            }
            _ => (404, "{}".to_owned()),
        }
    }
}

struct Head {
    path: String,
    fields: HashMap<String, String>,
}

/// Reads one message head; none at the end of the connection.
fn read_head(reader: &mut impl BufRead) -> Option<(String, HashMap<String, String>)> {
    let mut first = String::new();
    if reader.read_line(&mut first).ok()? == 0 {
        return None;
    }
    let mut fields = HashMap::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Some((first.trim_end().to_owned(), fields));
        }
        let (name, value) = line.split_once(':')?;
        fields.insert(name.to_ascii_lowercase(), value.trim().to_owned());
    }
}

fn read_request(reader: &mut impl BufRead) -> Option<(Head, Vec<u8>)> {
    let (first, fields) = read_head(reader)?;
    let mut words = first.split(' ');
    let path = words.nth(1)?.to_owned();
    let length = fields.get("content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    Some((Head { path, fields }, body))
}

fn serve(addr: SocketAddr, handle: impl Fn(TcpStream) + Send + Sync + 'static) -> SocketAddr {
    let listener = TcpListener::bind(addr).expect("a free port");
    let addr = listener.local_addr().unwrap();
    let handle = Arc::new(handle);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handle = handle.clone();
            thread::spawn(move || handle(stream));
        }
    });
    addr
}

fn serve_store(store: Arc<Store>) -> SocketAddr {
    serve(SocketAddr::from((Ipv4Addr::LOCALHOST, 0)), move |mut stream| {
        let _ = stream.set_nodelay(true);
        let mut reader = BufReader::new(stream.try_clone().unwrap());
        while let Some((head, body)) = read_request(&mut reader) {
            let (status, text) = store.answer(&head, &String::from_utf8_lossy(&body));
            let answer = format!(
                "HTTP/1.1 {status} X\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n{text}",
                text.len()
            );
            if stream.write_all(answer.as_bytes()).is_err() {
                return;
            }
        }
    })
}

fn sha256(data: &[u8]) -> String {
    let primes: Vec<u64> = (2..320u64).filter(|n| (2..*n).all(|d| n % d != 0)).take(64).collect();
    let root = |n: u64, cube: bool| {
        // The first 32 bits of the fractional part of the root of `n`, by bisection.
        let (mut low, mut high) = (0u128, 1u128 << 40);
        while high - low > 1 {
            let middle = (low + high) / 2;
            let power = if cube { middle * middle * middle } else { middle * middle };
            let shift = if cube { 96 } else { 64 };
            if power <= u128::from(n) << shift { low = middle } else { high = middle }
        }
        low as u32
    };
    let k: Vec<u32> = primes.iter().map(|n| root(*n, true)).collect();
    let mut h: Vec<u32> = primes[..8].iter().map(|n| root(*n, false)).collect();
    let mut text = data.to_vec();
    text.push(0x80);
    while text.len() % 64 != 56 {
        text.push(0);
    }
    text.extend((data.len() as u64 * 8).to_be_bytes());
    for block in text.chunks(64) {
        let mut w: Vec<u32> =
            block.chunks(4).map(|part| u32::from_be_bytes(part.try_into().unwrap())).collect();
        for i in 16..64 {
            let s0 = w[i - 15].rotate_right(7) ^ w[i - 15].rotate_right(18) ^ (w[i - 15] >> 3);
            let s1 = w[i - 2].rotate_right(17) ^ w[i - 2].rotate_right(19) ^ (w[i - 2] >> 10);
            w.push(w[i - 16].wrapping_add(s0).wrapping_add(w[i - 7]).wrapping_add(s1));
        }
        let mut v = h.clone();
        for i in 0..64 {
            let s1 = v[4].rotate_right(6) ^ v[4].rotate_right(11) ^ v[4].rotate_right(25);
            let choice = (v[4] & v[5]) ^ (!v[4] & v[6]);
            let t1 =
                v[7].wrapping_add(s1).wrapping_add(choice).wrapping_add(k[i]).wrapping_add(w[i]);
            let s0 = v[0].rotate_right(2) ^ v[0].rotate_right(13) ^ v[0].rotate_right(22);
            let t2 = s0.wrapping_add((v[0] & v[1]) ^ (v[0] & v[2]) ^ (v[1] & v[2]));
            v = vec![
                t1.wrapping_add(t2),
                v[0],
                v[1],
                v[2],
                v[3].wrapping_add(t1),
                v[4],
                v[5],
                v[6],
            ];
        }
        h.iter_mut().zip(&v).for_each(|(sum, part)| *sum = sum.wrapping_add(*part));
    }
    h.iter().map(|word| format!("{word:08x}")).collect()
}

/// Bytes of a piece; each version has others.
fn piece(version: u64, index: usize) -> Vec<u8> {
    let mut seed = version * 1_000_003 + index as u64 * 7_919 + 1;
    (0..PIECE_BYTES)
        .map(|_| {
            seed = seed
                .wrapping_mul(6_364_136_223_846_793_005)
                .wrapping_add(1_442_695_040_888_963_407);
            (seed >> 33) as u8
        })
        .collect()
}

fn respond(stream: &mut TcpStream, status: u16, fields: &str, body: &[u8]) -> bool {
    let head = format!("HTTP/1.1 {status} X\r\n{fields}content-length: {}\r\n\r\n", body.len());
    stream.write_all(head.as_bytes()).is_ok() && stream.write_all(body).is_ok()
}

fn query(path: &str, name: &str) -> Option<u64> {
    let (_, text) = path.split_once('?')?;
    text.split('&').find_map(|pair| pair.strip_prefix(&format!("{name}=")))?.parse().ok()
}

fn serve_origin() -> SocketAddr {
    serve(SocketAddr::from((Ipv4Addr::LOCALHOST, 0)), move |mut stream| {
        let mut reader = BufReader::new(stream.try_clone().unwrap());
        while let Some((head, _)) = read_request(&mut reader) {
            let version = query(&head.path, "version").unwrap_or(2);
            let is_open = if head.path.starts_with("/v1/manifest/") {
                let digests: Vec<_> =
                    (0..PIECES).map(|n| format!("\"{}\"", sha256(&piece(version, n)))).collect();
                let text = format!(
                    r#"{{"model":"{MODEL}","version":{version},"chunk_bytes":{PIECE_BYTES},"layers":16,"digests":[{}]}}"#,
                    digests.join(",")
                );
                respond(&mut stream, 200, "content-type: application/json\r\n", text.as_bytes())
            } else {
                let index = query(&head.path, "sample_count").unwrap_or(0) as usize;
                // The origin's link has 15 Mbit/s on the site.
                thread::sleep(Duration::from_millis(10));
                respond(&mut stream, 200, "", &piece(version, index))
            };
            if !is_open || head.fields.get("connection").is_some_and(|text| text == "close") {
                return;
            }
        }
    })
}

/// A model engine beside an agent.
#[derive(Default)]
struct Engine {
    state: Mutex<EngineState>,
    /// Whether its machine stands still.
    frozen: AtomicBool,
}

#[derive(Default)]
struct EngineState {
    /// Staged pieces, one copy whatever their version.
    staged: BTreeMap<usize, Vec<u8>>,
    /// When a piece turned bad.
    bad_since: BTreeMap<usize, Instant>,
    version: u64,
    sequence: u64,
    loading_until: Option<(Instant, u64)>,
    /// Pieces that were bad for longer than is excused when the loaded weights were taken.
    taken_bad: Vec<(usize, u128)>,
    tokens: u64,
}

/// What the engines tell the scenario.
enum Seen {
    /// The last piece is read back, and all staged pieces are those of version 2.
    LastPieceRead(usize),
    /// An order was accepted; the pieces that were bad then, with the time since they turned bad.
    Taken(usize, Vec<(usize, u128)>),
}

impl Engine {
    fn settle(state: &mut EngineState) {
        if let Some((until, version)) = state.loading_until
            && Instant::now() >= until
        {
            state.version = version;
            state.loading_until = None;
        }
    }

    fn handle(
        &self,
        number: usize,
        head: &Head,
        body: Vec<u8>,
        seen: &Sender<Seen>,
    ) -> (u16, String, Vec<u8>) {
        let json = "content-type: application/json\r\n".to_owned();
        let mut state = self.state.lock().unwrap();
        Self::settle(&mut state);
        let path = head.path.split('?').next().unwrap();
        if path == "/v1/report" {
            let text = format!(
                r#"{{"stage":"unified","models":[{{"name":"{MODEL}","version":{},"adapters":[]}}],"busy":{},"sequence":{},"queued":0,"active":0,"kv_used":0,"kv_total":1640000,"handles":0}}"#,
                state.version,
                state.loading_until.is_some(),
                state.sequence
            );
            return (200, json, text.into_bytes());
        }
        if path.starts_with("/v1/stage-put/") {
            let index = query(&head.path, "sample_count").unwrap_or(0) as usize;
            state.staged.insert(index, body);
            state.bad_since.remove(&index);
            return (200, String::new(), Vec::new());
        }
        if path.starts_with("/v1/stage-get/") {
            let Some(index) = query(&head.path, "sample_count") else {
                let held: Vec<_> = state.staged.keys().map(ToString::to_string).collect();
                return (200, json, format!(r#"{{"held":[{}]}}"#, held.join(",")).into_bytes());
            };
            let index = index as usize;
            let Some(bytes) = state.staged.get(&index).cloned() else {
                return (404, String::new(), Vec::new());
            };
            let is_whole = state.staged.len() == PIECES && state.version == 1;
            if index == PIECES - 1
                && is_whole
                && (0..PIECES).all(|n| state.staged[&n] == piece(2, n))
            {
                drop(state);
                let _ = seen.send(Seen::LastPieceRead(number));
                // Reading a piece takes some milliseconds.
                thread::sleep(Duration::from_millis(15));
            }
            return (200, String::new(), bytes);
        }
        if path == "/v1/order" {
            let text = String::from_utf8_lossy(&body).into_owned();
            let version: u64 = text
                .split("\"version\":")
                .nth(1)
                .and_then(|rest| rest.split(|c: char| !c.is_ascii_digit()).next()?.parse().ok())
                .unwrap_or(0);
            if state.loading_until.is_some() {
                return (409, String::new(), Vec::new());
            }
            if state.version == version {
                return (200, String::new(), Vec::new());
            }
            let now = Instant::now();
            let bad: Vec<_> = state
                .bad_since
                .iter()
                .map(|(index, at)| (*index, now.duration_since(*at).as_millis()))
                .collect();
            state.taken_bad =
                bad.iter().copied().filter(|(_, age)| *age > u128::from(EXCUSED_MS)).collect();
            state.sequence += 1;
            state.loading_until = Some((now + Duration::from_millis(300), version));
            let _ = seen.send(Seen::Taken(number, bad));
            return (202, String::new(), Vec::new());
        }
        let request = head.fields.get("x-cassiawheel-attempt-id").cloned().unwrap_or_default();
        let id = format!("i-{number}");
        let base =
            format!("x-cassiawheel-replica-id: {id}\r\nx-cassiawheel-attempt-id: {request}\r\n");
        let version = state.version.to_string();
        let is_other = head
            .fields
            .get("x-cassiawheel-expect-replica")
            .is_some_and(|name| *name != id)
            || head.fields.get("x-cassiawheel-expect-version").is_some_and(|name| *name != version);
        if is_other {
            return (421, base, Vec::new());
        }
        if state.loading_until.is_some() {
            return (503, format!("{base}x-cassiawheel-not-executed: 1\r\n"), Vec::new());
        }
        if head.path != "/health" {
            state.tokens += 1;
        }
        let fields = format!(
            "{base}x-cassiawheel-replica-stamp: {id}.{request}\r\nx-cassiawheel-weight-versions: {version}\r\n"
        );
        (200, fields, format!("answer to {request}").into_bytes())
    }
}

fn serve_engine(engine: Arc<Engine>, number: usize, addr: SocketAddr, seen: Sender<Seen>) {
    let seen = Mutex::new(seen);
    serve(addr, move |mut stream| {
        let _ = stream.set_nodelay(true);
        let mut reader = BufReader::new(stream.try_clone().unwrap());
        let seen = seen.lock().unwrap().clone();
        while let Some((head, body)) = read_request(&mut reader) {
            while engine.frozen.load(Ordering::SeqCst) {
                thread::sleep(Duration::from_millis(1));
            }
            let (status, fields, body) = engine.handle(number, &head, body, &seen);
            if !respond(&mut stream, status, &fields, &body) {
                return;
            }
        }
    });
}

struct Processes {
    dir: PathBuf,
    children: Vec<(String, Child)>,
}

impl Processes {
    fn start(&mut self, name: &str, program: &str, settings: &str) -> u32 {
        let path = self.dir.join(format!("{name}.toml"));
        fs::write(&path, settings).unwrap();
        let log = fs::File::create(self.dir.join(format!("{name}.log"))).unwrap();
        let child = Command::new(program)
            .arg("serve")
            .env_clear()
            .env("CASSIAWHEEL_BOOT", &path)
            .stdin(Stdio::null())
            .stdout(log.try_clone().unwrap())
            .stderr(log)
            .spawn()
            .expect("the programs are built");
        let pid = child.id();
        let pids = fs::OpenOptions::new().create(true).append(true).open(self.dir.join("pids"));
        writeln!(pids.unwrap(), "{pid}").unwrap();
        self.children.push((name.to_owned(), child));
        pid
    }

    fn end(&mut self) {
        for (_, child) in &mut self.children {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

fn signal(name: &str, pid: u32) {
    let _ = Command::new("/bin/sh").args(["-c", &format!("kill -{name} {pid}")]).status();
}

const COMMON: &str = "bootstrap = true\nheartbeat_ms = 1200\n[zones]\nhall = \"north\"\n";

fn settings(name: &str, class: &str, ip: Ipv4Addr, store: SocketAddr, seeds: &str) -> String {
    let (serves, own, limits) = match class {
        "edge" => (
            "\"edge\", \"directory\", \"control\"",
            String::new(),
            "cpu_share = 0.25\ncpu_cores = 1\nmemory_mb = 260\nmax_fds = 4100\nlink_mbps = 1000.0\n",
        ),
        _ => (
            "\"side\"",
            format!("app = \"{ip}:8001\"\nservice = \"guide\"\n"),
            "cpu_share = 0.3\ncpu_cores = 1\nmemory_mb = 128\nmax_fds = 2048\nlink_mbps = 9.4\n",
        ),
    };
    let listen = match class {
        "edge" => format!(
            "front = \"{ip}:8005\"\nready = \"{ip}:8002\"\ncontrol = \"{ip}:8000\"\ndirectory = \"{ip}:8009\"\n"
        ),
        _ => String::new(),
    };
    format!(
        "node_name = \"{name}\"\nrole = \"{class}\"\nmachine_class = \"{class}\"\nserves = [{serves}]\nip = \"{ip}\"\n\
         zone = \"hall\"\nregion = \"north\"\ninternal_port_range = [7700, 7715]\nseeds = [{seeds}]\n{own}{COMMON}\
         [listen]\n{listen}[limits]\n{limits}[bounds]\ngrace_s = 8\nversion_ms = 8000\nretry_budget_ratio = 0.2\n\
         retry_slack = 106\nbudget_window_s = 10\ndrain_ms = 2000\nconfig_apply_ms = 2000\n\
         [platform]\naddress = \"{store}\"\nform = \"table\"\n"
    )
}

fn config(origin: SocketAddr) -> String {
    format!(
        r#"{{"version":3,"routes":[{{"name":"r","host":"{HOST}","prefix":"/guide/","kind":"safe","timeout_ms":6000,"target_latency_ms":400,"priority":1,"service":"guide","max_attempts":2,"public":false}}],"services":[{{"name":"guide","health_path":"/health","max_connections":274,"protocol":"h1","tls":false,"engine":{{"slots":16,"kv_capacity":1640000,"kv_token_bytes":163840,"stride":6,"models":[{{"name":"{MODEL}","pace":1.0,"load_time_s":4.0,"warm_s":0.3}}],"size_mib":282000.0,"step_ms":6.73,"per_seq_ms":0.0219,"context_per_k":0.0068,"read_per_s":30600.0,"pairs_per_m":0.647,"chunk":2048,"report_lag_ms":200.0,"usual":{{"prompt":964,"answer":119}},"layers":16,"chunks":{PIECES},"chunk_bytes":{PIECE_BYTES}}}}},{{"name":"weights","origin":"{origin}","zone":"hall","link_mbps":15.0,"max_connections":48}}],"limits":{{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}},"tenants":[{{"name":"bozi300","api_keys":["{KEY}"]}}]}}"#
    )
}

/// Sends a request and returns the status and the replica that answered.
fn call(front: SocketAddr, id: &str) -> Option<(u16, String)> {
    let mut stream = TcpStream::connect_timeout(&front, Duration::from_secs(1)).ok()?;
    let _ = stream.set_read_timeout(Some(Duration::from_secs(6)));
    let text = format!(
        "GET /guide/x HTTP/1.1\r\nhost: {HOST}\r\nx-cassiawheel-attempt-id: {id}\r\nx-cassiawheel-deadline-ms: 6000\r\n\
         x-cassiawheel-key: {KEY}\r\nx-cassiawheel-model: {MODEL}\r\nx-cassiawheel-token-count: 40,10\r\nconnection: close\r\n\r\n"
    );
    stream.write_all(text.as_bytes()).ok()?;
    let mut reader = BufReader::new(stream);
    let (first, fields) = read_head(&mut reader)?;
    let status = first.split(' ').nth(1)?.parse().ok()?;
    Some((status, fields.get("x-cassiawheel-replica-id").cloned().unwrap_or_default()))
}

fn is_ready(ready: SocketAddr) -> bool {
    let Ok(mut stream) = TcpStream::connect_timeout(&ready, Duration::from_millis(300)) else {
        return false;
    };
    let _ = stream.set_read_timeout(Some(Duration::from_millis(500)));
    let _ = stream.write_all(b"GET /v1/ready HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n");
    let mut text = String::new();
    let _ = stream.read_to_string(&mut text);
    text.starts_with("HTTP/1.1 200")
}

fn main() -> ExitCode {
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let dir = PathBuf::from(std::env::args().nth(1).expect("a temporary folder"));
    let record = std::env::args().nth(2).expect("the path of the record");
    let network = (std::process::id() % 200 + 20) as u8;
    let ip = |group: u8, n: usize| Ipv4Addr::new(127, network, group, 10 + n as u8);
    let began = Instant::now();
    let lines: Shared<Vec<String>> = Arc::default();
    let note = {
        let lines = lines.clone();
        move |text: String| {
            lines.lock().unwrap().push(format!("{:7.3} s  {text}", began.elapsed().as_secs_f64()))
        }
    };
    let store = Arc::new(Store::default());
    store.put("op", "config", base64(config(serve_origin()).as_bytes()));
    let (sender, seen) = channel();
    let engines: Vec<Arc<Engine>> = (0..AGENTS).map(|_| Arc::default()).collect();
    let row = |number: usize, version: u64| {
        format!(
            r#"{{"service":"guide","address":"{}:8001","zone":"hall","version":"v1","slots":16,"state":"ready","cold_remaining_ms":0,"stage":"unified","models":[{{"name":"{MODEL}","version":{version},"adapters":[]}}],"sequence":1}}"#,
            ip(8, number)
        )
    };
    for (number, engine) in engines.iter().enumerate() {
        let mut state = engine.state.lock().unwrap();
        state.version = 1;
        state.staged = (0..PIECES).map(|n| (n, piece(1, n))).collect();
        drop(state);
        serve_engine(
            engine.clone(),
            number,
            SocketAddr::from((ip(8, number), 8001)),
            sender.clone(),
        );
        store.put("servers", &format!("i-{number}"), base64(row(number, 1).as_bytes()));
    }
    let store_addr = serve_store(store.clone());
    let mut processes = Processes { dir, children: Vec::new() };
    let seeds = format!("\"{}:8000\"", ip(7, 0));
    for n in 0..2 {
        let text = settings(&format!("edge-{n}"), "edge", ip(7, n), store_addr, &seeds);
        processes.start(&format!("edge-{n}"), "target/release/cassiawheel", &text);
    }
    let mut pids = Vec::new();
    for n in 0..AGENTS {
        let text = settings(&format!("side-{n}"), "side", ip(8, n), store_addr, &seeds);
        pids.push(processes.start(&format!("side-{n}"), "target/release/cassiawheel-agent", &text));
    }
    while !(0..2).all(|n| is_ready(SocketAddr::from((ip(7, n), 8002)))) {
        if began.elapsed() > Duration::from_secs(20) {
            processes.end();
            eprintln!("the entries do not become ready");
            return ExitCode::from(2);
        }
        thread::sleep(Duration::from_millis(50));
    }
    thread::sleep(Duration::from_secs(5));
    note("version 2 is named".to_owned());
    let text = format!(r#"{{"model":"{MODEL}","version":2}}"#);
    store.put("op", &format!("version/{MODEL}"), base64(text.as_bytes()));

    let mut reads = [0; AGENTS];
    let mut frozen: Option<(usize, Instant, bool)> = None;
    let until = Instant::now() + Duration::from_secs(25);
    while Instant::now() < until {
        match seen.recv_timeout(Duration::from_millis(5)) {
            Ok(Seen::LastPieceRead(number)) => {
                note(format!("side-{number} reads back the last staged piece"));
                reads[number] += 1;
                // The first time, the agent finds that all pieces are staged; the second time, it
                // checks them before its order to load.
                if trouble && frozen.is_none() && reads[number] == 2 {
                    let begun = Instant::now();
                    signal("STOP", pids[number]);
                    // The engine's answer is on its way already; then it stands still as well.
                    thread::sleep(Duration::from_millis(30));
                    engines[number].frozen.store(true, Ordering::SeqCst);
                    frozen = Some((number, begun, false));
                    note(format!("side-{number} stands still"));
                }
            }
            Ok(Seen::Taken(number, bad)) => {
                note(format!(
                    "engine i-{number} accepts the order and takes what is staged; pieces that are bad, and for how many ms: {bad:?}"
                ));
                store.put("servers", &format!("i-{number}"), base64(row(number, 2).as_bytes()));
            }
            Err(_) => {}
        }
        if let Some((number, at, is_bad)) = &mut frozen {
            let age = at.elapsed().as_millis() as u64;
            if !*is_bad && age >= ROT_AFTER_MS {
                let mut state = engines[*number].state.lock().unwrap();
                state.staged.get_mut(&0).unwrap()[7] ^= 0x20;
                state.bad_since.insert(0, Instant::now());
                *is_bad = true;
                note(format!("piece 0 turns bad at i-{number}"));
            }
            if age >= FREEZE_MS && engines[*number].frozen.swap(false, Ordering::SeqCst) {
                signal("CONT", pids[*number]);
                note(format!("side-{number} goes on"));
            }
        }
        if engines.iter().all(|engine| {
            let mut state = engine.state.lock().unwrap();
            Engine::settle(&mut state);
            state.version == 2
        }) {
            break;
        }
    }
    thread::sleep(Duration::from_secs(1));
    let tokens_before: Vec<_> = engines.iter().map(|e| e.state.lock().unwrap().tokens).collect();
    let mut good = 0;
    for n in 0..200 {
        let front = SocketAddr::from((ip(7, n % 2), 8005));
        match call(front, &format!("c{n:04}")) {
            Some((200, _)) => good += 1,
            Some((status, _)) => note(format!("c{n:04}: {status}")),
            None => note(format!("c{n:04}: no answer")),
        }
        thread::sleep(Duration::from_millis(5));
    }
    processes.end();
    let mut broken = 0;
    let mut served = 0;
    for (number, engine) in engines.iter().enumerate() {
        let state = engine.state.lock().unwrap();
        let tokens = state.tokens - tokens_before[number];
        served += u32::from(state.version == 2);
        note(format!(
            "i-{number}: version {}, answered {tokens} requests, taken although bad for over {EXCUSED_MS} ms: {:?}",
            state.version, state.taken_bad
        ));
        if !state.taken_bad.is_empty() {
            broken += tokens;
        }
    }
    note(format!(
        "{good} of 200 requests answered 200, {served} of {AGENTS} engines have version 2; answers made with a spoilt piece: {broken}"
    ));
    let text = lines.lock().unwrap().join("\n");
    fs::write(record, format!("{text}\n")).unwrap();
    println!("{}", text.lines().last().unwrap_or_default());
    if good < 100 || served == 0 || (trouble && frozen.is_none()) {
        return ExitCode::from(2);
    }
    ExitCode::from(u8::from(broken > 0))
}
