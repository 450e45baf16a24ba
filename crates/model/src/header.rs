//! HTTP header fields that are forwarded between callers and endpoints.

use macro_rules_attribute::apply;

/// A header field.
#[apply(record!)]
#[derive(Eq)]
pub struct HeaderField {
    /// Field name in lower case.
    pub name: String,
    /// Field value.
    pub value: String,
}

/// Fields that are not forwarded: hop-by-hop fields (RFC 9110, section 7.6.1) and fields that
/// are set anew for each hop.
const PER_HOP_FIELDS: [&str; 15] = [
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

/// Prefix of the fields defined by cassiawheel.
const OWN_PREFIX: &str = "cassiawheel-";

impl HeaderField {
    /// Returns the end-to-end fields of `pairs`. `connection` is the value of the `Connection`
    /// field, which may name further hop-by-hop fields.
    ///
    /// Fields with cassiawheel's own prefix are never forwarded; otherwise an endpoint could forge
    /// the outcome of a request in its answer.
    pub fn end_to_end<'a>(
        pairs: impl Iterator<Item = (&'a str, &'a str)>,
        connection: &str,
    ) -> Vec<HeaderField> {
        let named =
            |name: &str| connection.split(',').any(|field| field.trim().eq_ignore_ascii_case(name));
        pairs
            .filter(|(name, _)| !PER_HOP_FIELDS.contains(name) && !name.starts_with(OWN_PREFIX))
            .filter(|(name, _)| !named(name))
            .map(|(name, value)| HeaderField { name: name.to_owned(), value: value.to_owned() })
            .collect()
    }
}
