//! Graceful shutdown: one trigger, many waiting tasks, one deadline.

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

/// SIGTERM and SIGINT, which ask a process to stop, and SIGHUP, which tells that
/// the settings have changed.
#[derive(Debug)]
pub struct ProcessSignals {
    signals: Signals,
}

/// How a graceful shutdown ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ShutdownOutcome {
    /// Nothing was left to finish.
    Finished,
    /// The deadline came first.
    DeadlinePassed,
    /// The process was asked to stop a second time and did not wait any longer.
    SecondSignal,
}

impl ProcessSignals {
    /// Takes the signals over; from now on they no longer end the process by themselves.
    pub fn listen() -> anyhow::Result<Self> {
        let signals = Signals::new([Signal::Term, Signal::Int, Signal::Hup])
            .context("cannot listen for signals")?;
        Ok(Self { signals })
    }

    /// Completes when the process is asked to stop.
    pub async fn wait(&mut self) {
        self.wait_or_reload(|| {}).await;
    }

    /// Completes when the process is asked to stop; calls `reload` whenever it is
    /// told that the settings have changed.
    pub async fn wait_or_reload(&mut self, mut reload: impl FnMut()) {
        while let Some(Ok(Signal::Hup)) = self.signals.next().await {
            reload();
        }
    }

    /// Runs `drain` to its end, to `deadline`, or until the process is asked again.
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
    /// An error if requests were cut off; it tells how many.
    pub fn into_result(self, in_progress: u32) -> anyhow::Result<()> {
        let cause = match self {
            Self::Finished => return Ok(()),
            Self::DeadlinePassed => "the deadline of the shutdown passed",
            Self::SecondSignal => "the process was asked to stop a second time",
        };
        anyhow::bail!("{cause}; {in_progress} requests in progress were cut off")
    }
}
