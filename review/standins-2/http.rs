//! Small HTTP/1.1 server, client and proxy for the cases of this review, on the standard library.

use std::{
    collections::HashMap,
    io::{self, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

/// A request as received, with header names in lower case.
pub struct Request {
    pub method: String,
    pub path: String,
    pub query: HashMap<String, String>,
    pub headers: HashMap<String, String>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }
}

/// A complete response.
pub struct Response {
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Response {
    pub fn new(status: u16, body: impl Into<Vec<u8>>) -> Self {
        Self { status, headers: Vec::new(), body: body.into() }
    }

    pub fn json(status: u16, body: String) -> Self {
        Self::new(status, body).with("Content-Type", "application/json")
    }

    pub fn with(mut self, name: &str, value: &str) -> Self {
        self.headers.push((name.to_owned(), value.to_owned()));
        self
    }
}

/// What a handler does with a request.
pub enum Reply {
    Whole(Response),
    /// The handler has written to the connection itself; it is closed.
    Written,
}

fn read_line(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> io::Result<Option<String>> {
    loop {
        if let Some(end) = buffer.iter().position(|byte| *byte == b'\n') {
            let line: Vec<u8> = buffer.drain(..=end).collect();
            return Ok(Some(String::from_utf8_lossy(&line).trim_end().to_owned()));
        }
        let mut part = [0; 8192];
        match stream.read(&mut part)? {
            0 => return Ok(None),
            length => buffer.extend_from_slice(&part[..length]),
        }
    }
}

fn read_exact(stream: &mut TcpStream, buffer: &mut Vec<u8>, length: usize) -> io::Result<Vec<u8>> {
    while buffer.len() < length {
        let mut part = [0; 65536];
        match stream.read(&mut part)? {
            0 => return Err(io::ErrorKind::UnexpectedEof.into()),
            read => buffer.extend_from_slice(&part[..read]),
        }
    }
    Ok(buffer.drain(..length).collect())
}

fn read_headers(
    stream: &mut TcpStream,
    buffer: &mut Vec<u8>,
) -> io::Result<HashMap<String, String>> {
    let mut headers = HashMap::new();
    while let Some(line) = read_line(stream, buffer)? {
        if line.is_empty() {
            return Ok(headers);
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.insert(name.trim().to_ascii_lowercase(), value.trim().to_owned());
        }
    }
    Err(io::ErrorKind::UnexpectedEof.into())
}

fn read_chunked(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> io::Result<Vec<u8>> {
    let mut body = Vec::new();
    loop {
        let line = read_line(stream, buffer)?.ok_or(io::ErrorKind::UnexpectedEof)?;
        let text = line.split(';').next().unwrap_or_default().trim().to_owned();
        let length = usize::from_str_radix(&text, 16).map_err(|_| io::ErrorKind::InvalidData)?;
        body.extend(read_exact(stream, buffer, length)?);
        read_line(stream, buffer)?;
        if length == 0 {
            return Ok(body);
        }
    }
}

fn read_body(
    stream: &mut TcpStream,
    buffer: &mut Vec<u8>,
    headers: &HashMap<String, String>,
) -> io::Result<Vec<u8>> {
    if headers.get("transfer-encoding").is_some_and(|value| value.contains("chunked")) {
        return read_chunked(stream, buffer);
    }
    let length = headers.get("content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
    read_exact(stream, buffer, length)
}

fn read_request(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> io::Result<Option<Request>> {
    let Some(line) = read_line(stream, buffer)? else {
        return Ok(None);
    };
    let mut words = line.split(' ');
    let (method, target) = (words.next().unwrap_or_default(), words.next().unwrap_or_default());
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let query = pairs.map(|(name, value)| (name.to_owned(), value.to_owned())).collect();
    let (method, path) = (method.to_owned(), path.to_owned());
    let headers = read_headers(stream, buffer)?;
    let body = read_body(stream, buffer, &headers)?;
    Ok(Some(Request { method, path, query, headers, body }))
}

/// Serves `handler` at `addr` in threads of its own; returns the address.
pub fn serve<H>(addr: SocketAddr, handler: H) -> io::Result<SocketAddr>
where
    H: Fn(Request, &mut TcpStream) -> Reply + Send + Sync + 'static,
{
    let listener = TcpListener::bind(addr)?;
    let addr = listener.local_addr()?;
    let handler = Arc::new(handler);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = handler.clone();
            thread::spawn(move || {
                let _ = serve_connection(stream, handler.as_ref());
            });
        }
    });
    Ok(addr)
}

fn serve_connection<H>(mut stream: TcpStream, handler: &H) -> io::Result<()>
where
    H: Fn(Request, &mut TcpStream) -> Reply,
{
    stream.set_nodelay(true)?;
    let mut buffer = Vec::new();
    while let Some(request) = read_request(&mut stream, &mut buffer)? {
        let Reply::Whole(response) = handler(request, &mut stream) else {
            return Ok(());
        };
        let mut text = format!("HTTP/1.1 {} Status\r\n", response.status);
        for (name, value) in &response.headers {
            text.push_str(&format!("{name}: {value}\r\n"));
        }
        text.push_str(&format!("Content-Length: {}\r\n\r\n", response.body.len()));
        let mut bytes = text.into_bytes();
        bytes.extend(response.body);
        stream.write_all(&bytes)?;
    }
    Ok(())
}

/// Answer to a client: status, headers, and the body as far as it arrived.
pub struct Answer {
    pub status: u16,
    pub headers: HashMap<String, String>,
    pub body: Vec<u8>,
    /// Whether the body was complete.
    pub whole: bool,
}

/// Sends `text` (a head and body) on a new connection and reads the answer.
pub fn ask(addr: SocketAddr, text: &[u8], span: Duration) -> io::Result<Answer> {
    let mut stream = TcpStream::connect_timeout(&addr, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(span))?;
    stream.write_all(text)?;
    let mut buffer = Vec::new();
    loop {
        let line = read_line(&mut stream, &mut buffer)?.ok_or(io::ErrorKind::UnexpectedEof)?;
        let status: u16 = line.split(' ').nth(1).and_then(|code| code.parse().ok()).unwrap_or(0);
        let headers = read_headers(&mut stream, &mut buffer)?;
        if status < 200 {
            continue;
        }
        let body = read_body(&mut stream, &mut buffer, &headers);
        let (body, whole) = body.map_or((Vec::new(), false), |body| (body, true));
        return Ok(Answer { status, headers, body, whole });
    }
}

/// Network path between one machine and a server, which can be cut: nothing passes then, without a
/// reset, and what is on the way is delivered afterwards, as TCP does when a partition heals.
pub struct Path {
    pub addr: SocketAddr,
    is_cut: Arc<AtomicBool>,
}

impl Path {
    /// Opens a path from `addr` to `target`.
    pub fn open(addr: SocketAddr, target: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind(addr)?;
        let addr = listener.local_addr()?;
        let is_cut = Arc::new(AtomicBool::new(false));
        let state = is_cut.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let state = state.clone();
                thread::spawn(move || {
                    await_path(&state);
                    let Ok(other) = TcpStream::connect(target) else {
                        return;
                    };
                    let _ = (stream.set_nodelay(true), other.set_nodelay(true));
                    let (Ok(from), Ok(to)) = (stream.try_clone(), other.try_clone()) else {
                        return;
                    };
                    let there = state.clone();
                    thread::spawn(move || pump(from, to, &there));
                    pump(other, stream, &state);
                });
            }
        });
        Ok(Self { addr, is_cut })
    }

    pub fn set_cut(&self, is_cut: bool) {
        self.is_cut.store(is_cut, Ordering::SeqCst);
    }
}

fn await_path(is_cut: &AtomicBool) {
    while is_cut.load(Ordering::SeqCst) {
        thread::sleep(Duration::from_millis(2));
    }
}

fn pump(mut from: TcpStream, mut to: TcpStream, is_cut: &AtomicBool) {
    let mut part = [0; 16384];
    loop {
        let read = from.read(&mut part);
        await_path(is_cut);
        match read {
            Ok(length) if length > 0 && to.write_all(&part[..length]).is_ok() => {}
            Ok(_) | Err(_) => break,
        }
    }
    let _ = (from.shutdown(std::net::Shutdown::Both), to.shutdown(std::net::Shutdown::Both));
}

/// Waits until `condition` holds; false if it does not within `span`.
pub fn wait_until(span: Duration, condition: impl Fn() -> bool) -> bool {
    let end = Instant::now() + span;
    while !condition() {
        if Instant::now() > end {
            return false;
        }
        thread::sleep(Duration::from_millis(20));
    }
    true
}
