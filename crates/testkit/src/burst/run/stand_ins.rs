//! Collects the records of the stand-ins at the end of a run.

use cassiawheel_model::ForcedPreset;

use crate::{
    Deployment,
    burst::records::{HistoryRecord, RunRecord, RunRecords},
};

/// Collects the runs of all endpoints and the change history of the table.
pub fn collect_stand_ins(
    deployment: &Deployment,
    model_replicas: usize,
    app_replicas: usize,
) -> RunRecords {
    let names: Vec<_> = deployment.endpoints.iter().map(|e| e.instance.to_string()).collect();
    let (model, plain) = names.split_at(model_replicas);
    let (app, web) = plain.split_at(app_replicas);
    let mut runs = Vec::new();
    for endpoint in &deployment.endpoints {
        let name = endpoint.instance.to_string();
        let begun = endpoint.engine.iter().flat_map(|engine| engine.begun_runs());
        runs.extend(begun.map(|run| RunRecord {
            endpoint: name.clone(),
            request: run.request,
            text: None,
            begun_at: run.begun_at,
        }));
        let calls = endpoint.ledger.iter().flat_map(|ledger| ledger.calls());
        runs.extend(calls.map(|call| RunRecord {
            endpoint: name.clone(),
            request: call.request,
            text: Some(String::from_utf8_lossy(&call.body).into_owned()),
            begun_at: call.begun_at,
        }));
    }
    let history = deployment.table.scan("change/").into_iter().filter_map(|row| {
        let preset: ForcedPreset = serde_json::from_value(row.value).ok()?;
        let (revision, change) = (preset.revision.0, preset.change.to_string());
        Some(HistoryRecord { revision, change })
    });
    RunRecords {
        model_endpoints: model.to_vec(),
        app_endpoints: app.to_vec(),
        web_endpoints: web.to_vec(),
        runs,
        history: history.collect(),
        ..RunRecords::default()
    }
}
