//! The executor that all tasks of a process share.
//!
//! `smol`'s global executor takes its number of threads from the environment;
//! this one takes it from the caller, so that a process behaves the same
//! wherever it is started.

use std::{
    future::{Future, pending},
    thread,
    time::Duration,
};

use smol::{Executor, Task, Timer, future::FutureExt};

static EXECUTOR: Executor<'static> = Executor::new();

/// Starts `task` on the executor. Dropping the handle cancels the task; call
/// `detach` to let it run on.
pub fn spawn<T: Send + 'static>(task: impl Future<Output = T> + Send + 'static) -> Task<T> {
    EXECUTOR.spawn(task)
}

/// Runs `main` to its end on this thread, with `threads - 1` further ones for other tasks.
pub fn run<T>(threads: usize, main: impl Future<Output = T>) -> std::io::Result<T> {
    for index in 1..threads {
        thread::Builder::new()
            .name(format!("worker-{index}"))
            .spawn(|| smol::block_on(EXECUTOR.run(pending::<()>())))?;
    }
    Ok(smol::block_on(EXECUTOR.run(main)))
}

/// Result of `task`, or `None` once `span` has passed.
pub async fn timeout<T>(span: Duration, task: impl Future<Output = T>) -> Option<T> {
    let finished = async { Some(task.await) };
    let expired = async {
        Timer::after(span).await;
        None
    };
    finished.or(expired).await
}
