//! Processes of the system under test, started and stopped by the test kit.

use std::{
    io,
    path::{Path, PathBuf},
    process::{Child, Command, ExitStatus, Stdio},
    time::{Duration, Instant},
};

use smol::Timer;

/// Handle of a child process, which is killed when the handle is dropped.
#[derive(Debug)]
pub struct ChildProcess {
    name: String,
    child: Child,
}

impl ChildProcess {
    /// Starts `binary serve --config CONFIG`; its output is written to `log`.
    pub fn start(name: &str, binary: &Path, config: &Path, log: &Path) -> io::Result<Self> {
        let log = std::fs::File::create(log)?;
        let child = Command::new(binary)
            .args(["serve", "--config"])
            .arg(config)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        Ok(Self { name: name.to_owned(), child })
    }

    /// Starts `binary serve` with the settings file that the platform writes.
    pub fn start_on_platform(
        name: &str,
        binary: &Path,
        settings: &Path,
        log: &Path,
    ) -> io::Result<Self> {
        let log = std::fs::File::create(log)?;
        let child = Command::new(binary)
            .arg("serve")
            .env("CASSIAWHEEL_BOOT", settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        Ok(Self { name: name.to_owned(), child })
    }

    /// Name of the process in reports.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Kills the process with SIGKILL.
    pub fn kill(&mut self) -> io::Result<()> {
        self.child.kill()?;
        self.child.wait()?;
        Ok(())
    }

    /// Sends SIGTERM, which starts a graceful shutdown.
    pub fn terminate(&self) -> io::Result<()> {
        self.signal("TERM")
    }

    /// Suspends the process with SIGSTOP.
    pub fn pause(&self) -> io::Result<()> {
        self.signal("STOP")
    }

    /// Resumes the process with SIGCONT.
    pub fn resume(&self) -> io::Result<()> {
        self.signal("CONT")
    }

    /// Waits at most `span` for the process to exit, without blocking the executor's thread.
    pub async fn wait(&mut self, span: Duration) -> io::Result<Option<ExitStatus>> {
        let end = Instant::now() + span;
        loop {
            if let Some(status) = self.child.try_wait()? {
                return Ok(Some(status));
            }
            if Instant::now() >= end {
                return Ok(None);
            }
            Timer::after(Duration::from_millis(10)).await;
        }
    }

    fn signal(&self, name: &str) -> io::Result<()> {
        let status =
            Command::new("kill").arg(format!("-{name}")).arg(self.id().to_string()).status()?;
        if status.success() {
            Ok(())
        } else {
            Err(io::Error::other(format!("kill -{name} failed")))
        }
    }
}

impl Drop for ChildProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Path of the binary `name` in the target folder of the running program.
pub fn binary_path(name: &str) -> io::Result<PathBuf> {
    let own = std::env::current_exe()?;
    let found = own.ancestors().skip(1).map(|dir| dir.join(name)).find(|path| path.is_file());
    found.ok_or_else(|| io::Error::new(io::ErrorKind::NotFound, format!("{name} is not built")))
}
