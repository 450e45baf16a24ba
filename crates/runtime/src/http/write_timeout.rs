//! Timeout for writes to clients that do not read their answer.
//!
//! When a client stops reading, the socket's send buffer fills up and writes block
//! indefinitely. Without a timeout the connection would keep its slot and its
//! request in progress: listeners would fill up under little load, and a graceful
//! shutdown would wait until its deadline.

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

/// A socket whose writes fail when none has made progress for a while.
pub(super) struct WriteTimeoutSocket {
    stream: TcpStream,
    timeout: Duration,
    timer: Option<Timer>,
}

impl WriteTimeoutSocket {
    /// Wraps `stream`; writes fail after `timeout` without progress.
    pub(super) fn new(stream: TcpStream, timeout: Duration) -> Self {
        Self { stream, timeout, timer: None }
    }

    fn check_timeout<T>(
        &mut self,
        cx: &mut Context<'_>,
        polled: Poll<io::Result<T>>,
    ) -> Poll<io::Result<T>> {
        if polled.is_ready() {
            self.timer = None;
            return polled;
        }
        let timeout = self.timeout;
        let timer = self.timer.get_or_insert_with(|| Timer::after(timeout));
        ready!(Pin::new(timer).poll(cx));
        Poll::Ready(Err(io::Error::new(io::ErrorKind::TimedOut, "the client does not read")))
    }
}

impl AsyncRead for WriteTimeoutSocket {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl AsyncWrite for WriteTimeoutSocket {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.check_timeout(cx, polled)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        self.check_timeout(cx, polled)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_close(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_close(cx)
    }
}
