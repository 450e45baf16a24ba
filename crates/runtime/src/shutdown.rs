//! Graceful shutdown: one trigger, many waiting tasks.

use anyhow::Context;
use async_signal::{Signal, Signals};
use futures_util::StreamExt;
use smol::channel::{Receiver, Sender, bounded};

/// Starts the shutdown of a process.
#[derive(Debug, Clone)]
pub struct ShutdownTrigger {
    sender: Sender<()>,
}

/// Tells tasks that the process shuts down.
#[derive(Debug, Clone)]
pub struct ShutdownSignal {
    receiver: Receiver<()>,
}

impl ShutdownTrigger {
    /// A trigger and the signal that it sets off.
    pub fn new() -> (Self, ShutdownSignal) {
        let (sender, receiver) = bounded(1);
        (Self { sender }, ShutdownSignal { receiver })
    }

    /// Sets the signal off; further calls do nothing.
    pub fn fire(&self) {
        self.sender.close();
    }
}

impl ShutdownSignal {
    /// Completes once the signal is set off.
    pub async fn wait(&self) {
        while self.receiver.recv().await.is_ok() {}
    }

    /// Whether the signal has been set off.
    pub fn is_set(&self) -> bool {
        self.receiver.is_closed()
    }
}

/// Completes when the process is asked to stop by SIGTERM or SIGINT.
pub async fn termination() -> anyhow::Result<()> {
    let mut signals =
        Signals::new([Signal::Term, Signal::Int]).context("cannot listen for signals")?;
    signals.next().await;
    Ok(())
}
