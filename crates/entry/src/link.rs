//! The connection to one agent, and the attempts that are under way on it.

use std::{
    collections::HashMap,
    sync::{
        Arc, Mutex, MutexGuard,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use cassiawheel_model::{InstanceId, NotRunReason, RequestHead, Timestamp};
use cassiawheel_runtime::{spawn, timeout};
use cassiawheel_wire::{RequestMessage, WireSender};
use smol::channel::{Receiver, Sender, unbounded};

/// Longest wait for room in the queue to an agent.
const MAX_QUEUE_TIME: Duration = Duration::from_millis(250);

/// A connection to an agent.
pub(crate) struct AgentLink {
    /// The agent's instance.
    pub(crate) instance: InstanceId,
    /// The agent's process.
    pub(crate) incarnation: u64,
    /// Messages to the agent.
    pub(crate) sender: WireSender,
    attempts: AtomicU64,
    receivers: Mutex<HashMap<u64, Sender<RequestMessage>>>,
}

/// One attempt under way; dropping it tells the agent that nobody waits for it.
pub(crate) struct LinkStream {
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
            receivers: Mutex::default(),
        }
    }

    /// Sends a request; the error tells why nothing was sent and never will be.
    pub(crate) async fn dispatch(
        self: &Arc<Self>,
        head: RequestHead,
        body: &Bytes,
    ) -> Result<LinkStream, NotRunReason> {
        let span = head.deadline.remaining(Timestamp::now()).min(MAX_QUEUE_TIME);
        let attempt = self.attempts.fetch_add(1, Ordering::Relaxed);
        let (sender, messages) = unbounded();
        self.receivers().insert(attempt, sender);
        let stream = LinkStream { link: self.clone(), attempt, messages, ended: false };
        let message =
            RequestMessage::Dispatch { attempt, head: Box::new(head), body: body.to_vec() };
        // The queue is full when the agent is paused or its link stalls. Giving
        // up the send takes the message out of the queue, so it never leaves.
        let sent = timeout(span, self.sender.send(message)).await;
        match sent {
            Some(Ok(())) => return Ok(stream),
            Some(Err(_)) | None => stream.discard(),
        }
        Err(NotRunReason::ConnectFailed)
    }

    /// Hands a message of the agent to the attempt that it belongs to.
    pub(crate) fn deliver(&self, message: RequestMessage) {
        // A message of an abandoned attempt has no receiver any more; dropping
        // it keeps a late answer from reaching another caller.
        if let Some(receivers) = self.receivers().get(&message.attempt()) {
            let _ = receivers.try_send(message);
        }
    }

    /// Ends all attempts: the connection is gone.
    pub(crate) fn close(&self) {
        self.sender.close();
        self.receivers().clear();
    }

    fn receivers(&self) -> MutexGuard<'_, HashMap<u64, Sender<RequestMessage>>> {
        self.receivers.lock().unwrap_or_else(|poison| poison.into_inner())
    }
}

impl LinkStream {
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
    ///
    /// Waits for room in the queue: a credit that is lost would stall the rest
    /// of the answer until its deadline.
    pub(crate) async fn grant_credit(&self, bytes: usize) {
        let message = RequestMessage::Credit { attempt: self.attempt, bytes: bytes as u32 };
        let _ = self.link.sender.send(message).await;
    }

    /// Forgets an attempt of which nothing was sent.
    fn discard(mut self) {
        self.ended = true;
    }
}

impl Drop for LinkStream {
    fn drop(&mut self) {
        self.link.receivers().remove(&self.attempt);
        if self.ended {
            return;
        }
        let cancel = RequestMessage::Cancel { attempt: self.attempt };
        if let Ok(false) = self.link.sender.try_send(cancel.clone()) {
            // The queue is full. Without the cancel an engine would go on with
            // a run that nobody waits for.
            let sender = self.link.sender.clone();
            spawn(async move {
                let _ = sender.send(cancel).await;
            })
            .detach();
        }
    }
}
