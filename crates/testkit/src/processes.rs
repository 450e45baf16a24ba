//! Processes of the system under test, started and ended by the test kit.

use std::{
    io,
    path::{Path, PathBuf},
    process::{Child, Command, ExitStatus, Stdio},
    time::{Duration, Instant},
};

use smol::Timer;

/// One process that the test kit started; killed when dropped.
#[derive(Debug)]
pub struct ChildProcess {
    name: String,
    child: Child,
}

impl ChildProcess {
    /// Starts `binary serve --config CONFIG`; its log goes to `log`.
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

    /// Its name in reports.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Its process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Kills it without warning.
    pub fn kill(&mut self) -> io::Result<()> {
        self.child.kill()?;
        self.child.wait()?;
        Ok(())
    }

    /// Asks it to stop gracefully.
    pub fn terminate(&self) -> io::Result<()> {
        self.signal("TERM")
    }

    /// Freezes it.
    pub fn pause(&self) -> io::Result<()> {
        self.signal("STOP")
    }

    /// Lets it go on.
    pub fn resume(&self) -> io::Result<()> {
        self.signal("CONT")
    }

    /// Waits at most `span` for its end, without blocking the executor's thread.
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

/// Where cargo put the binary called `name`, next to the running program.
pub fn binary_path(name: &str) -> io::Result<PathBuf> {
    let own = std::env::current_exe()?;
    let found = own.ancestors().skip(1).map(|dir| dir.join(name)).find(|path| path.is_file());
    found.ok_or_else(|| io::Error::new(io::ErrorKind::NotFound, format!("{name} is not built")))
}
