//! Stand-in of the links between instances: a TCP relay in front of each inner address.
//!
//! Processes connect from the address of their own instance, so a relay identifies
//! the link of a connection by its two addresses and applies the faults of that link.

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

/// Interval at which a severed link is checked again, and wait after a failed accept.
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Size of the copy buffer, in bytes.
const BUFFER_BYTES: usize = 64 << 10;

/// Kind of fault of a link.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LinkTrouble {
    /// Transfers nothing but leaves connections open, as when a switch drops packets.
    Severed,
    /// Transfers nothing that leaves the faulty side, but everything that it receives.
    SeveredOut,
    /// Delays each piece of at most 64 KiB by this time.
    Slow(Duration),
    /// Limits each direction of a connection to this many bytes per second.
    Narrow(u64),
    /// Closes each connection on the next byte.
    Reset,
}

/// Link faults that are active now.
#[derive(Debug, Default)]
pub struct LinkFaults {
    faults: Mutex<Vec<LinkFault>>,
}

/// One direction of a link.
#[derive(Debug, Clone, Copy)]
struct LinkEnds {
    from: IpAddr,
    to: IpAddr,
}

#[derive(Debug)]
struct LinkFault {
    id: usize,
    side: BTreeSet<IpAddr>,
    trouble: LinkTrouble,
}

impl LinkEnds {
    fn reversed(self) -> Self {
        Self { from: self.to, to: self.from }
    }
}

impl LinkFault {
    fn touches(&self, ends: LinkEnds) -> bool {
        let (leaves, stays) = (self.side.contains(&ends.from), self.side.contains(&ends.to));
        match self.trouble {
            LinkTrouble::SeveredOut => leaves && !stays,
            _ => leaves != stays,
        }
    }
}

impl LinkFaults {
    /// Applies `trouble` to each link between an instance in `side` and one outside it.
    pub fn begin(&self, id: usize, side: BTreeSet<IpAddr>, trouble: LinkTrouble) {
        self.lock().push(LinkFault { id, side, trouble });
    }

    /// Removes the faults that were added under `id`.
    pub fn end(&self, id: usize) {
        self.lock().retain(|fault| fault.id != id);
    }

    fn troubles(&self, ends: LinkEnds) -> Vec<LinkTrouble> {
        let faults = self.lock();
        faults.iter().filter(|fault| fault.touches(ends)).map(|fault| fault.trouble).collect()
    }

    /// Waits as long as the faults of the link delay a transfer of `bytes`; false if the
    /// connection has to be closed.
    async fn carry(&self, ends: LinkEnds, bytes: usize) -> bool {
        let severs = |trouble: &LinkTrouble| {
            matches!(trouble, LinkTrouble::Severed | LinkTrouble::SeveredOut)
        };
        let mut troubles = self.troubles(ends);
        while troubles.iter().any(severs) {
            Timer::after(POLL_INTERVAL).await;
            troubles = self.troubles(ends);
        }
        for trouble in troubles {
            match trouble {
                LinkTrouble::Severed | LinkTrouble::SeveredOut => {}
                LinkTrouble::Slow(span) => drop(Timer::after(span).await),
                LinkTrouble::Narrow(rate) => {
                    let span = Duration::from_secs_f64(bytes as f64 / rate.max(1) as f64);
                    Timer::after(span).await;
                }
                LinkTrouble::Reset => return false,
            }
        }
        true
    }

    fn lock(&self) -> MutexGuard<'_, Vec<LinkFault>> {
        self.faults.lock().unwrap_or_else(|poison| poison.into_inner())
    }
}

/// Relays connections from `listen` to `target` until the task is dropped.
pub async fn relay(
    listen: SocketAddr,
    target: SocketAddr,
    faults: Arc<LinkFaults>,
) -> std::io::Result<Task<()>> {
    let listener = TcpListener::bind(listen).await?;
    Ok(spawn(async move {
        loop {
            let Ok((stream, remote)) = listener.accept().await else {
                Timer::after(POLL_INTERVAL).await;
                continue;
            };
            spawn(join(stream, remote.ip(), target, faults.clone())).detach();
        }
    }))
}

/// Connects `near` to `target` and copies both ways until either direction ends.
async fn join(near: TcpStream, from: IpAddr, target: SocketAddr, faults: Arc<LinkFaults>) {
    let ends = LinkEnds { from, to: target.ip() };
    if !faults.carry(ends, 0).await {
        return;
    }
    let Ok(far) = TcpStream::connect(target).await else {
        return;
    };
    let _ = near.set_nodelay(true);
    let _ = far.set_nodelay(true);
    let out = copy(near.clone(), far.clone(), ends, &faults);
    let back = copy(far, near, ends.reversed(), &faults);
    select(pin!(out), pin!(back)).await;
}

async fn copy(mut from: TcpStream, mut to: TcpStream, ends: LinkEnds, faults: &LinkFaults) {
    let mut buffer = vec![0; BUFFER_BYTES];
    while let Ok(count) = from.read(&mut buffer).await
        && count > 0
    {
        if !faults.carry(ends, count).await || to.write_all(&buffer[..count]).await.is_err() {
            return;
        }
    }
    faults.carry(ends, 0).await;
}
