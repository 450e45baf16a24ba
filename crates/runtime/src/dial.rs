//! Outgoing TCP connections.

use std::{
    io,
    net::{IpAddr, SocketAddr},
    time::Duration,
};

use smol::{Async, net::TcpStream};
use socket2::{Domain, Protocol, SockRef, Socket, TcpKeepalive, Type};

use crate::timeout;

/// Error code of a non-blocking `connect` that is still in progress (Linux).
const EINPROGRESS: i32 = 115;

/// Time without an acknowledgement after which a connection is closed (`TCP_USER_TIMEOUT`).
///
/// A host that has lost power or is partitioned never answers; without a limit the kernel would
/// retransmit for about 15 minutes. Two seconds exceed the pauses of a busy host.
const ACK_TIMEOUT: Duration = Duration::from_secs(2);

/// Idle time before the first keepalive probe, and interval between probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// Timeout of one attempt to connect.
///
/// The kernel retransmits a lost SYN only after a second, and a SYN to a host that is starting
/// is lost, so processes that start together would all wait for that second. Round trips
/// between regions take a few milliseconds.
const ATTEMPT_TIMEOUT: Duration = Duration::from_millis(250);

/// Attempts to connect before the remote host counts as unreachable.
const MAX_ATTEMPTS: u32 = 12;

/// Connects to `addr`, from the address `local` if given.
pub async fn dial(addr: SocketAddr, local: Option<IpAddr>) -> io::Result<TcpStream> {
    for _ in 0..MAX_ATTEMPTS {
        if let Some(connected) = timeout(ATTEMPT_TIMEOUT, attempt_dial(addr, local)).await {
            return connected;
        }
    }
    Err(io::Error::new(io::ErrorKind::TimedOut, "the remote host does not answer"))
}

async fn attempt_dial(addr: SocketAddr, local: Option<IpAddr>) -> io::Result<TcpStream> {
    let socket = Socket::new(Domain::for_address(addr), Type::STREAM, Some(Protocol::TCP))?;
    socket.set_nonblocking(true)?;
    socket.set_tcp_nodelay(true)?;
    set_keepalive(&socket);
    if let Some(local) = local {
        socket.bind(&SocketAddr::new(local, 0).into())?;
    }
    match socket.connect(&addr.into()) {
        Err(error) if error.raw_os_error() != Some(EINPROGRESS) => return Err(error),
        _ => {}
    }
    let stream = Async::new_nonblocking(std::net::TcpStream::from(socket))?;
    stream.writable().await?;
    match stream.get_ref().take_error()? {
        Some(error) => Err(error),
        None => Ok(TcpStream::from(stream)),
    }
}

/// Makes closing the connection reset it, so that unsent bytes are discarded.
///
/// Otherwise, bytes for a host that is paused remain in the kernel after the close and are
/// delivered when the host resumes seconds later, and a request would run after its caller
/// has given up.
pub fn reset_on_close(stream: &TcpStream) -> io::Result<()> {
    SockRef::from(stream).set_linger(Some(Duration::ZERO))
}

/// Closes the connection if the remote host has not answered for a while.
///
/// Without these socket options a broken connection is only detected later, so a failure to
/// set them is logged and ignored.
fn set_keepalive(socket: &Socket) {
    let probes =
        TcpKeepalive::new().with_time(KEEPALIVE_INTERVAL).with_interval(KEEPALIVE_INTERVAL);
    if let Err(error) = socket
        .set_tcp_keepalive(&probes)
        .and_then(|()| socket.set_tcp_user_timeout(Some(ACK_TIMEOUT)))
    {
        log::debug!(target: "dial", cause:% = error; "Cannot set keepalive options of a socket.");
    }
}
