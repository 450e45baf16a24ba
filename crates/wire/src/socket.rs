//! WebSocket connections that carry messages.
//!
//! [`connect`] and [`accept`] return a sender, which may be cloned and shared by
//! tasks, and a receiver. A separate task writes the queued messages and flushes
//! when the queues are empty, so that a burst of messages shares system calls.
//!
//! Urgent messages and presets are queued apart from all others and written first, so that
//! a burst of others neither delays nor displaces them.

use std::{
    net::{IpAddr, SocketAddr},
    time::Duration,
};

use async_compat::{Compat, CompatExt};
use bytes::Bytes;
use cassiawheel_runtime::{dial, spawn, timeout};
use futures_util::{
    SinkExt, StreamExt,
    stream::{SplitSink, SplitStream},
};
use smol::{channel::TrySendError, net::TcpStream};
use subtle::ConstantTimeEq;
use tokio_tungstenite::{
    WebSocketStream, accept_hdr_async_with_config, client_async_with_config,
    tungstenite::{
        Message,
        client::IntoClientRequest,
        handshake::server::{ErrorResponse, Request, Response},
        http::{HeaderValue, StatusCode, header::AUTHORIZATION},
        protocol::WebSocketConfig,
    },
};

use crate::{
    WireMessage,
    codec::{MAX_MESSAGE_BYTES, decode, encode},
    lanes::{LaneConfirmer, LaneReceiver, LaneSender, WriteItem, message_lanes},
    traffic::TRAFFIC,
};

/// Size of the read buffer of each connection; an agent may be connected to hundreds of others.
const READ_BUFFER_BYTES: usize = 16 << 10;

/// Timeout for connecting including the handshake, and for closing a connection.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(3);

type Stream = WebSocketStream<Compat<TcpStream>>;

/// Error of a connection.
#[derive(Debug, thiserror::Error)]
pub enum WireError {
    /// The TCP connection could not be established.
    #[error("cannot connect: {0}")]
    Connect(#[from] std::io::Error),
    /// The handshake failed or timed out, for example because the remote process rejected the key.
    #[error("handshake failed: {0}")]
    Handshake(String),
    /// The connection is closed.
    #[error("the connection is closed")]
    Closed,
    /// A received frame is not a valid message.
    #[error("bad frame: {0}")]
    Frame(String),
}

/// Sending half of a connection; clones share the connection.
#[derive(Debug, Clone)]
pub struct WireSender {
    queue: LaneSender,
}

/// Receiving half of a connection.
pub struct WireReceiver {
    stream: SplitStream<Stream>,
    confirmer: LaneConfirmer,
}

impl WireSender {
    /// Whether both send over the same connection.
    pub fn is_same(&self, other: &Self) -> bool {
        self.queue.is_same(&other.queue)
    }

    /// Queues `message`; waits while its lane is full.
    pub async fn send(&self, message: impl Into<WireMessage>) -> Result<(), WireError> {
        self.queue.send(message.into()).await.map_err(|_| WireError::Closed)
    }

    /// Queues `message` without waiting; returns `false` if its lane is full.
    ///
    /// Used for messages that are superseded by the next one, such as heartbeats.
    pub fn try_send(&self, message: impl Into<WireMessage>) -> Result<bool, WireError> {
        match self.queue.try_send(message.into()) {
            Ok(()) => Ok(true),
            Err(TrySendError::Full(message)) => {
                TRAFFIC.count_dropped(&message);
                Ok(false)
            }
            Err(TrySendError::Closed(_)) => Err(WireError::Closed),
        }
    }

    /// Whether messages with state wait, so that state which can be merged should not be added.
    pub fn is_congested(&self) -> bool {
        self.queue.is_congested()
    }

    /// Whether the connection is known to be closed.
    pub fn is_closed(&self) -> bool {
        self.queue.is_closed()
    }

    /// Closes the connection once the queued messages are written.
    pub fn close(&self) {
        self.queue.close();
    }
}

impl WireReceiver {
    /// Receives the next message.
    pub async fn recv(&mut self) -> Result<WireMessage, WireError> {
        loop {
            let frame = self.stream.next().await.ok_or(WireError::Closed)?;
            let frame = frame.map_err(|error| WireError::Frame(error.to_string()))?;
            match frame {
                Message::Binary(bytes) => {
                    let message =
                        decode(&bytes).map_err(|error| WireError::Frame(error.to_string()))?;
                    TRAFFIC.count_received(&message, bytes.len());
                    return Ok(message);
                }
                Message::Text(_) => {
                    return Err(WireError::Frame("unexpected text frame".to_owned()));
                }
                Message::Close(_) => return Err(WireError::Closed),
                Message::Pong(_) => self.confirmer.confirm(),
                // The library answers pings.
                Message::Ping(_) | Message::Frame(_) => {}
            }
        }
    }
}

/// Connects to `addr` from the address `local`, if given, and authenticates with `key`.
pub async fn connect(
    addr: SocketAddr,
    key: &str,
    local: Option<IpAddr>,
) -> Result<(WireSender, WireReceiver), WireError> {
    let attempt = async {
        let stream = dial(addr, local).await?;
        let mut request = format!("ws://{addr}/")
            .into_client_request()
            .map_err(|error| WireError::Handshake(error.to_string()))?;
        let value = HeaderValue::from_str(&format!("Bearer {key}"))
            .map_err(|error| WireError::Handshake(error.to_string()))?;
        request.headers_mut().insert(AUTHORIZATION, value);
        let (socket, _) = client_async_with_config(request, stream.compat(), Some(frame_limits()))
            .await
            .map_err(|error| WireError::Handshake(error.to_string()))?;
        Ok(split(socket))
    };
    timeout(HANDSHAKE_TIMEOUT, attempt)
        .await
        .unwrap_or_else(|| Err(WireError::Handshake("timed out".to_owned())))
}

/// Accepts a connection if the client authenticates with `key`.
pub async fn accept(stream: TcpStream, key: &str) -> Result<(WireSender, WireReceiver), WireError> {
    let _ = stream.set_nodelay(true);
    let check = |request: &Request, response: Response| check_key(request, response, key);
    let attempt = accept_hdr_async_with_config(stream.compat(), check, Some(frame_limits()));
    let socket = timeout(HANDSHAKE_TIMEOUT, attempt)
        .await
        .ok_or_else(|| WireError::Handshake("timed out".to_owned()))?
        .map_err(|error| WireError::Handshake(error.to_string()))?;
    Ok(split(socket))
}

fn check_key(request: &Request, response: Response, key: &str) -> Result<Response, ErrorResponse> {
    let given = request.headers().get(AUTHORIZATION).map(HeaderValue::as_bytes).unwrap_or_default();
    let wanted = format!("Bearer {key}");
    // Digests of equal length are compared in constant time, so the time does not leak the
    // key's length either.
    let (given, wanted) = (blake3::hash(given), blake3::hash(wanted.as_bytes()));
    if bool::from(given.as_bytes().ct_eq(wanted.as_bytes())) {
        return Ok(response);
    }
    let mut refusal = ErrorResponse::new(Some("wrong key".to_owned()));
    *refusal.status_mut() = StatusCode::UNAUTHORIZED;
    Err(refusal)
}

fn frame_limits() -> WebSocketConfig {
    WebSocketConfig::default()
        .read_buffer_size(READ_BUFFER_BYTES)
        .max_message_size(Some(MAX_MESSAGE_BYTES))
        .max_frame_size(Some(MAX_MESSAGE_BYTES))
}

fn split(socket: Stream) -> (WireSender, WireReceiver) {
    let (sink, stream) = socket.split();
    let (queue, queued) = message_lanes();
    let confirmer = queue.confirmer();
    spawn(write_queue(sink, queued)).detach();
    (WireSender { queue }, WireReceiver { stream, confirmer })
}

async fn write_queue(mut sink: SplitSink<Stream, Message>, queued: LaneReceiver) {
    while let Some(item) = queued.recv().await {
        if write_burst(&mut sink, &queued, item).await.is_none() {
            break;
        }
    }
    // Senders must fail at once; otherwise they would queue messages that are never written.
    queued.close();
    let _ = timeout(HANDSHAKE_TIMEOUT, sink.close()).await;
}

async fn write_burst(
    sink: &mut SplitSink<Stream, Message>,
    queued: &LaneReceiver,
    first: WriteItem,
) -> Option<()> {
    let mut next = Some(first);
    while let Some(item) = next {
        let frame = match item {
            WriteItem::Message(message) => {
                // If the message were skipped, its receiver would wait for it indefinitely, so an
                // encoding error closes the connection instead.
                let bytes = encode(&message).ok()?;
                TRAFFIC.count_sent(&message, bytes.len());
                queued.record_sent(&message, bytes.len());
                Message::Binary(bytes.into())
            }
            WriteItem::Ping => Message::Ping(Bytes::new()),
        };
        sink.feed(frame).await.ok()?;
        next = queued.try_recv();
    }
    sink.flush().await.ok()
}
