//! Traffic of control messages, read from the metrics of processes.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use cassiawheel_edge::HttpClient;
use http_body_util::Full;
use hyper::Request;

/// Timeout of a request for metrics.
const READ_TIME: Duration = Duration::from_secs(1);
/// Counters whose sum is the control traffic of a process.
const COUNTERS: [&str; 2] =
    ["cassiawheel_wire_control_sent_bytes_total", "cassiawheel_wire_control_received_bytes_total"];

/// Bytes of control messages that a process has sent and received since its start.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ControlBytes {
    total: f64,
}

impl ControlBytes {
    /// Mean rate over the processes that ran from `before` to `after`, in bytes per second;
    /// none if there are none.
    pub fn mean_rate(before: &[Option<Self>], after: &[Option<Self>], span_s: f64) -> Option<f64> {
        let pairs = before.iter().zip(after).filter_map(|pair| Some(((*pair.0)?, (*pair.1)?)));
        // A counter that went down belongs to a process that was restarted.
        let rates: Vec<_> = pairs
            .filter(|(before, after)| after.total >= before.total)
            .map(|(before, after)| (after.total - before.total) / span_s)
            .collect();
        let mean = rates.iter().sum::<f64>() / rates.len() as f64;
        (!rates.is_empty()).then_some(mean)
    }
}

/// Reads the counters of the process that serves its metrics at `addr`.
pub async fn read_control_bytes(addr: SocketAddr) -> Option<ControlBytes> {
    let request = Request::get(format!("http://{addr}/metrics")).body(Full::new(Bytes::new()));
    let reply = HttpClient::default().send_and_read(request.ok()?, READ_TIME).await.ok()?;
    let text = String::from_utf8_lossy(reply.body()).into_owned();
    let value = |name: &str| -> Option<f64> {
        text.lines().find_map(|line| line.strip_prefix(name)?.trim().parse().ok())
    };
    let values: Option<Vec<f64>> = COUNTERS.iter().map(|name| value(name)).collect();
    Some(ControlBytes { total: values?.into_iter().sum() })
}
