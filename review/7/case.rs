//! A configuration adds a tenant whose name has a space, and moves a route to another service. Is it
//! in force after the bound?

#[path = "../standins-2/http.rs"]
mod http;
#[path = "../standins-2/site.rs"]
mod site;
#[path = "../standins-2/store.rs"]
mod store;

use std::{
    net::{Ipv4Addr, SocketAddr},
    sync::{Arc, Mutex},
    thread,
    time::Duration,
};

use http::{Reply, Response, ask, serve};
use site::{Folder, Record, cannot_run, entry_settings, free_network, wait_ready};
use store::Store;

/// Time after the acknowledgement of a configuration until it is in force, in seconds.
const APPLY_S: f64 = 2.0;

fn config(version: u32, service: &str, tenants: &str) -> String {
    format!(
        "{{\"version\":{version},\"routes\":[{{\"name\":\"card\",\"host\":\"desk.example\",\
         \"prefix\":\"/card/\",\"kind\":\"safe\",\"timeout_ms\":1500,\"target_latency_ms\":300,\
         \"priority\":1,\"service\":\"{service}\",\"max_attempts\":2,\"public\":false}}],\
         \"services\":[{{\"name\":\"old\",\"health_path\":\"/health\",\"max_connections\":110}},\
         {{\"name\":\"new\",\"health_path\":\"/health\",\"max_connections\":110}}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":1048576,\
         \"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}},\"tenants\":[{tenants}]}}"
    )
}

fn main() {
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = Arc::new(Record::begin());
    let runs: Arc<Mutex<Vec<(f64, &'static str)>>> = Arc::default();
    let network = free_network().unwrap_or_else(|error| cannot_run(error));
    let [a, b, c] = network;
    let ip = |last: u8| Ipv4Addr::new(a, b, c, last);
    let store = Store::default();
    let first = "{\"name\":\"kanzlei7\",\"api_keys\":[\"jnbanfqasnmgkcuyj8pj\"]}";
    let second = "{\"name\":\"Praxis Dr. Maier\",\"api_keys\":[\"kq2mbnfqwsnmgkcuyz1p\"]}";
    store.put("op", "config", &config(3, "old", first));
    for (index, service) in ["old", "new"].into_iter().enumerate() {
        let (id, record, runs) = (format!("i-{service}"), record.clone(), runs.clone());
        let own = id.clone();
        let addr = serve(SocketAddr::from((ip(20 + index as u8), 0)), move |request, _| {
            if request.header("x-cassiawheel-expect-replica") != own {
                return Reply::Whole(Response::new(421, ""));
            }
            let attempt = request.header("x-cassiawheel-attempt-id").to_owned();
            let tenant = request.header("x-cassiawheel-tenant");
            let at = record.add(format!("{own} runs request {attempt} of tenant {tenant:?}"));
            runs.lock().unwrap().push((at, service));
            let reply = Response::new(200, "card").with("X-Cassiawheel-Attempt-Id", &attempt);
            Reply::Whole(reply.with("X-Cassiawheel-Replica-Stamp", &format!("stamp.{own}")))
        });
        let addr = addr.unwrap_or_else(|error| cannot_run(error));
        let row = format!(
            "{{\"service\":\"{service}\",\"address\":\"{addr}\",\"zone\":\"hall\",\"version\":\"v1\",\
             \"slots\":6,\"state\":\"ready\",\"cold_remaining_ms\":0,\"sequence\":1}}"
        );
        store.put("servers", &id, &row);
    }
    let store_addr = store.serve(SocketAddr::from((ip(2), 0)));
    let store_addr = store_addr.unwrap_or_else(|error| cannot_run(error));
    let folder = Folder::create().unwrap_or_else(|error| cannot_run(error));
    let front = ip(10);
    let seeds = [SocketAddr::from((front, 8_000))];
    let settings = entry_settings("edge-1", front, &seeds, store_addr);
    let entry = folder.start("edge-1", "target/release/cassiawheel", &settings);
    let entry = entry.unwrap_or_else(|error| cannot_run(error));
    if !wait_ready(front) {
        cannot_run(format!("the entry is not ready\n{}", folder.log("edge-1")));
    }
    let mut number = 0;
    let mut call = |key: &str| {
        number += 1;
        let id = format!("{number:016x}");
        let text = format!(
            "GET /card/{id} HTTP/1.1\r\nHost: desk.example\r\nX-Cassiawheel-Attempt-Id: {id}\r\n\
             X-Cassiawheel-Deadline-Ms: 3000\r\nX-Cassiawheel-Key: {key}\r\nConnection: close\r\n\r\n"
        );
        let at = record.add(format!("a client sends request {id}"));
        let answer = ask(SocketAddr::from((front, 8_005)), text.as_bytes(), Duration::from_secs(3));
        let status = answer.map_or(0, |answer| answer.status);
        record.add(format!("a client gets {status} for request {id}"));
        thread::sleep(Duration::from_millis(50));
        (at, status)
    };
    while record.now() < 5.0 {
        call("jnbanfqasnmgkcuyj8pj");
    }
    let mut acked_at = f64::MAX;
    if has_trouble {
        store.put("op", "config", &config(7, "new", &format!("{first},{second}")));
        acked_at = record.add("the store acknowledges configuration 7");
    }
    let (mut answered, mut refused) = (0, 0);
    while record.now() < 20.0 {
        let (at, status) = call("jnbanfqasnmgkcuyj8pj");
        answered += u32::from(status == 200);
        if has_trouble {
            let (_, status) = call("kq2mbnfqwsnmgkcuyz1p");
            refused += u32::from(status == 401 && at > acked_at + APPLY_S);
        }
    }
    drop(entry);
    let old = runs.lock().unwrap().iter().filter(|run| run.0 > acked_at + APPLY_S && run.1 == "old").count();
    let verdict = format!(
        "later than {APPLY_S} s after the acknowledgement, {old} requests were run by the old service \
         and {refused} were refused with 401 though their key is there; {answered} were answered"
    );
    record.add(&verdict);
    let written = record.write("review/7/record.txt");
    written.unwrap_or_else(|error| cannot_run(error));
    println!("{verdict}");
    if answered < 50 {
        cannot_run("too few requests were served");
    }
    drop(folder);
    std::process::exit(i32::from(old > 0 || refused > 0));
}
