//! Rows of other writers in the store's tables, which may hold arbitrary bytes.

use std::{collections::BTreeMap, net::SocketAddr, sync::Arc, time::Duration};

use cassiawheel_edge::{FeedSource, HttpClient, OperatorRow};
use cassiawheel_model::ListedRow;
use cassiawheel_platform::{OperatorTable, RowClient, ServerTable};
use cassiawheel_testkit::{
    FaultSwitches,
    platform_site::config,
    stand_in::{RunningStandIn, rows::StoreRows},
};
use proptest::{
    prelude::*,
    test_runner::{Config, TestRunner},
};
use serde_json::{Value, json};

/// Generated cases per test; each is a request over loopback of a few milliseconds.
const CASES: u32 = 96;

/// Timeout of a request to the store.
const STORE_TIMEOUT: Duration = Duration::from_secs(5);

/// Starts an empty store and a client for it.
async fn store() -> anyhow::Result<(Arc<StoreRows>, RunningStandIn, RowClient)> {
    let rows = Arc::new(StoreRows::default());
    let addr = SocketAddr::from(([127, 0, 0, 1], 0));
    let running = rows.serve(addr, Arc::new(FaultSwitches::default())).await?;
    let client = RowClient::new(HttpClient::default(), running.addr, STORE_TIMEOUT);
    Ok((rows, running, client))
}

/// A valid row of an endpoint.
fn valid_endpoint() -> Value {
    json!({
        "service": "ledger", "address": "10.1.0.9:8000", "zone": "hall", "version": "v1",
        "slots": 8, "state": "ready", "cold_remaining_ms": 0, "sequence": 1, "born": 1_000,
        "models": [{ "name": "guide", "version": 2, "adapters": [] }],
    })
}

/// Any JSON value, nested up to three levels.
fn any_json() -> impl Strategy<Value = Value> {
    let leaf = prop_oneof![
        Just(Value::Null),
        any::<bool>().prop_map(Value::from),
        any::<i64>().prop_map(Value::from),
        any::<f64>().prop_map(Value::from),
        ".{0,12}".prop_map(Value::from),
    ];
    leaf.prop_recursive(3, 24, 4, |inner| {
        prop_oneof![
            prop::collection::vec(inner.clone(), 0..4).prop_map(Value::from),
            prop::collection::btree_map("[a-z_]{1,10}", inner, 0..4)
                .prop_map(|map| Value::Object(map.into_iter().collect())),
        ]
    })
}

/// `valid` with one field removed or replaced by any JSON value.
fn corrupted(valid: Value) -> impl Strategy<Value = Vec<u8>> {
    let fields: Vec<String> =
        valid.as_object().map(|map| map.keys().cloned().collect()).unwrap_or_default();
    (prop::sample::select(fields), prop::option::of(any_json())).prop_map(move |(field, value)| {
        let mut row = valid.clone();
        if let Some(map) = row.as_object_mut() {
            match value {
                Some(value) => map.insert(field, value),
                None => map.remove(&field),
            };
        }
        row.to_string().into_bytes()
    })
}

/// Arbitrary bytes, arbitrary JSON, or a valid row with one field corrupted.
fn any_row(valid: Value) -> impl Strategy<Value = Vec<u8>> {
    prop_oneof![
        prop::collection::vec(any::<u8>(), 0..200),
        any_json().prop_map(|value| value.to_string().into_bytes()),
        corrupted(valid),
    ]
}

/// Runs `check` on generated rows, with a fixed seed.
fn for_rows(valid: Value, check: impl Fn(Vec<u8>) -> Result<(), TestCaseError>) {
    let config = Config { cases: CASES, failure_persistence: None, ..Config::default() };
    let mut runner = TestRunner::new_with_rng(
        config,
        proptest::test_runner::TestRng::deterministic_rng(
            proptest::test_runner::RngAlgorithm::ChaCha,
        ),
    );
    runner.run(&any_row(valid), check).expect("every row is handled");
}

fn run<T>(test: impl Future<Output = anyhow::Result<T>>) -> T {
    cassiawheel_runtime::run(2, test).expect("the executor runs").expect("the test passes")
}

/// Another writer overwrites a valid endpoint row with arbitrary bytes. Requests must not be
/// routed to the earlier endpoint by a row that is gone, and the other rows must stay valid: a
/// reader that rejected the whole page would lose every endpoint.
#[test]
fn a_foreign_row_of_the_list_harms_no_other() {
    for_rows(valid_endpoint(), |bytes| {
        let listed: Vec<ListedRow> = run(async {
            let (rows, _running, client) = store().await?;
            rows.put("servers", "i-1", &valid_endpoint());
            rows.put("servers", "i-2", &valid_endpoint());
            rows.put_bytes("servers", "i-1", &bytes);
            Ok(ServerTable::new(client).read_all().await?.rows)
        });
        prop_assert_eq!(listed.len(), 2);
        for row in &listed {
            let is_foreign = row.instance.as_str() == "i-1";
            prop_assert!(is_foreign || row.endpoint.is_some(), "the valid row is lost");
            // A foreign row is reported as unusable, or happens to be valid.
            prop_assert!(row.endpoint.is_some() != row.is_unusable);
        }
        Ok(())
    });
}

/// Another writer corrupts the operators' row of a version. The preset beside it stays in force,
/// and the finding names the row.
#[test]
fn a_foreign_row_of_the_operators_harms_no_other() {
    for_rows(json!({ "model": "guide", "version": 2 }), |bytes| {
        let read: Vec<OperatorRow> = run(async {
            let (rows, _running, client) = store().await?;
            rows.put("op", "config", &config(1, &["safe"], 1_500));
            rows.put_bytes("op", "version/guide", &bytes);
            Ok(OperatorTable::new(client, BTreeMap::new()).read_all().await?.rows)
        });
        let presets = read.iter().filter(|row| matches!(row, OperatorRow::Preset(_))).count();
        prop_assert_eq!(presets, 1);
        let damage = read.iter().find_map(|row| match row {
            OperatorRow::Invalid(text) => Some(text),
            _ => None,
        });
        let is_named = read.iter().any(|row| matches!(row, OperatorRow::Version(_)));
        prop_assert!(is_named || damage.is_some_and(|text| text.contains("version/guide")));
        Ok(())
    });
}

/// Another writer corrupts the configuration. It must not be applied in part: it is reported as
/// one finding, and nothing of it takes effect.
#[test]
fn a_spoilt_configuration_is_one_finding() {
    for_rows(config(1, &["safe", "unsafe"], 1_500), |bytes| {
        let read: Vec<OperatorRow> = run(async {
            let (rows, _running, client) = store().await?;
            rows.put_bytes("op", "config", &bytes);
            Ok(OperatorTable::new(client, BTreeMap::new()).read_all().await?.rows)
        });
        let is_whole = read.iter().any(|row| matches!(row, OperatorRow::Preset(_)));
        let damaged = read.iter().filter(|row| matches!(row, OperatorRow::Invalid(_))).count();
        let is_one_finding = read.len() == 1 && damaged == 1;
        prop_assert_eq!(is_whole, !is_one_finding);
        prop_assert!(!is_whole || damaged == 0);
        Ok(())
    });
}
