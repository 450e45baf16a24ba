//! Macros that add the derives shared by domain types.
//!
//! They are applied with `#[apply(record!)]` or `#[apply(label!)]` from the
//! `macro_rules_attribute` crate, since `rustfmt` does not format items inside a
//! macro call.

/// Derives `Debug`, `Clone`, `PartialEq` and the serde traits.
#[macro_export]
macro_rules! record {
    ($($item:tt)*) => {
        #[derive(Debug, Clone, PartialEq, ::serde::Serialize, ::serde::Deserialize)]
        $($item)*
    };
}

/// Derives the traits of [`record!`] and those of small values: `Copy`, `Eq`, `Ord` and `Hash`.
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
