//! Stand-in of the links between instances: a relay before each inner address.
//!
//! The system's processes dial from their own instance's address, so a relay
//! can tell which link a connection uses, and what is wrong with it now.

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

/// What is wrong with a link.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LinkTrouble {
    /// It carries nothing but is not closed, as when a switch drops packets.
    Severed,
    /// What leaves the side that has the trouble is not carried; what comes is.
    SeveredOut,
    /// Each piece, of at most 64 KiB, waits for this long.
    Slow(Duration),
    /// Each connection carries at most so many bytes a second in each direction.
    Narrow(u64),
    /// Each connection ends with the next byte.
    Reset,
}

/// The links with which something is wrong now.
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
    /// Brings `trouble` to each link between an instance of `side` and another one.
    pub fn begin(&self, id: usize, side: BTreeSet<IpAddr>, trouble: LinkTrouble) {
        self.lock().push(LinkFault { id, side, trouble });
    }

    /// Ends the trouble of `id`.
    pub fn end(&self, id: usize) {
        self.lock().retain(|fault| fault.id != id);
    }

    fn troubles(&self, ends: LinkEnds) -> Vec<LinkTrouble> {
        let faults = self.lock();
        faults.iter().filter(|fault| fault.touches(ends)).map(|fault| fault.trouble).collect()
    }

    /// Completes once the link has carried `bytes`; false if it resets the connection.
    async fn carry(&self, ends: LinkEnds, bytes: usize) -> bool {
        let severs = |trouble: &LinkTrouble| {
            matches!(trouble, LinkTrouble::Severed | LinkTrouble::SeveredOut)
        };
        let mut troubles = self.troubles(ends);
        while troubles.iter().any(severs) {
            Timer::after(LOOK_AGAIN).await;
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
                Timer::after(LOOK_AGAIN).await;
                continue;
            };
            spawn(join(stream, remote.ip(), target, faults.clone())).detach();
        }
    }))
}

/// Joins one connection; when either end closes, so does the other.
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
