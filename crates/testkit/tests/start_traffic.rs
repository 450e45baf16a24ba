//! Traffic between entries that start at the same time.

use std::time::Duration;

use bytes::Bytes;
use cassiawheel_edge::HttpClient;
use cassiawheel_testkit::{PlatformSite, platform_site::PlatformEntry};
use http_body_util::Full;
use hyper::Request;
use serde_json::json;
use smol::Timer;

/// Number of entries that start at the same time.
const ENTRIES: usize = 8;

/// Number of endpoints on the list.
const LISTED_ENDPOINTS: usize = 200;

/// Generous size of one list row on the wire between entries.
const ROW_BYTES: usize = 300;

/// Time for the entries to connect to each other.
const CONNECT_TIME: Duration = Duration::from_millis(1_500);

/// Control bytes that an entry has sent, from its metrics.
async fn control_bytes(entry: &PlatformEntry) -> anyhow::Result<usize> {
    let url = format!("http://{}/metrics", entry.metrics);
    let request = Request::get(url).body(Full::new(Bytes::new()))?;
    let reply = HttpClient::default().send_and_read(request, Duration::from_secs(2)).await?;
    let text = String::from_utf8_lossy(reply.body()).into_owned();
    let mut lines = text.lines();
    let line =
        lines.find_map(|line| line.strip_prefix("cassiawheel_wire_control_sent_bytes_total "));
    let line = line.ok_or_else(|| anyhow::anyhow!("no such metric"))?;
    Ok(line.parse()?)
}

/// All instances came back after a power failure. Each of 45 entries sent the whole list of
/// endpoints to every other one and requested it from every other one: 46 MB in the first 0.6 s
/// over links between regions that carry 4 MB/s. Entries of one region learned three seconds late
/// that an endpoint was leaving and kept routing requests to it, and answers between regions were
/// late. One list per entry is enough.
#[test]
fn entries_that_start_together_send_one_list_to_each() {
    let test = async {
        let mut site = PlatformSite::prepare(1).await?;
        let row = site.row_of(0);
        for index in 0..LISTED_ENDPOINTS {
            let mut row = row.clone();
            row["address"] = json!(format!("10.9.{}.{}:80", index / 250, index % 250 + 1));
            site.rows.put("servers", &format!("listed-{index}"), &row);
        }
        for _ in 0..ENTRIES {
            site.add_entry()?;
        }
        for entry in &site.entries {
            site.wait_ready(entry, true).await?;
        }
        Timer::after(CONNECT_TIME).await;
        let mut sent = 0;
        for entry in &site.entries {
            sent += control_bytes(entry).await?;
        }
        let bound = ENTRIES * LISTED_ENDPOINTS * ROW_BYTES;
        assert!(sent <= bound, "{sent} bytes; one list for each entry is {bound}");
        anyhow::Ok(())
    };
    cassiawheel_runtime::run(4, test).expect("the executor runs").expect("the test passes");
}
