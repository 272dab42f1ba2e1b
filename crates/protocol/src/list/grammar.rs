//! The grammar of an endpoint list: the positions of a decoder, and what may come next at each.

/// The position of a decoder between two bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Position {
    /// Between two parts.
    BetweenParts,
    /// Behind the opening brace of a part.
    KeyOrEnd,
    /// Behind a comma between two keys.
    Key,
    /// Within a key.
    InKey,
    /// Behind a key.
    Colon,
    /// Before a value.
    Value,
    /// Within a value other than the list of entries.
    InValue,
    /// Behind a value.
    AfterValue,
    /// Behind the opening bracket of the entries.
    EntryOrEnd,
    /// Behind a comma between two entries.
    Entry,
    /// Within an entry.
    InEntry,
    /// Behind an entry.
    AfterEntry,
    /// Behind a part, before its line ends.
    AfterPart,
}

impl Position {
    /// What may come next, worded for an error message.
    pub fn expectation(self) -> &'static str {
        match self {
            Position::BetweenParts => "a part of the list, as a JSON object",
            Position::KeyOrEnd => "a key in quotes, or }",
            Position::Key => "a key in quotes",
            Position::Colon => "a colon",
            Position::Value | Position::InValue | Position::InKey => "a JSON value",
            Position::AfterValue => "a comma, or }",
            Position::EntryOrEnd => "an entry, or ]",
            Position::Entry | Position::InEntry => "an entry",
            Position::AfterEntry => "a comma, or ]",
            Position::AfterPart => "the end of the line",
        }
    }

    /// Whether it is among the entries of a part.
    pub fn is_among_entries(self) -> bool {
        matches!(self, Position::Entry | Position::InEntry | Position::EntryOrEnd | Position::AfterEntry)
    }

    /// Whether a key, a value or an entry starts here with this byte. `key` is the key that the value belongs to.
    pub fn starts_value(self, key: Key, byte: u8) -> bool {
        match self {
            Position::KeyOrEnd | Position::Key => byte == b'"',
            Position::Value => !is_delimiter(byte) && key != Key::Instances,
            Position::EntryOrEnd | Position::Entry => !is_delimiter(byte),
            _ => false,
        }
    }
}

/// Whether a byte separates JSON values, so that no value starts with it.
fn is_delimiter(byte: u8) -> bool {
    matches!(byte, b',' | b':' | b'}' | b']' | b' ' | b'\t' | b'\r' | b'\n')
}

/// The key of a part that a value belongs to.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) enum Key {
    /// The version of the list.
    Generation,
    /// Whether the part is the whole list.
    Reset,
    /// The entries.
    Instances,
    /// A key without a meaning here, which is passed over.
    #[default]
    Other,
}
