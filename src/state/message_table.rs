//! Table of the messages without a final answer. Message ids, which are text, are looked up once for each
//! call of the host; all other code uses message keys.

use std::collections::HashMap;
use std::ops::Index;

use slotmap::SlotMap;

use super::Message;
use crate::interface::MessageId;
use crate::message_key::MessageKey;

/// Messages without a final answer, by key.
#[derive(Default)]
pub(crate) struct MessageTable {
    messages: SlotMap<MessageKey, Message>,
    keys: HashMap<MessageId, MessageKey>,
}

impl MessageTable {
    pub(crate) fn len(&self) -> usize {
        self.messages.len()
    }

    pub(crate) fn contains(&self, id: &MessageId) -> bool {
        self.keys.contains_key(id)
    }

    pub(crate) fn insert(&mut self, message: Message) -> MessageKey {
        let id = message.id.clone();
        let key = self.messages.insert(message);
        self.keys.insert(id, key);
        key
    }

    pub(crate) fn remove(&mut self, key: MessageKey) -> Option<Message> {
        let message = self.messages.remove(key)?;
        self.keys.remove(&message.id);
        Some(message)
    }

    pub(crate) fn key_of(&self, id: &MessageId) -> Option<MessageKey> {
        self.keys.get(id).copied()
    }

    pub(crate) fn get(&self, key: MessageKey) -> Option<&Message> {
        self.messages.get(key)
    }

    pub(crate) fn get_mut(&mut self, key: MessageKey) -> Option<&mut Message> {
        self.messages.get_mut(key)
    }

    #[cfg(debug_assertions)]
    pub(crate) fn iter(&self) -> impl Iterator<Item = (MessageKey, &Message)> {
        self.messages.iter()
    }
}

impl Index<MessageKey> for MessageTable {
    type Output = Message;

    fn index(&self, key: MessageKey) -> &Message {
        &self.messages[key]
    }
}
