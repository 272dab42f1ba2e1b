//! The key by which everything inside the policy refers to a message.

use slotmap::DefaultKey;

/// Refers to one message without a final answer. The key of a message that is finished never refers to
/// another one.
pub(crate) type MessageKey = DefaultKey;
