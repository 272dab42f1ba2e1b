//! Grammar of an endpoint list: the positions of the decoder and the valid input at each.

/// The place in the grammar of an endpoint list that the decoder has reached.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Position {
    BetweenParts,
    /// After the opening brace of a part.
    KeyOrEnd,
    /// After a comma between two keys.
    Key,
    InKey,
    /// After a key, before its colon.
    Colon,
    /// After the colon of a key.
    Value,
    /// Within a value other than the entries.
    InValue,
    /// After a value.
    AfterValue,
    /// After the opening bracket of the entries.
    EntryOrEnd,
    /// After a comma between two entries.
    Entry,
    InEntry,
    /// After an entry.
    AfterEntry,
    /// After the closing brace of a part, before the end of its line.
    AfterPart,
}

impl Position {
    /// Returns a description of the valid input at this position, for error messages.
    pub fn expected_input(self) -> &'static str {
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

    /// Returns whether the position is in the list of entries of a part.
    pub fn is_in_entries(self) -> bool {
        matches!(self, Position::Entry | Position::InEntry | Position::EntryOrEnd | Position::AfterEntry)
    }

    /// Returns whether `byte` starts a key, a value or an entry at this position. `key` is the key of the
    /// value.
    pub fn starts_value(self, key: Key, byte: u8) -> bool {
        match self {
            Position::KeyOrEnd | Position::Key => byte == b'"',
            Position::Value => !is_delimiter(byte) && key != Key::Instances,
            Position::EntryOrEnd | Position::Entry => !is_delimiter(byte),
            _ => false,
        }
    }
}

/// Returns whether a byte separates JSON values, so that no value starts with it.
fn is_delimiter(byte: u8) -> bool {
    matches!(byte, b',' | b':' | b'}' | b']' | b' ' | b'\t' | b'\r' | b'\n')
}

/// A key in a part of the endpoint list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) enum Key {
    Generation,
    /// Marks a part that is the full list.
    Reset,
    Instances,
    /// An unknown key, whose value is ignored.
    #[default]
    Other,
}
