//! Differences between two presets.

use cassiawheel_model::{PresetContent, ServiceName, ServiceTarget, record};
use macro_rules_attribute::apply;

/// One value that differs.
#[apply(record!)]
#[derive(Eq)]
pub(super) struct PresetDifference {
    /// Service that has the value.
    pub(super) service: ServiceName,
    /// Key of the value, or `service` if the whole service is added or removed.
    pub(super) key: String,
    /// Value before the change.
    pub(super) from: Option<String>,
    /// Value after the change.
    pub(super) to: Option<String>,
}

/// Returns every value that differs between the two presets.
pub(super) fn differences(from: &PresetContent, to: &PresetContent) -> Vec<PresetDifference> {
    let removed = from.services.keys().filter(|name| !to.services.contains_key(*name));
    let names = to.services.keys().chain(removed);
    names
        .flat_map(|name| {
            let (from, to) = (from.services.get(name), to.services.get(name));
            service_differences(name, from, to)
        })
        .collect()
}

fn service_differences(
    service: &ServiceName,
    from: Option<&ServiceTarget>,
    to: Option<&ServiceTarget>,
) -> Vec<PresetDifference> {
    let difference = |key: &str, from: Option<String>, to: Option<String>| PresetDifference {
        service: service.clone(),
        key: key.to_owned(),
        from,
        to,
    };
    let (Some(from), Some(to)) = (from, to) else {
        let version = |target: &ServiceTarget| {
            target.version.as_ref().map_or("plain".to_owned(), ToString::to_string)
        };
        return vec![difference("service", from.map(version), to.map(version))];
    };
    let (from, to) = (values(from), values(to));
    let keys: std::collections::BTreeSet<_> = from.keys().chain(to.keys()).collect();
    let text = |value: Option<&serde_json::Value>| value.map(plain_text);
    keys.into_iter()
        .filter(|key| from.get(*key) != to.get(*key))
        .map(|key| difference(key, text(from.get(key)), text(to.get(key))))
        .collect()
}

fn values(target: &ServiceTarget) -> serde_json::Map<String, serde_json::Value> {
    match serde_json::to_value(target) {
        Ok(serde_json::Value::Object(object)) => object,
        _ => serde_json::Map::new(),
    }
}

fn plain_text(value: &serde_json::Value) -> String {
    value.as_str().map_or_else(|| value.to_string(), str::to_owned)
}
