//! What can be wrong with an operator's settings.

use thiserror::Error;

/// A value in the settings that means nothing.
#[derive(Debug, Error)]
pub enum SettingsError {
    /// A value is of a type that its key does not have, or none of the words that its key knows.
    #[error("{key}: {source}")]
    InvalidValue {
        /// The path of the key, as `policyLimits.mayDuplicate`.
        key: String,
        /// What the JSON decoder expected and found.
        source: serde_json::Error,
    },
    /// A value does not go with the others.
    #[error("{key}: expected {expected}")]
    Unexpected {
        /// The path of the key, as `familyInfo.zoneFee[1]`.
        key: String,
        /// What may stand there.
        expected: String,
    },
}

impl SettingsError {
    pub(crate) fn unexpected(key: impl Into<String>, expected: impl Into<String>) -> SettingsError {
        SettingsError::Unexpected { key: key.into(), expected: expected.into() }
    }
}
