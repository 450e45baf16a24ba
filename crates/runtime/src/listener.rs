//! Accepting connections, a bounded number at a time.

use std::{future::Future, net::SocketAddr, pin::pin, sync::Arc, time::Duration};

use futures_util::future::{Either, select};
use smol::{
    lock::Semaphore,
    net::{TcpListener, TcpStream},
};

use crate::{ShutdownSignal, spawn};

/// Pause after a failed accept.
const ACCEPT_AGAIN: Duration = Duration::from_millis(20);

/// Accepts connections until `shutdown`; then waits for the open ones to end.
///
/// Most `connections` are open at a time; further ones wait in the kernel's
/// queue. A slot is taken before a connection is accepted, so that a process
/// never holds a connection that it does not serve; the wait for a slot ends
/// with `shutdown` as well, so that a full listener cannot delay a stop.
pub async fn accept_connections<H, F>(
    listener: TcpListener,
    connections: usize,
    shutdown: ShutdownSignal,
    handler: H,
) where
    H: Fn(TcpStream, SocketAddr) -> F + Send + 'static,
    F: Future<Output = ()> + Send + 'static,
{
    let slots = Arc::new(Semaphore::new(connections));
    loop {
        let accepted = async {
            let slot = slots.acquire_arc().await;
            (listener.accept().await, slot)
        };
        let (accepted, slot) = match select(pin!(accepted), pin!(shutdown.wait())).await {
            Either::Left((accepted, _)) => accepted,
            Either::Right(_) => break,
        };
        let Ok((stream, remote)) = accepted else {
            // Out of file descriptors, most likely. Without a pause the loop
            // would take a whole core until some are free again.
            smol::Timer::after(ACCEPT_AGAIN).await;
            continue;
        };
        let _ = stream.set_nodelay(true);
        let served = handler(stream, remote);
        spawn(async move {
            served.await;
            drop(slot);
        })
        .detach();
    }
    drop(listener);
    // All slots free again means that every connection has ended.
    for _ in 0..connections {
        slots.acquire_arc().await.forget();
    }
}
