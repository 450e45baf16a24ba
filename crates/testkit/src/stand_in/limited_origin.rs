//! Stand-in of the platform's origin, which admits few connections.
//!
//! It resets a new connection when the limit is reached. A client that loses
//! power sends no FIN or RST, so the origin goes on counting that client's
//! connections as open for at least as long as the client would have kept them.

use std::{
    net::{Ipv4Addr, SocketAddr},
    sync::{
        Arc,
        atomic::{AtomicU64, AtomicUsize, Ordering},
    },
    time::Duration,
};

use cassiawheel_runtime::{
    http::{ReplyBody, full_body, json_reply},
    reset_on_close, spawn,
};
use hyper::{Request, Response, StatusCode, body::Incoming, service::service_fn};
use serde_json::json;
use smol::{
    Task, Timer,
    net::{TcpListener, TcpStream},
};
use smol_hyper::rt::FuturesIo;

use super::{empty_reply, query_of};

/// Bytes of every chunk.
const CHUNK_BYTES: usize = 512;

/// Origin that has every version of every model and limits its open connections.
#[derive(Debug)]
pub struct LimitedOrigin {
    /// Highest number of connections that may be open at a time.
    places: usize,
    chunks: usize,
    /// Time from a request to its answer.
    delay: Duration,
    /// Connections that it counts as open.
    taken: AtomicUsize,
    /// Highest value of `taken` so far.
    most_taken: AtomicUsize,
    /// Connections that were admitted so far.
    served: AtomicUsize,
    /// Connections that were reset because the limit was reached.
    rejected: AtomicUsize,
    /// Number of simulated power losses; connections opened before one are never counted
    /// as closed.
    losses: AtomicU64,
}

/// Handle of a running origin, which stops accepting when the handle is dropped.
pub struct RunningOrigin {
    /// Address on which it listens.
    pub addr: SocketAddr,
    /// Limit and counters of the origin.
    pub state: Arc<LimitedOrigin>,
    _accepting: Task<()>,
}

impl LimitedOrigin {
    /// Starts an origin of versions of `chunks` chunks that admits `places` connections and
    /// answers after `delay`.
    pub async fn start(
        places: usize,
        chunks: usize,
        delay: Duration,
    ) -> std::io::Result<RunningOrigin> {
        let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        Self::start_at(any, places, chunks, delay).await
    }

    /// Same as [`Self::start`], but listens at `addr` instead of a free loopback port.
    pub async fn start_at(
        addr: SocketAddr,
        places: usize,
        chunks: usize,
        delay: Duration,
    ) -> std::io::Result<RunningOrigin> {
        let listener = TcpListener::bind(addr).await?;
        let addr = listener.local_addr()?;
        let state = Arc::new(Self {
            places,
            chunks,
            delay,
            taken: AtomicUsize::new(0),
            most_taken: AtomicUsize::new(0),
            served: AtomicUsize::new(0),
            rejected: AtomicUsize::new(0),
            losses: AtomicU64::new(0),
        });
        let accepting = spawn(accept(listener, state.clone()));
        Ok(RunningOrigin { addr, state, _accepting: accepting })
    }

    /// Simulates a power loss of all clients: connections that are open now are never
    /// counted as closed.
    pub fn lose_clients(&self) {
        self.losses.fetch_add(1, Ordering::SeqCst);
    }

    /// Connections that were admitted so far.
    pub fn served(&self) -> usize {
        self.served.load(Ordering::SeqCst)
    }

    /// Connections that it counts as open.
    pub fn taken(&self) -> usize {
        self.taken.load(Ordering::SeqCst)
    }

    /// Highest number of connections that it counted as open at a time.
    pub fn most_taken(&self) -> usize {
        self.most_taken.load(Ordering::SeqCst)
    }

    /// Connections that were reset because the limit was reached.
    pub fn rejected(&self) -> usize {
        self.rejected.load(Ordering::SeqCst)
    }

    async fn answer(&self, request: Request<Incoming>) -> Response<ReplyBody> {
        Timer::after(self.delay).await;
        let query = query_of(request.uri());
        let number = |name: &str| query.get(name).and_then(|text| text.parse::<u64>().ok());
        match request.uri().path().split('/').collect::<Vec<_>>().as_slice() {
            ["", "v1", "manifest", model] => self.manifest(model, number("version").unwrap_or(1)),
            ["", "v1", "piece", _] => match number("sample_count") {
                Some(index) if (index as usize) < self.chunks => {
                    Response::new(full_body(chunk_bytes(index)))
                }
                _ => empty_reply(StatusCode::NOT_FOUND),
            },
            _ => empty_reply(StatusCode::NOT_FOUND),
        }
    }

    fn manifest(&self, model: &str, version: u64) -> Response<ReplyBody> {
        use sha2::{Digest, Sha256};
        let digest = |index| hex::encode(Sha256::digest(chunk_bytes(index)));
        let digests: Vec<_> = (0..self.chunks as u64).map(digest).collect();
        let manifest = json!({
            "model": model, "version": version, "chunk_bytes": CHUNK_BYTES, "layers": 1,
            "digests": digests,
        });
        json_reply(StatusCode::OK, &manifest)
    }
}

async fn accept(listener: TcpListener, state: Arc<LimitedOrigin>) {
    while let Ok((stream, _)) = listener.accept().await {
        if state.taken() >= state.places {
            state.rejected.fetch_add(1, Ordering::SeqCst);
            if let Err(error) = reset_on_close(&stream) {
                log::warn!(target: "origin", cause:% = error; "A connection cannot be reset.");
            }
            continue;
        }
        let taken = state.taken.fetch_add(1, Ordering::SeqCst) + 1;
        state.most_taken.fetch_max(taken, Ordering::SeqCst);
        state.served.fetch_add(1, Ordering::SeqCst);
        spawn(serve(stream, state.clone())).detach();
    }
}

async fn serve(stream: TcpStream, state: Arc<LimitedOrigin>) {
    let losses = state.losses.load(Ordering::SeqCst);
    let origin = state.clone();
    let service = service_fn(move |request| {
        let origin = origin.clone();
        async move { Ok::<_, std::convert::Infallible>(origin.answer(request).await) }
    });
    let served = hyper::server::conn::http1::Builder::new()
        .serve_connection(FuturesIo::new(stream), service)
        .await;
    if let Err(error) = served {
        log::debug!(target: "origin", cause:% = error; "A connection ended.");
    }
    if state.losses.load(Ordering::SeqCst) == losses {
        state.taken.fetch_sub(1, Ordering::SeqCst);
    }
}

fn chunk_bytes(index: u64) -> Vec<u8> {
    index.to_le_bytes().repeat(CHUNK_BYTES / 8)
}
