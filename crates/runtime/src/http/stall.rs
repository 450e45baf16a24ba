//! A deadline for clients that take nothing of their answer.
//!
//! A client that stops reading fills the socket's buffer; the answer then
//! waits for ever, and with it the connection's slot and the request that a
//! graceful shutdown waits for. One would notice entries that need their whole
//! shutdown deadline and listeners that fill up while little is going on.

use std::{
    future::Future,
    io,
    pin::Pin,
    task::{Context, Poll, ready},
    time::Duration,
};

use smol::{
    Timer,
    io::{AsyncRead, AsyncWrite},
    net::TcpStream,
};

/// A socket whose writes fail once none has gone through for a while.
pub(super) struct StallSocket {
    stream: TcpStream,
    span: Duration,
    expiry: Option<Timer>,
}

impl StallSocket {
    /// A socket whose writes may stall for `span`.
    pub(super) fn new(stream: TcpStream, span: Duration) -> Self {
        Self { stream, span, expiry: None }
    }

    fn poll_expiry<T>(
        &mut self,
        cx: &mut Context<'_>,
        polled: Poll<io::Result<T>>,
    ) -> Poll<io::Result<T>> {
        if polled.is_ready() {
            self.expiry = None;
            return polled;
        }
        let span = self.span;
        let expiry = self.expiry.get_or_insert_with(|| Timer::after(span));
        ready!(Pin::new(expiry).poll(cx));
        Poll::Ready(Err(io::Error::new(io::ErrorKind::TimedOut, "the client takes nothing")))
    }
}

impl AsyncRead for StallSocket {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl AsyncWrite for StallSocket {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.poll_expiry(cx, polled)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        self.poll_expiry(cx, polled)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_close(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_close(cx)
    }
}
