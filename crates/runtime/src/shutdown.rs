//! Process signals and graceful shutdown with a deadline.

use std::{future::Future, pin::pin};

use anyhow::Context;
use async_signal::{Signal, Signals};
use cassiawheel_model::{Deadline, Timestamp};
use futures_util::{
    StreamExt,
    future::{Either, select},
};
use smol::channel::{Receiver, Sender, bounded};

use crate::timeout;

/// Triggers the shutdown of a process.
#[derive(Debug, Clone)]
pub struct ShutdownTrigger {
    sender: Sender<()>,
}

/// Notifies tasks of the shutdown of the process.
#[derive(Debug, Clone)]
pub struct ShutdownSignal {
    receiver: Receiver<()>,
}

impl ShutdownTrigger {
    /// Creates a trigger and its signal.
    pub fn new() -> (Self, ShutdownSignal) {
        let (sender, receiver) = bounded(1);
        (Self { sender }, ShutdownSignal { receiver })
    }

    /// Triggers the shutdown; further calls have no effect.
    pub fn fire(&self) {
        self.sender.close();
    }
}

impl ShutdownSignal {
    /// Completes when the shutdown is triggered.
    pub async fn wait(&self) {
        while self.receiver.recv().await.is_ok() {}
    }

    /// Whether the shutdown has been triggered.
    pub fn is_set(&self) -> bool {
        self.receiver.is_closed()
    }
}

/// Receives SIGTERM and SIGINT, which stop the process, and SIGHUP, which reloads its settings.
#[derive(Debug)]
pub struct ProcessSignals {
    signals: Signals,
}

/// Outcome of a graceful shutdown.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ShutdownOutcome {
    /// All work was finished.
    Finished,
    /// The deadline passed before all work was finished.
    DeadlinePassed,
    /// A second stop signal aborted the shutdown.
    SecondSignal,
}

impl ProcessSignals {
    /// Registers handlers for the signals, which then no longer terminate the process by default.
    pub fn listen() -> anyhow::Result<Self> {
        let signals = Signals::new([Signal::Term, Signal::Int, Signal::Hup])
            .context("cannot listen for signals")?;
        Ok(Self { signals })
    }

    /// Completes when a stop signal arrives.
    pub async fn wait(&mut self) {
        self.wait_or_reload(|| {}).await;
    }

    /// Completes when a stop signal arrives; calls `reload` for each SIGHUP before it.
    pub async fn wait_or_reload(&mut self, mut reload: impl FnMut()) {
        while let Some(Ok(Signal::Hup)) = self.signals.next().await {
            reload();
        }
    }

    /// Runs `drain` until it completes, `deadline` passes or a stop signal arrives.
    pub async fn drain_until(
        &mut self,
        deadline: Deadline,
        drain: impl Future<Output = ()>,
    ) -> ShutdownOutcome {
        let drained = timeout(deadline.remaining(Timestamp::now()), drain);
        match select(pin!(drained), pin!(self.wait())).await {
            Either::Left((Some(()), _)) => ShutdownOutcome::Finished,
            Either::Left((None, _)) => ShutdownOutcome::DeadlinePassed,
            Either::Right(_) => ShutdownOutcome::SecondSignal,
        }
    }
}

impl ShutdownOutcome {
    /// Returns an error with the number of aborted requests unless all work was finished.
    pub fn into_result(self, in_progress: u32) -> anyhow::Result<()> {
        let cause = match self {
            Self::Finished => return Ok(()),
            Self::DeadlinePassed => "the shutdown deadline passed",
            Self::SecondSignal => "a second stop signal arrived",
        };
        anyhow::bail!("{cause}; {in_progress} requests in progress were aborted")
    }
}
