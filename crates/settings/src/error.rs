//! Errors of an operator's settings.

use thiserror::Error;

/// An invalid value in the settings.
#[derive(Debug, Error)]
pub enum SettingsError {
    /// A value has the wrong type for its key or is not one of the words that its key allows.
    #[error("{key}: {source}")]
    InvalidValue {
        /// Path of the key, such as `policyLimits.mayDuplicate`.
        key: String,
        /// The error of the JSON decoder, with what it expected and found.
        source: serde_json::Error,
    },
    /// A value is outside its valid range or contradicts another value.
    #[error("{key}: expected {expected}")]
    Unexpected {
        /// Path of the key, such as `familyInfo.zoneFee[1]`.
        key: String,
        /// Description of the valid values.
        expected: String,
    },
}

impl SettingsError {
    pub(crate) fn unexpected(key: impl Into<String>, expected: impl Into<String>) -> SettingsError {
        SettingsError::Unexpected { key: key.into(), expected: expected.into() }
    }
}
