//! The sets of derives that domain types have in common.
//!
//! Apply one with `#[apply(record!)]` or `#[apply(label!)]` from the
//! `macro_rules_attribute` crate, so that the item itself stays formatted by
//! `rustfmt`.

/// Derives for a record: printable, comparable, serialisable.
#[macro_export]
macro_rules! record {
    ($($item:tt)*) => {
        #[derive(Debug, Clone, PartialEq, ::serde::Serialize, ::serde::Deserialize)]
        $($item)*
    };
}

/// Derives for a small closed set: a record that is also copied, ordered and hashed.
#[macro_export]
macro_rules! label {
    ($($item:tt)*) => {
        #[derive(
            Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash,
            ::serde::Serialize, ::serde::Deserialize,
        )]
        $($item)*
    };
}
