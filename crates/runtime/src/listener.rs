//! Accepts a limited number of concurrent connections.

use std::{future::Future, net::SocketAddr, pin::pin, sync::Arc, time::Duration};

use futures_util::future::{Either, select};
use smol::{
    lock::Semaphore,
    net::{TcpListener, TcpStream},
};

use crate::{ShutdownSignal, spawn};

/// Delay after a failed `accept`.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Accepts connections until `shutdown`, then waits for the open ones to end.
///
/// At most `connections` are open at a time; further ones wait in the kernel's accept queue. A
/// slot is acquired before a connection is accepted, so that every accepted connection is
/// served. The wait for a slot is cancelled by `shutdown`, so that a full listener cannot delay
/// the shutdown.
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
            // The process is probably out of file descriptors. Without a delay the loop would
            // occupy a core until some are free.
            smol::Timer::after(ACCEPT_RETRY_DELAY).await;
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
    // When all slots are free, every connection has ended.
    for _ in 0..connections {
        slots.acquire_arc().await.forget();
    }
}
