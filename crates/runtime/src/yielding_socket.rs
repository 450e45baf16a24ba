//! A socket whose reads give way to other tasks.
//!
//! A connection reads in a loop for as long as bytes are there. A peer that sends without end
//! would otherwise keep the executor's thread for itself, and timers of other tasks would not run.

use std::{
    io,
    pin::Pin,
    task::{Context, Poll},
};

use smol::{
    io::{AsyncRead, AsyncWrite},
    net::TcpStream,
};

/// Number of reads in a row after which other tasks run.
const READS_IN_A_ROW: u32 = 8;

/// A socket whose reads return pending after some reads in a row.
pub struct YieldingSocket {
    stream: TcpStream,
    reads: u32,
}

impl YieldingSocket {
    /// Wraps `stream`.
    pub fn new(stream: TcpStream) -> Self {
        Self { stream, reads: 0 }
    }
}

impl AsyncRead for YieldingSocket {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        if self.reads >= READS_IN_A_ROW {
            self.reads = 0;
            cx.waker().wake_by_ref();
            return Poll::Pending;
        }
        let polled = Pin::new(&mut self.stream).poll_read(cx, buf);
        self.reads = if polled.is_ready() { self.reads + 1 } else { 0 };
        polled
    }
}

impl AsyncWrite for YieldingSocket {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_close(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_close(cx)
    }
}
