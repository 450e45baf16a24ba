//! Connecting to other processes.

use std::{
    io,
    net::{IpAddr, SocketAddr},
    time::Duration,
};

use smol::{Async, net::TcpStream};
use socket2::{Domain, Protocol, SockRef, Socket, TcpKeepalive, Type};

use crate::timeout;

/// `connect` goes on in the background.
const EINPROGRESS: i32 = 115;

/// Time without an acknowledgement after which a connection counts as broken.
///
/// A machine that lost its power, or stands behind a cut, never answers; without
/// a limit the kernel would try for a quarter of an hour. Two seconds are above
/// every pause that a busy machine makes.
const SILENCE_TIME: Duration = Duration::from_secs(2);

/// Idle time before the other end is asked whether it is still there.
const PROBE_TIME: Duration = Duration::from_secs(1);

/// Time for one try to connect.
///
/// The kernel repeats a lost opening packet after a second, and one sent to a
/// machine that is just being started is lost. Everybody who starts together
/// would wait out that second; regions are a few milliseconds apart.
const TRY_TIME: Duration = Duration::from_millis(250);

/// Tries to connect before the other end counts as unreachable.
const TRIES: u32 = 12;

/// Connects to `addr`, from `local` if given.
pub async fn dial(addr: SocketAddr, local: Option<IpAddr>) -> io::Result<TcpStream> {
    for _ in 0..TRIES {
        if let Some(connected) = timeout(TRY_TIME, dial_once(addr, local)).await {
            return connected;
        }
    }
    Err(io::Error::new(io::ErrorKind::TimedOut, "the other end does not answer"))
}

async fn dial_once(addr: SocketAddr, local: Option<IpAddr>) -> io::Result<TcpStream> {
    let socket = Socket::new(Domain::for_address(addr), Type::STREAM, Some(Protocol::TCP))?;
    socket.set_nonblocking(true)?;
    socket.set_tcp_nodelay(true)?;
    watch_silence(&socket);
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

/// Has a connection reset when it is closed, so that what was not sent yet never is.
///
/// Bytes for a machine that stands still wait in the kernel after a close and
/// reach the machine when it wakes, seconds later: a request whose caller has
/// long left would then run after all.
pub fn reset_on_close(stream: &TcpStream) -> io::Result<()> {
    SockRef::from(stream).set_linger(Some(Duration::ZERO))
}

/// Has a connection end once the other end has been silent for a while.
///
/// Works without as well, only slower, so a system that knows none of the
/// options is not worth an error.
fn watch_silence(socket: &Socket) {
    let probes = TcpKeepalive::new().with_time(PROBE_TIME).with_interval(PROBE_TIME);
    if let Err(error) = socket
        .set_tcp_keepalive(&probes)
        .and_then(|()| socket.set_tcp_user_timeout(Some(SILENCE_TIME)))
    {
        log::debug!(target: "dial", cause:% = error; "A socket takes no limit of silence.");
    }
}
