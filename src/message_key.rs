//! Key of a message inside the policy.

use slotmap::DefaultKey;

/// Key of a message without a final answer. The key of a finished message is not used for another message.
pub(crate) type MessageKey = DefaultKey;
