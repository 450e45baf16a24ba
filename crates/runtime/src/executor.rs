//! The executor shared by all tasks of a process.
//!
//! `smol`'s global executor takes its number of threads from an environment
//! variable; this one takes it from the caller, so that a process does not depend
//! on its environment.

use std::{
    future::{Future, pending},
    thread,
    time::Duration,
};

use smol::{Executor, Task, Timer, future::FutureExt};

static EXECUTOR: Executor<'static> = Executor::new();

/// Spawns `task` on the executor. Dropping the handle cancels the task; call `detach` to keep
/// it running.
pub fn spawn<T: Send + 'static>(task: impl Future<Output = T> + Send + 'static) -> Task<T> {
    EXECUTOR.spawn(task)
}

/// Runs `main` to completion on this thread, with `threads - 1` further threads for tasks.
pub fn run<T>(threads: usize, main: impl Future<Output = T>) -> std::io::Result<T> {
    for index in 1..threads {
        thread::Builder::new()
            .name(format!("worker-{index}"))
            .spawn(|| smol::block_on(EXECUTOR.run(pending::<()>())))?;
    }
    Ok(smol::block_on(EXECUTOR.run(main)))
}

/// Returns the result of `task`, or `None` if it takes longer than `span`.
pub async fn timeout<T>(span: Duration, task: impl Future<Output = T>) -> Option<T> {
    let finished = async { Some(task.await) };
    let expired = async {
        Timer::after(span).await;
        None
    };
    finished.or(expired).await
}
