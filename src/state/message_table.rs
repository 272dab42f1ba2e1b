//! All messages, by a small key. Ids come in as text; they are looked up once at the policy's interface, and
//! everything inside refers to a message by its key.

use std::collections::HashMap;
use std::ops::Index;

use slotmap::SlotMap;

use super::Message;
use crate::interface::MessageId;
use crate::messages::MessageKey;

/// All messages that wait for their final answer.
#[derive(Default)]
pub(crate) struct MessageTable {
    slots: SlotMap<MessageKey, Message>,
    keys: HashMap<MessageId, MessageKey>,
}

impl MessageTable {
    pub(crate) fn len(&self) -> usize {
        self.slots.len()
    }

    pub(crate) fn contains(&self, id: &MessageId) -> bool {
        self.keys.contains_key(id)
    }

    pub(crate) fn insert(&mut self, message: Message) -> MessageKey {
        let id = message.id.clone();
        let key = self.slots.insert(message);
        self.keys.insert(id, key);
        key
    }

    pub(crate) fn remove(&mut self, key: MessageKey) -> Option<Message> {
        let message = self.slots.remove(key)?;
        self.keys.remove(&message.id);
        Some(message)
    }

    pub(crate) fn key_of(&self, id: &MessageId) -> Option<MessageKey> {
        self.keys.get(id).copied()
    }

    pub(crate) fn get(&self, key: MessageKey) -> Option<&Message> {
        self.slots.get(key)
    }

    pub(crate) fn get_mut(&mut self, key: MessageKey) -> Option<&mut Message> {
        self.slots.get_mut(key)
    }

    #[cfg(debug_assertions)]
    pub(crate) fn iter(&self) -> impl Iterator<Item = (MessageKey, &Message)> {
        self.slots.iter()
    }
}

impl Index<MessageKey> for MessageTable {
    type Output = Message;

    fn index(&self, key: MessageKey) -> &Message {
        &self.slots[key]
    }
}
