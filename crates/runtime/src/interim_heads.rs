//! Bound on the interim responses (1xx) before a response.
//!
//! The HTTP library reads over them without a bound, as long as they arrive.

use std::{
    future::pending,
    sync::atomic::{AtomicU32, Ordering},
};

use hyper::{Request, ext::on_informational};
use smol::channel::{Receiver, bounded};

/// Most interim responses before a response.
const MAX_INTERIM_HEADS: u32 = 16;

/// Watches for too many interim responses to a request.
pub struct InterimWatch {
    exceeded: Receiver<()>,
}

impl InterimWatch {
    /// Counts the interim responses to `request`, which is not sent yet.
    pub fn attach<B>(request: &mut Request<B>) -> Self {
        let (sender, exceeded) = bounded(1);
        let count = AtomicU32::new(0);
        on_informational(request, move |_| {
            if count.fetch_add(1, Ordering::Relaxed) == MAX_INTERIM_HEADS {
                let _ = sender.try_send(());
            }
        });
        Self { exceeded }
    }

    /// Waits until there are too many; never returns if there are not.
    pub async fn exceeded(&self) {
        if self.exceeded.recv().await.is_err() {
            // The response has arrived, or the connection ended.
            pending().await
        }
    }
}
