//! Bodies of requests in the memory of an entry.

use std::time::Duration;

use cassiawheel_runtime::timeout;
use cassiawheel_testkit::{PlatformSite, SiteCall};
use rstest::rstest;
use smol::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};

/// Memory of the entry; bodies may take a third of it, large ones seven eighths of that.
const MEMORY_MB: u32 = 24;

/// The largest body that the configuration allows.
const BODY_BYTES: usize = 1 << 20;

/// Number of such bodies that fit.
const ROOM: usize = 7;

const ANSWER_TIMEOUT: Duration = Duration::from_secs(5);

fn run(test: impl Future<Output = anyhow::Result<()>>) {
    cassiawheel_runtime::run(4, test).expect("the executor runs").expect("the test passes");
}

/// Begins a request with a large body on a connection of its own.
async fn begin_large(site: &PlatformSite, id: &str) -> anyhow::Result<TcpStream> {
    let call = SiteCall { patience_ms: 5_000, ..SiteCall::new(id, "/unsafe/x") };
    let small = String::from_utf8(site.raw_request(call))?;
    let length = format!("content-length: {BODY_BYTES}\r\n\r\n");
    let head = small.replace("content-length: 6\r\n\r\na seat", &length);
    let mut stream = TcpStream::connect(site.entries[0].front).await?;
    stream.write_all(head.as_bytes()).await?;
    stream.write_all(&vec![b'x'; BODY_BYTES / 2]).await?;
    Ok(stream)
}

/// Sends the rest of a large body.
async fn end_large(stream: &mut TcpStream) -> anyhow::Result<()> {
    Ok(stream.write_all(&vec![b'x'; BODY_BYTES - BODY_BYTES / 2]).await?)
}

/// The head of an answer; none if nothing arrives within `span`.
async fn read_head(stream: &mut TcpStream, span: Duration) -> anyhow::Result<Option<String>> {
    let mut bytes = vec![0; 4_096];
    let Some(read) = timeout(span, stream.read(&mut bytes)).await else {
        return Ok(None);
    };
    Ok(Some(String::from_utf8_lossy(&bytes[..read?]).to_ascii_lowercase()))
}

/// Guards against an entry that ends by its memory under a burst of large bodies, and against
/// small ones that are refused behind them.
#[rstest]
fn bodies_without_room_are_refused_unread() {
    run(async {
        let mut site = PlatformSite::prepare(1).await?;
        site.memory_mb = MEMORY_MB;
        site.add_entry()?;
        site.wait_ready(&site.entries[0], true).await?;
        for round in 0..2 {
            let mut held = Vec::new();
            for number in 0..ROOM {
                let mut stream = begin_large(&site, &format!("held-{round}-{number}")).await?;
                let early = read_head(&mut stream, Duration::from_millis(100)).await?;
                anyhow::ensure!(early.is_none(), "{early:?}");
                held.push(stream);
            }
            for number in 0..3 {
                let id = format!("refused-{round}-{number}");
                let mut stream = begin_large(&site, &id).await?;
                let head = read_head(&mut stream, ANSWER_TIMEOUT).await?.unwrap_or_default();
                let is_refused = head.starts_with("http/1.1 503") && head.contains("retry-after");
                anyhow::ensure!(is_refused, "{head}");
                // The rest is received, so that the caller does not lose the answer.
                end_large(&mut stream).await?;
                anyhow::ensure!(site.runs_of(&id) == 0, "{id} was run");
            }
            let small = site.call(SiteCall::new(&format!("small-{round}"), "/safe/x")).await?;
            anyhow::ensure!(small.status() == 200, "{small:?}");
            for stream in &mut held {
                end_large(stream).await?;
                let head = read_head(stream, ANSWER_TIMEOUT).await?.unwrap_or_default();
                anyhow::ensure!(head.starts_with("http/1.1 200"), "{head}");
            }
        }
        Ok(())
    });
}

/// Guards against a caller that is told to come back with a body for which there is never room.
#[rstest]
fn a_body_that_never_fits_is_too_long() {
    run(async {
        let mut site = PlatformSite::prepare(1).await?;
        site.memory_mb = 3;
        site.add_entry()?;
        site.wait_ready(&site.entries[0], true).await?;
        let mut stream = begin_large(&site, "never").await?;
        let head = read_head(&mut stream, ANSWER_TIMEOUT).await?.unwrap_or_default();
        anyhow::ensure!(head.starts_with("http/1.1 413"), "{head}");
        anyhow::ensure!(site.runs_of("never") == 0);
        Ok(())
    });
}
