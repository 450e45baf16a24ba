//! Model engine and origin of weights, as PROTOCOL.md says.

use std::{
    collections::BTreeMap,
    io::{self, Write},
    net::{SocketAddr, TcpStream},
    sync::{
        Arc, Condvar, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};

use crate::{
    http::{Reply, Request, Response, serve},
    site::Record,
};

pub const MODEL: &str = "guide7";
pub const CHUNKS: usize = 48;
pub const CHUNK_BYTES: usize = 49_152;

/// Bytes of a piece of a version.
pub fn piece(version: u64, index: usize) -> Vec<u8> {
    (0..CHUNK_BYTES).map(|at| (version as usize * 31 + index * 7 + at) as u8).collect()
}

/// Time that a piece takes on the origin's link of 15 Mbit/s.
const PIECE_TIME: Duration = Duration::from_millis(26);

/// Serves the pieces of all versions; while `is_dark`, no call is answered.
pub fn serve_origin(addr: SocketAddr, is_dark: Arc<AtomicBool>) -> io::Result<SocketAddr> {
    let link = Mutex::new(());
    serve(addr, move |request, _| {
        if is_dark.load(Ordering::SeqCst) {
            return Reply::Written;
        }
        let number = |name: &str| request.query.get(name).and_then(|text| text.parse().ok());
        let version: u64 = number("version").unwrap_or(1);
        if request.path.starts_with("/v1/manifest/") {
            let digests: Vec<_> =
                (0..CHUNKS).map(|index| format!("\"{}\"", sha256(&piece(version, index)))).collect();
            return Reply::Whole(Response::json(
                200,
                format!(
                    "{{\"model\":\"{MODEL}\",\"version\":{version},\"chunk_bytes\":{CHUNK_BYTES},\
                     \"layers\":16,\"digests\":[{}]}}",
                    digests.join(",")
                ),
            ));
        }
        let index = number("sample_count").unwrap_or(0) as usize;
        let guard = link.lock().unwrap();
        thread::sleep(PIECE_TIME);
        drop(guard);
        Reply::Whole(Response::new(200, piece(version, index)))
    })
}

/// A request that began to run: when, on which version, and its attempt id.
#[derive(Clone)]
pub struct Begun {
    pub at: f64,
    pub version: u64,
    pub id: String,
}

#[derive(Default)]
struct State {
    version: u64,
    /// Version that is loaded after what is running.
    pending: Option<u64>,
    sequence: u64,
    staged: BTreeMap<usize, Vec<u8>>,
    active: usize,
    queued: usize,
}

/// A model engine that answers with event streams.
#[derive(Clone)]
pub struct Engine {
    pub id: String,
    /// Prompt tokens read per second, for each request.
    pub read_per_s: f64,
    pub slots: usize,
    state: Arc<(Mutex<State>, Condvar)>,
    pub begun: Arc<Mutex<Vec<Begun>>>,
    record: Arc<Record>,
}

impl Engine {
    /// An engine that holds version 1, which is also staged.
    pub fn new(id: &str, read_per_s: f64, slots: usize, record: Arc<Record>) -> Self {
        let staged = (0..CHUNKS).map(|index| (index, piece(1, index))).collect();
        let state = State { version: 1, sequence: 1, staged, ..State::default() };
        Self {
            id: id.to_owned(),
            read_per_s,
            slots,
            state: Arc::new((Mutex::new(state), Condvar::new())),
            begun: Arc::default(),
            record,
        }
    }

    pub fn version(&self) -> u64 {
        self.state.0.lock().unwrap().version
    }

    pub fn serve(&self, addr: SocketAddr) -> io::Result<SocketAddr> {
        let engine = self.clone();
        serve(addr, move |request, stream| engine.handle(&request, stream))
    }

    fn handle(&self, request: &Request, stream: &mut TcpStream) -> Reply {
        let index = request.query.get("sample_count").and_then(|text| text.parse::<usize>().ok());
        let mut state = self.state.0.lock().unwrap();
        if request.path == "/health" {
            return Reply::Whole(Response::new(200, "").with("X-Cassiawheel-Replica-Id", &self.id));
        }
        if request.path == "/v1/report" {
            let State { version, pending, sequence, active, queued, .. } = &*state;
            return Reply::Whole(Response::json(
                200,
                format!(
                    "{{\"stage\":\"unified\",\"models\":[{{\"name\":\"{MODEL}\",\"version\":{version},\
                     \"adapters\":[]}}],\"busy\":{},\"sequence\":{sequence},\"queued\":{queued},\
                     \"active\":{active},\"kv_used\":0,\"kv_total\":1640000,\"handles\":0}}",
                    pending.is_some()
                ),
            ));
        }
        if request.path.starts_with("/v1/stage-put/") {
            state.staged.insert(index.unwrap_or(0), request.body.clone());
            return Reply::Whole(Response::new(200, ""));
        }
        if request.path.starts_with("/v1/stage-get/") {
            return Reply::Whole(match index {
                Some(index) => match state.staged.get(&index) {
                    Some(bytes) => Response::new(200, bytes.clone()),
                    None => Response::new(404, ""),
                },
                None => {
                    let held: Vec<_> = state.staged.keys().map(ToString::to_string).collect();
                    Response::json(200, format!("{{\"held\":[{}]}}", held.join(",")))
                }
            });
        }
        if request.path == "/v1/order" {
            let text = String::from_utf8_lossy(&request.body).into_owned();
            let number = |name: &str| {
                let (_, rest) = text.split_once(&format!("\"{name}\":"))?;
                rest.split([',', '}']).next()?.trim().parse::<u64>().ok()
            };
            let (version, expected) = (number("version").unwrap_or(0), number("precondition"));
            if state.pending.is_some() || expected.is_some_and(|count| count != state.sequence) {
                return Reply::Whole(Response::json(409, "{}".to_owned()));
            }
            if state.version == version {
                return Reply::Whole(Response::json(200, "{}".to_owned()));
            }
            state.sequence += 1;
            state.pending = Some(version);
            drop(state);
            self.record.add(format!("{} accepts the order to load version {version}", self.id));
            let engine = self.clone();
            thread::spawn(move || engine.load(version));
            return Reply::Whole(Response::json(202, "{}".to_owned()));
        }
        drop(state);
        self.run(request, stream)
    }

    /// Loads a version after what is running.
    fn load(&self, version: u64) {
        let (lock, changed) = &*self.state;
        let state = lock.lock().unwrap();
        drop(changed.wait_while(state, |state| state.active > 0).unwrap());
        thread::sleep(Duration::from_millis(300));
        let mut state = lock.lock().unwrap();
        state.version = version;
        state.pending = None;
        changed.notify_all();
        drop(state);
        self.record.add(format!("{} holds version {version}", self.id));
    }

    /// Whether the client is gone.
    fn is_closed(stream: &TcpStream) -> bool {
        let _ = stream.set_nonblocking(true);
        let peeked = stream.peek(&mut [0]);
        let _ = stream.set_nonblocking(false);
        match peeked {
            Ok(length) => length == 0,
            Err(error) => error.kind() != io::ErrorKind::WouldBlock,
        }
    }

    fn run(&self, request: &Request, stream: &mut TcpStream) -> Reply {
        let id = request.header("x-cassiawheel-attempt-id").to_owned();
        let echo = |response: Response| {
            response.with("X-Cassiawheel-Attempt-Id", &id).with("X-Cassiawheel-Replica-Id", &self.id)
        };
        if request.header("x-cassiawheel-expect-replica") != self.id {
            return Reply::Whole(echo(Response::new(421, "")));
        }
        let (lock, changed) = &*self.state;
        let mut state = lock.lock().unwrap();
        if state.queued >= 32 {
            let full = echo(Response::new(503, "")).with("X-Cassiawheel-Not-Executed", "1");
            return Reply::Whole(full);
        }
        state.queued += 1;
        let is_blocked =
            |state: &mut State| state.pending.is_some() || state.active >= self.slots;
        while is_blocked(&mut state) {
            state = changed.wait_timeout(state, Duration::from_millis(20)).unwrap().0;
            if Self::is_closed(stream) {
                state.queued -= 1;
                return Reply::Written;
            }
        }
        state.queued -= 1;
        let expected = request.header("x-cassiawheel-expect-version");
        if !expected.is_empty() && expected != state.version.to_string() {
            return Reply::Whole(echo(Response::new(421, "")));
        }
        state.active += 1;
        let version = state.version;
        drop(state);
        let _ = self.answer(request, &id, version, stream);
        lock.lock().unwrap().active -= 1;
        changed.notify_all();
        Reply::Written
    }

    /// Reads the prompt, and sends the events. The request begins to run with its first token.
    fn answer(&self, request: &Request, id: &str, version: u64, stream: &mut TcpStream) -> io::Result<()> {
        let counts = request.header("x-cassiawheel-token-count");
        let prompt: f64 = counts.split(',').next().and_then(|n| n.trim().parse().ok()).unwrap_or(0.0);
        let mut left_ms = (prompt * 1_000.0 / self.read_per_s) as u64;
        while left_ms > 0 {
            let part = left_ms.min(20);
            thread::sleep(Duration::from_millis(part));
            left_ms -= part;
            if Self::is_closed(stream) {
                self.record.add(format!("{} drops request {id}: its connection closed", self.id));
                return Ok(());
            }
        }
        let at = self.record.add(format!("{} begins request {id} on version {version}", self.id));
        self.begun.lock().unwrap().push(Begun { at, version, id: id.to_owned() });
        let head = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Cassiawheel-Attempt-Id: {id}\r\n\
             X-Cassiawheel-Replica-Stamp: stamp.{}\r\nX-Cassiawheel-Weight-Versions: {version}\r\n\
             X-Cassiawheel-Replica-Load: 1,0,{}\r\nConnection: close\r\n\
             Transfer-Encoding: chunked\r\n\r\n",
            self.id, self.slots
        );
        stream.write_all(head.as_bytes())?;
        for number in 1..=6 {
            let event = format!("id: {number}\ndata: piece {number} of {id}\n\n");
            stream.write_all(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes())?;
            thread::sleep(Duration::from_millis(40));
        }
        stream.write_all(b"0\r\n\r\n")
    }
}

/// SHA-256 of `bytes` in hexadecimal digits.
pub fn sha256(bytes: &[u8]) -> String {
    let primes: Vec<u64> = (2..320).filter(|n| (2..*n).all(|d| n % d != 0)).take(64).collect();
    let fraction = |root: f64| ((root - root.floor()) * 4_294_967_296.0) as u32;
    let keys: Vec<u32> = primes.iter().map(|prime| fraction((*prime as f64).cbrt())).collect();
    let mut state: Vec<u32> =
        primes.iter().take(8).map(|prime| fraction((*prime as f64).sqrt())).collect();
    let mut padded = bytes.to_vec();
    padded.push(0x80);
    while padded.len() % 64 != 56 {
        padded.push(0);
    }
    padded.extend((bytes.len() as u64 * 8).to_be_bytes());
    for block in padded.chunks(64) {
        let mut words: Vec<u32> =
            block.chunks(4).map(|word| u32::from_be_bytes(word.try_into().unwrap())).collect();
        for index in 16..64 {
            let (early, late) = (words[index - 15], words[index - 2]);
            let first = early.rotate_right(7) ^ early.rotate_right(18) ^ early >> 3;
            let second = late.rotate_right(17) ^ late.rotate_right(19) ^ late >> 10;
            let sum = words[index - 16].wrapping_add(first).wrapping_add(words[index - 7]);
            words.push(sum.wrapping_add(second));
        }
        let mut v = state.clone();
        for index in 0..64 {
            let big = v[4].rotate_right(6) ^ v[4].rotate_right(11) ^ v[4].rotate_right(25);
            let choice = v[4] & v[5] ^ !v[4] & v[6];
            let one = v[7].wrapping_add(big).wrapping_add(choice);
            let one = one.wrapping_add(keys[index]).wrapping_add(words[index]);
            let small = v[0].rotate_right(2) ^ v[0].rotate_right(13) ^ v[0].rotate_right(22);
            let majority = v[0] & v[1] ^ v[0] & v[2] ^ v[1] & v[2];
            let two = small.wrapping_add(majority);
            v = vec![one.wrapping_add(two), v[0], v[1], v[2], v[3].wrapping_add(one), v[4], v[5], v[6]];
        }
        for (sum, part) in state.iter_mut().zip(v) {
            *sum = sum.wrapping_add(part);
        }
    }
    state.iter().map(|word| format!("{word:08x}")).collect()
}
