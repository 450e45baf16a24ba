//! HTTP header fields that pass through the system.

use macro_rules_attribute::apply;

/// One header field, its name in lower case.
#[apply(record!)]
#[derive(Eq)]
pub struct HeaderField {
    /// Its name.
    pub name: String,
    /// Its value.
    pub value: String,
}

/// Names whose fields concern one connection (RFC 9110, section 7.6.1), or which
/// the system sets itself on each leg.
const OWN_LEG: [&str; 15] = [
    "connection",
    "content-length",
    "content-type",
    "date",
    "expect",
    "host",
    "idempotency-key",
    "keep-alive",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "x-model-version",
    "x-request-id",
];

/// Prefix of the system's own fields.
const OWN_PREFIX: &str = "cassiawheel-";

impl HeaderField {
    /// The fields of `pairs` that pass from end to end; `connection` is the value
    /// of the field of that name, which may list further names for one leg.
    ///
    /// The system's own fields never pass: an endpoint could otherwise put an
    /// outcome into its answer that nobody has established.
    pub fn end_to_end<'a>(
        pairs: impl Iterator<Item = (&'a str, &'a str)>,
        connection: &str,
    ) -> Vec<HeaderField> {
        let named = |name: &str| connection.split(',').any(|n| n.trim().eq_ignore_ascii_case(name));
        pairs
            .filter(|(name, _)| !OWN_LEG.contains(name) && !name.starts_with(OWN_PREFIX))
            .filter(|(name, _)| !named(name))
            .map(|(name, value)| HeaderField { name: name.to_owned(), value: value.to_owned() })
            .collect()
    }
}
