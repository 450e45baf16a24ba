//! In-process replacements for the services and processes around the system under test.

pub mod engine;
pub mod instances;
pub mod layer_agent;
pub mod layer_engine;
pub mod limited_origin;
pub mod link;
pub mod origin;
pub mod peer;
pub mod plain;
pub mod replica;
pub mod rows;
pub mod table;

use std::{
    collections::HashMap,
    future::Future,
    net::{Ipv4Addr, Shutdown, SocketAddr},
    sync::Arc,
};

use cassiawheel_runtime::{
    ShutdownSignal, ShutdownTrigger,
    http::{ListenerLimits, ReplyBody, serve},
    spawn,
};
use hyper::{Request, Response, StatusCode, Uri, body::Incoming};
use smol::net::TcpListener;
use socket2::SockRef;

use crate::FaultSwitches;

/// An address to listen at later, on a random loopback host.
///
/// The port is below those that the kernel chooses, so it is not taken in the meantime, which can
/// happen to the port of a listener that was closed again.
pub fn unused_addr() -> SocketAddr {
    let octet = || rand::random_range(1..=250);
    SocketAddr::from((Ipv4Addr::new(127, octet(), octet(), octet()), 7_001))
}

/// Handle of a listening stand-in, which stops when the handle is dropped.
#[derive(Debug)]
pub struct RunningStandIn {
    /// Address on which it listens.
    pub addr: SocketAddr,
    listener: TcpListener,
    trigger: ShutdownTrigger,
}

impl Drop for RunningStandIn {
    fn drop(&mut self) {
        // The accept loop closes its listener only when it runs next. Connections have to be refused
        // from now on, as after the end of a process.
        if let Err(error) = SockRef::from(&self.listener).shutdown(Shutdown::Both) {
            log::warn!(target: "stand-in", addr:% = self.addr, cause:% = error; "Cannot close a listener.");
        }
        self.trigger.fire();
    }
}

/// Serves `handler` at `addr`, with the faults that are set in `switches`.
async fn start<H, F>(
    addr: SocketAddr,
    switches: Arc<FaultSwitches>,
    handler: H,
) -> std::io::Result<RunningStandIn>
where
    H: Fn(Request<Incoming>) -> F + Send + Sync + 'static,
    F: Future<Output = Response<ReplyBody>> + Send + 'static,
{
    let listener = TcpListener::bind(addr).await?;
    let addr = listener.local_addr()?;
    let (trigger, shutdown): (ShutdownTrigger, ShutdownSignal) = ShutdownTrigger::new();
    let limits = ListenerLimits { connections: 4_096, ..ListenerLimits::default() };
    let handler = Arc::new(handler);
    spawn(serve(listener.clone(), limits, shutdown, move |request, _| {
        let (switches, handler) = (switches.clone(), handler.clone());
        async move {
            let delay = switches.delay();
            if !delay.is_zero() {
                smol::Timer::after(delay).await;
            }
            if switches.is_down() {
                return empty_reply(StatusCode::SERVICE_UNAVAILABLE);
            }
            let reply = handler(request).await;
            if switches.loses_answers() {
                // The call took effect, but its caller gets no answer.
                return broken_reply();
            }
            reply
        }
    }))
    .detach();
    Ok(RunningStandIn { addr, listener, trigger })
}

/// Parses the query string into names and values, without percent-decoding.
fn query_of(uri: &Uri) -> HashMap<String, String> {
    let pairs = uri.query().unwrap_or_default().split('&').filter_map(|pair| pair.split_once('='));
    pairs.map(|(name, value)| (name.to_owned(), value.to_owned())).collect()
}

/// A reply without a body.
fn empty_reply(status: StatusCode) -> Response<ReplyBody> {
    let mut reply = Response::new(cassiawheel_runtime::http::full_body(""));
    *reply.status_mut() = status;
    reply
}

/// A reply whose body fails on the first read, which closes the connection.
fn broken_reply() -> Response<ReplyBody> {
    use futures_util::stream;
    use http_body_util::{BodyExt, StreamBody};
    let cut = stream::once(async { Err(std::io::Error::other("answer lost")) });
    Response::new(BodyExt::boxed(StreamBody::new(cut)))
}
