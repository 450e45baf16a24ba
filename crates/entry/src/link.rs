//! The connection to one agent, and the attempts that are under way on it.

use std::{
    collections::HashMap,
    sync::{
        Arc, Mutex, MutexGuard,
        atomic::{AtomicU64, Ordering},
    },
};

use bytes::Bytes;
use cassiawheel_model::{InstanceId, RequestHead};
use cassiawheel_wire::{RequestMessage, WireSender};
use smol::channel::{Receiver, Sender, unbounded};

/// A connection to an agent.
pub(crate) struct AgentLink {
    /// The agent's instance.
    pub(crate) instance: InstanceId,
    /// The agent's process.
    pub(crate) incarnation: u64,
    /// Messages to the agent.
    pub(crate) sender: WireSender,
    attempts: AtomicU64,
    waiting: Mutex<HashMap<u64, Sender<RequestMessage>>>,
}

/// One attempt under way; dropping it tells the agent that nobody waits for it.
pub(crate) struct AttemptStream {
    link: Arc<AgentLink>,
    attempt: u64,
    messages: Receiver<RequestMessage>,
    ended: bool,
}

impl AgentLink {
    /// A connection without attempts.
    pub(crate) fn new(instance: InstanceId, incarnation: u64, sender: WireSender) -> Self {
        Self {
            instance,
            incarnation,
            sender,
            attempts: AtomicU64::new(0),
            waiting: Mutex::default(),
        }
    }

    /// Sends a request; `None` if nothing was sent.
    pub(crate) async fn dispatch(
        self: &Arc<Self>,
        head: RequestHead,
        body: &Bytes,
    ) -> Option<AttemptStream> {
        let attempt = self.attempts.fetch_add(1, Ordering::Relaxed);
        let (sender, messages) = unbounded();
        self.waiting().insert(attempt, sender);
        let stream = AttemptStream { link: self.clone(), attempt, messages, ended: false };
        let message =
            RequestMessage::Dispatch { attempt, head: Box::new(head), body: body.to_vec() };
        match self.sender.send(message).await {
            Ok(()) => Some(stream),
            Err(_) => None,
        }
    }

    /// Hands a message of the agent to the attempt that it belongs to.
    pub(crate) fn deliver(&self, message: RequestMessage) {
        // A message of an abandoned attempt has no receiver any more; dropping
        // it keeps a late answer from reaching another caller.
        if let Some(waiting) = self.waiting().get(&message.attempt()) {
            let _ = waiting.try_send(message);
        }
    }

    /// Ends all attempts: the connection is gone.
    pub(crate) fn close(&self) {
        self.sender.close();
        self.waiting().clear();
    }

    fn waiting(&self) -> MutexGuard<'_, HashMap<u64, Sender<RequestMessage>>> {
        self.waiting.lock().unwrap_or_else(|poison| poison.into_inner())
    }
}

impl AttemptStream {
    /// The next message; `None` once the connection is gone.
    pub(crate) async fn next(&mut self) -> Option<RequestMessage> {
        let message = self.messages.recv().await.ok()?;
        self.ended = matches!(
            message,
            RequestMessage::End { .. }
                | RequestMessage::Refused { .. }
                | RequestMessage::Failed { .. }
        );
        Some(message)
    }

    /// Lets the agent send `bytes` more.
    pub(crate) fn grant(&self, bytes: usize) {
        let message = RequestMessage::Credit { attempt: self.attempt, bytes: bytes as u32 };
        let _ = self.link.sender.try_send(message);
    }
}

impl Drop for AttemptStream {
    fn drop(&mut self) {
        self.link.waiting().remove(&self.attempt);
        if !self.ended {
            let _ = self.link.sender.try_send(RequestMessage::Cancel { attempt: self.attempt });
        }
    }
}
