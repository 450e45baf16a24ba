//! Connection to one agent, with the attempts in progress on it.

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

/// Longest wait for space in the queue to an agent.
const MAX_QUEUE_TIME: Duration = Duration::from_millis(250);

/// A connection to an agent.
pub(crate) struct AgentLink {
    /// Instance of the agent.
    pub(crate) instance: InstanceId,
    /// Incarnation of the agent's process.
    pub(crate) incarnation: u64,
    /// Sender of messages to the agent.
    pub(crate) sender: WireSender,
    attempts: AtomicU64,
    receivers: Mutex<HashMap<u64, Sender<RequestMessage>>>,
}

/// One attempt in progress; dropping it cancels the run at the agent.
pub(crate) struct LinkStream {
    link: Arc<AgentLink>,
    attempt: u64,
    messages: Receiver<RequestMessage>,
    ended: bool,
}

impl AgentLink {
    /// Creates a connection without attempts.
    pub(crate) fn new(instance: InstanceId, incarnation: u64, sender: WireSender) -> Self {
        Self {
            instance,
            incarnation,
            sender,
            attempts: AtomicU64::new(0),
            receivers: Mutex::default(),
        }
    }

    /// Sends a request; after an error, nothing was sent and nothing will be.
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
        // The queue is full when the agent is paused or its link stalls. Cancelling the send
        // removes the message from the queue, so it is never sent.
        let sent = timeout(span, self.sender.send(message)).await;
        match sent {
            Some(Ok(())) => return Ok(stream),
            Some(Err(_)) | None => stream.discard(),
        }
        Err(NotRunReason::ConnectFailed)
    }

    /// Passes a message from the agent to the attempt that it belongs to.
    pub(crate) fn deliver(&self, message: RequestMessage) {
        // An abandoned attempt has no receiver. Dropping its messages keeps a late response from
        // reaching another caller.
        if let Some(receivers) = self.receivers().get(&message.attempt()) {
            let _ = receivers.try_send(message);
        }
    }

    /// Ends all attempts after the connection was lost.
    pub(crate) fn close(&self) {
        self.sender.close();
        self.receivers().clear();
    }

    fn receivers(&self) -> MutexGuard<'_, HashMap<u64, Sender<RequestMessage>>> {
        self.receivers.lock().unwrap_or_else(|poison| poison.into_inner())
    }
}

impl LinkStream {
    /// Returns the next message; `None` once the connection is lost.
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

    /// Allows the agent to send `bytes` more.
    ///
    /// Waits for space in the queue: a lost credit would stall the rest of the response until its
    /// deadline.
    pub(crate) async fn grant_credit(&self, bytes: usize) {
        let message = RequestMessage::Credit { attempt: self.attempt, bytes: bytes as u32 };
        let _ = self.link.sender.send(message).await;
    }

    /// Drops an attempt of which nothing was sent, without a cancel message.
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
            // The queue is full. Without the cancel, an engine would continue a run whose caller is
            // gone.
            let sender = self.link.sender.clone();
            spawn(async move {
                let _ = sender.send(cancel).await;
            })
            .detach();
        }
    }
}
