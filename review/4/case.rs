//! An entry is partitioned from the store for four seconds; meanwhile the row of a replica changes
//! and is then removed. Does the entry still send requests to that replica?

#[path = "../standins-2/http.rs"]
mod http;
#[path = "../standins-2/site.rs"]
mod site;
#[path = "../standins-2/store.rs"]
mod store;

use std::{
    net::{Ipv4Addr, SocketAddr},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::Duration,
};

use http::{Path, Reply, Response, ask, serve};
use site::{Folder, Record, cannot_run, entry_settings, free_network, wait_ready};
use store::Store;

/// Time after an acknowledgement in which requests may still reach a replica, in seconds.
const DRAIN_S: f64 = 2.0;
/// Time without disruption after which a machine is in touch, in seconds.
const STABLE_S: f64 = 3.0;
/// Length of the partition in seconds; the site file has 5.5 and 7.5 for such cuts.
const CUT_S: f64 = 4.0;

const CONFIG: &str = r#"{"version":3,"routes":[{"name":"card","host":"desk.example","prefix":"/card/","kind":"safe","timeout_ms":1500,"target_latency_ms":300,"priority":1,"service":"ledger","max_attempts":2,"public":true}],"services":[{"name":"ledger","health_path":"/health","max_connections":110}],"limits":{"max_header_bytes":16384,"max_body_bytes":1048576,"header_timeout_ms":3000,"idle_timeout_ms":15000}}"#;

/// A request that a replica got: time, replica and id.
type Arrival = (f64, String, String);

fn row(addr: SocketAddr, cold_ms: u64, sequence: u64) -> String {
    format!(
        "{{\"service\":\"ledger\",\"address\":\"{addr}\",\"zone\":\"hall\",\"version\":\"v1\",\
         \"slots\":6,\"state\":\"ready\",\"cold_remaining_ms\":{cold_ms},\"sequence\":{sequence}}}"
    )
}

fn replica(ip: Ipv4Addr, id: String, record: Arc<Record>, seen: Arc<Mutex<Vec<Arrival>>>) -> SocketAddr {
    let served = serve(SocketAddr::from((ip, 0)), move |request, _| {
        if request.path == "/health" {
            return Reply::Whole(Response::new(200, "").with("X-Cassiawheel-Replica-Id", &id));
        }
        if request.header("x-cassiawheel-expect-replica") != id {
            let reply = Response::new(421, "").with("X-Cassiawheel-Replica-Id", &id);
            return Reply::Whole(reply);
        }
        let attempt = request.header("x-cassiawheel-attempt-id").to_owned();
        let at = record.add(format!("{id} runs request {attempt}"));
        seen.lock().unwrap().push((at, id.clone(), attempt.clone()));
        thread::sleep(Duration::from_millis(20));
        let reply = Response::new(200, format!("card of {attempt}"))
            .with("X-Cassiawheel-Attempt-Id", &attempt)
            .with("X-Cassiawheel-Replica-Stamp", &format!("stamp.{id}"))
            .with("X-Cassiawheel-Replica-Load", "1,0,6")
            .with("Keep-Alive", "timeout=5");
        Reply::Whole(reply)
    });
    served.unwrap_or_else(|error| cannot_run(error))
}

fn main() {
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = Arc::new(Record::begin());
    let seen: Arc<Mutex<Vec<Arrival>>> = Arc::default();
    let network = free_network().unwrap_or_else(|error| cannot_run(error));
    let [a, b, c] = network;
    let ip = |last: u8| Ipv4Addr::new(a, b, c, last);
    let store = Store::default();
    store.put("op", "config", CONFIG);
    let store_addr = store.serve(SocketAddr::from((ip(2), 0)));
    let store_addr = store_addr.unwrap_or_else(|error| cannot_run(error));
    let path = Path::open(SocketAddr::from((ip(3), 0)), store_addr);
    let path = path.unwrap_or_else(|error| cannot_run(error));
    let mut addrs = Vec::new();
    for index in 0..3 {
        let (id, ip) = (format!("i-{index}"), ip(20 + index));
        let addr = replica(ip, id.clone(), record.clone(), seen.clone());
        store.put("servers", &id, &row(addr, 0, 1));
        addrs.push(addr);
    }
    let folder = Folder::create().unwrap_or_else(|error| cannot_run(error));
    let front = ip(10);
    let settings = entry_settings("edge-1", front, &[SocketAddr::from((front, 8_000))], path.addr);
    let entry = folder.start("edge-1", "target/release/cassiawheel", &settings);
    let entry = entry.unwrap_or_else(|error| cannot_run(error));
    if !wait_ready(front) {
        cannot_run(format!("the entry is not ready\n{}", folder.log("edge-1")));
    }
    record.add("edge-1 is ready");

    let is_over = Arc::new(AtomicBool::new(false));
    let (number, answered) = (Arc::new(AtomicU64::new(0)), Arc::new(AtomicU64::new(0)));
    let clients: Vec<_> = (0..4)
        .map(|_| {
            let (record, is_over) = (record.clone(), is_over.clone());
            let (number, answered) = (number.clone(), answered.clone());
            thread::spawn(move || {
                while !is_over.load(Ordering::SeqCst) {
                    let id = format!("{:016x}", number.fetch_add(1, Ordering::SeqCst));
                    let text = format!(
                        "GET /card/{id} HTTP/1.1\r\nHost: desk.example\r\n\
                         X-Cassiawheel-Attempt-Id: {id}\r\nX-Cassiawheel-Deadline-Ms: 3000\r\n\
                         Connection: close\r\n\r\n"
                    );
                    record.add(format!("a client sends request {id}"));
                    let addr = SocketAddr::from((front, 8_005));
                    let answer = ask(addr, text.as_bytes(), Duration::from_secs(3));
                    let status = answer.map_or(0, |answer| answer.status);
                    record.add(format!("a client gets {status} for request {id}"));
                    answered.fetch_add(u64::from(status == 200), Ordering::SeqCst);
                    thread::sleep(Duration::from_millis(40));
                }
            })
        })
        .collect();

    thread::sleep(Duration::from_millis(4_000));
    // The new replica warms up, so that its row changes with every heartbeat.
    let leaver = "i-new";
    let addr = replica(ip(30), leaver.to_owned(), record.clone(), seen.clone());
    let mut cold_ms = 12_000;
    let mut beat = |sequence: u64| {
        store.put("servers", leaver, &row(addr, cold_ms, sequence));
        record.add(format!("the store holds {leaver}, cold for {cold_ms} ms"));
        cold_ms = cold_ms.saturating_sub(1_200);
        thread::sleep(Duration::from_millis(1_200));
    };
    beat(1);
    beat(2);
    let mut healed_at = record.now();
    if has_trouble {
        path.set_cut(true);
        record.add("edge-1 is partitioned from the store");
    }
    let cut_at = record.now();
    beat(3);
    beat(4);
    thread::sleep(Duration::from_millis(600));
    store.remove("servers", leaver);
    let removed_at = record.add(format!("the store acknowledges that {leaver} is gone"));
    let left = CUT_S - (record.now() - cut_at);
    thread::sleep(Duration::from_secs_f64(left.max(0.0)));
    if has_trouble {
        path.set_cut(false);
        healed_at = record.add("the partition is over");
    }
    // A replica goes on serving for a while after its row is gone, at times many seconds.
    thread::sleep(Duration::from_millis(12_000));
    is_over.store(true, Ordering::SeqCst);
    for client in clients {
        let _ = client.join();
    }
    drop(entry);

    let in_touch_from = if has_trouble { healed_at + STABLE_S } else { 0.0 };
    let judged_from = (removed_at + DRAIN_S).max(in_touch_from);
    let seen = seen.lock().unwrap();
    let late: Vec<_> =
        seen.iter().filter(|(at, id, _)| id == leaver && *at > judged_from).collect();
    let before = seen.iter().filter(|(at, id, _)| id == leaver && *at < removed_at).count();
    let verdict = format!(
        "{} requests reached {leaver} later than {DRAIN_S} s after it was gone and sent by a machine \
         in touch (from {judged_from:.3} on); {before} before it was gone; {} answered in all",
        late.len(),
        answered.load(Ordering::SeqCst),
    );
    record.add(&verdict);
    let written = record.write("review/4/record.txt");
    written.unwrap_or_else(|error| cannot_run(error));
    println!("{verdict}");
    if before == 0 || answered.load(Ordering::SeqCst) < 100 {
        cannot_run("too few requests were served");
    }
    drop(folder);
    std::process::exit(i32::from(!late.is_empty()));
}
