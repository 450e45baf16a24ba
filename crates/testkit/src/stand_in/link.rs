//! Stand-in of the links between instances: a relay before each inner address.
//!
//! The system's processes dial from their own instance's address, so a relay
//! can tell which link a connection uses. A severed link carries nothing but
//! is not closed, as when a switch drops packets.

use std::{
    collections::BTreeSet,
    net::{IpAddr, SocketAddr},
    pin::pin,
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};

use cassiawheel_runtime::spawn;
use futures_util::future::select;
use smol::{
    Task, Timer,
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
};

/// Wait before a severed link is looked at again.
const LOOK_AGAIN: Duration = Duration::from_millis(10);
/// Bytes carried at a time.
const BUFFER_BYTES: usize = 64 << 10;

/// The links that carry nothing now.
#[derive(Debug, Default)]
pub struct LinkCuts {
    cuts: Mutex<Vec<LinkCut>>,
}

/// The two ends of a link.
#[derive(Debug, Clone, Copy)]
struct LinkEnds {
    from: IpAddr,
    to: IpAddr,
}

#[derive(Debug)]
struct LinkCut {
    id: usize,
    side: BTreeSet<IpAddr>,
}

impl LinkCuts {
    /// Severs each link between an instance of `side` and another one.
    pub fn sever(&self, id: usize, side: BTreeSet<IpAddr>) {
        self.lock().push(LinkCut { id, side });
    }

    /// Lets the links of `id` carry again.
    pub fn restore(&self, id: usize) {
        self.lock().retain(|cut| cut.id != id);
    }

    fn severs(&self, ends: LinkEnds) -> bool {
        let cuts = self.lock();
        cuts.iter().any(|cut| cut.side.contains(&ends.from) != cut.side.contains(&ends.to))
    }

    fn lock(&self) -> MutexGuard<'_, Vec<LinkCut>> {
        self.cuts.lock().unwrap_or_else(|poison| poison.into_inner())
    }
}

/// Relays connections from `listen` to `target` until the task is dropped.
pub async fn relay(
    listen: SocketAddr,
    target: SocketAddr,
    cuts: Arc<LinkCuts>,
) -> std::io::Result<Task<()>> {
    let listener = TcpListener::bind(listen).await?;
    Ok(spawn(async move {
        loop {
            let Ok((stream, remote)) = listener.accept().await else {
                Timer::after(LOOK_AGAIN).await;
                continue;
            };
            spawn(join(stream, remote.ip(), target, cuts.clone())).detach();
        }
    }))
}

/// Joins one connection; when either end closes, so does the other.
async fn join(near: TcpStream, from: IpAddr, target: SocketAddr, cuts: Arc<LinkCuts>) {
    let ends = LinkEnds { from, to: target.ip() };
    carried(&cuts, ends).await;
    let Ok(far) = TcpStream::connect(target).await else {
        return;
    };
    let _ = near.set_nodelay(true);
    let _ = far.set_nodelay(true);
    let out = copy(near.clone(), far.clone(), ends, &cuts);
    let back = copy(far, near, ends, &cuts);
    select(pin!(out), pin!(back)).await;
}

async fn copy(mut from: TcpStream, mut to: TcpStream, ends: LinkEnds, cuts: &LinkCuts) {
    let mut buffer = vec![0; BUFFER_BYTES];
    while let Ok(count) = from.read(&mut buffer).await
        && count > 0
    {
        carried(cuts, ends).await;
        if to.write_all(&buffer[..count]).await.is_err() {
            return;
        }
    }
    carried(cuts, ends).await;
}

/// Completes once the link carries.
async fn carried(cuts: &LinkCuts, ends: LinkEnds) {
    while cuts.severs(ends) {
        Timer::after(LOOK_AGAIN).await;
    }
}
