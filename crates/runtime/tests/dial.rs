//! Connecting to a host that drops the first SYN.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use cassiawheel_runtime::{dial, spawn, timeout};
use smol::Timer;
use socket2::{Domain, Socket, Type};

/// Time after which the kernel retransmits a lost SYN.
const RETRANSMIT_TIME: Duration = Duration::from_secs(1);

fn full_listener() -> std::io::Result<(Socket, SocketAddr, Vec<std::net::TcpStream>)> {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None)?;
    socket.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into())?;
    socket.listen(0)?;
    let addr = socket.local_addr()?.as_socket().expect("an IP address");
    // Further SYNs are dropped until a connection is accepted.
    let connect = || std::net::TcpStream::connect_timeout(&addr, Duration::from_millis(100));
    let held = std::iter::repeat_with(connect).map_while(Result::ok).take(8).collect();
    Ok((socket, addr, held))
}

/// A host that is starting drops the SYNs of its peers. The kernel retransmits a SYN only after
/// a second, for which all peers would wait; a new attempt connects as soon as the host is up.
#[test]
fn a_lost_syn_is_retried_within_a_second() {
    let test = async {
        let (listener, addr, held) = full_listener()?;
        anyhow::ensure!(held.len() < 8, "the listener takes all connections");
        let started = Instant::now();
        let connected = spawn(async move { dial(addr, None).await.is_ok() });
        Timer::after(Duration::from_millis(100)).await;
        listener.set_nonblocking(true)?;
        while listener.accept().is_ok() {}
        let connected = timeout(Duration::from_secs(5), connected).await;
        anyhow::ensure!(connected == Some(true), "not connected: {connected:?}");
        anyhow::Ok(started.elapsed())
    };
    let took = cassiawheel_runtime::run(2, test).expect("the executor runs").expect("connected");
    assert!(took < RETRANSMIT_TIME, "took {took:?}");
}
