//! Detects that a client disconnects while its response is being prepared.
//!
//! The HTTP library sees the end of a connection only when it reads, and it does not read while
//! bytes of a next request are buffered. The watch reads a limited number of further bytes
//! instead, which the library gets with its next read.

use std::{
    future::poll_fn,
    io,
    pin::Pin,
    sync::{Arc, Mutex, MutexGuard},
    task::{Context, Poll, ready},
};

use smol::io::{AsyncRead, AsyncWrite};

/// Maximum number of bytes that are read ahead.
const MAX_AHEAD_BYTES: usize = 64 << 10;

/// Size of one read, in bytes.
const READ_BYTES: usize = 4 << 10;

/// A socket whose end is also seen while nobody reads from it.
pub(super) struct WatchedSocket<S> {
    shared: Arc<Mutex<SocketState<S>>>,
}

/// Waits for the end of a [`WatchedSocket`]; has to be polled by the same task.
pub(super) struct CloseWatch<S> {
    shared: Arc<Mutex<SocketState<S>>>,
}

struct SocketState<S> {
    socket: S,
    /// Bytes that were read ahead.
    ahead: Vec<u8>,
    /// Whether the last read found no bytes, so that the reader itself will see the end.
    is_reader_waiting: bool,
}

impl<S> WatchedSocket<S> {
    /// Wraps `socket` and returns the watch for its end.
    pub(super) fn new(socket: S) -> (Self, CloseWatch<S>) {
        let state = SocketState { socket, ahead: Vec::new(), is_reader_waiting: false };
        let shared = Arc::new(Mutex::new(state));
        (Self { shared: shared.clone() }, CloseWatch { shared })
    }
}

fn lock<S>(shared: &Mutex<SocketState<S>>) -> MutexGuard<'_, SocketState<S>> {
    shared.lock().unwrap_or_else(|poison| poison.into_inner())
}

impl<S: AsyncRead + Unpin> CloseWatch<S> {
    /// Completes when the client has closed or reset the connection.
    pub(super) async fn closed(&self) {
        poll_fn(|cx| lock(&self.shared).poll_closed(cx)).await;
    }
}

impl<S: AsyncRead + Unpin> SocketState<S> {
    fn poll_closed(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        while !self.is_reader_waiting && self.ahead.len() < MAX_AHEAD_BYTES {
            let mut part = [0; READ_BYTES];
            match ready!(Pin::new(&mut self.socket).poll_read(cx, &mut part)) {
                Ok(0) | Err(_) => return Poll::Ready(()),
                Ok(length) => self.ahead.extend_from_slice(&part[..length]),
            }
        }
        Poll::Pending
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for WatchedSocket<S> {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let mut state = lock(&self.shared);
        if !state.ahead.is_empty() {
            let length = state.ahead.len().min(buf.len());
            buf[..length].copy_from_slice(&state.ahead[..length]);
            state.ahead.drain(..length);
            state.is_reader_waiting = false;
            return Poll::Ready(Ok(length));
        }
        let polled = Pin::new(&mut state.socket).poll_read(cx, buf);
        state.is_reader_waiting = polled.is_pending();
        polled
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for WatchedSocket<S> {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut lock(&self.shared).socket).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut lock(&self.shared).socket).poll_write_vectored(cx, bufs)
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut lock(&self.shared).socket).poll_flush(cx)
    }

    fn poll_close(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut lock(&self.shared).socket).poll_close(cx)
    }
}
