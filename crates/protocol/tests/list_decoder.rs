//! Incremental decoding of endpoint lists: chunk boundaries, malformed input and limits.

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;
use reeddock::{DestinationId, EndpointState};
use reeddock_protocol::{ListDecoder, ListEntry, ListEvent, ListLimits, ListPart};

/// The result of decoding the chunks of a watch response.
#[derive(Debug, PartialEq)]
struct Decoded {
    events: Vec<ListEvent>,
    /// The error that ended the decoding. `None` if all chunks were decoded.
    error: Option<String>,
}

impl Decoded {
    fn without_error(events: Vec<ListEvent>) -> Decoded {
        Decoded { events, error: None }
    }
}

fn decode_with_limits(limits: ListLimits, chunks: &[&[u8]]) -> Decoded {
    let mut decoder = ListDecoder::new(limits);
    let mut events = Vec::new();
    for chunk in chunks {
        let mut input = *chunk;
        loop {
            match decoder.next_event(&mut input) {
                Ok(Some(event)) => events.push(event),
                Ok(None) => break,
                Err(error) => return Decoded { events, error: Some(error.to_string()) },
            }
        }
        assert!(input.is_empty());
    }
    assert_eq!(decoder.consumed_bytes() as usize, chunks.iter().map(|chunk| chunk.len()).sum::<usize>());
    Decoded::without_error(events)
}

fn decode(chunks: &[&[u8]]) -> Decoded {
    decode_with_limits(ListLimits::default(), chunks)
}

fn decode_line(line: &str) -> Decoded {
    decode(&[line.as_bytes(), b"\n"])
}

fn error_of(text: &str) -> String {
    decode(&[text.as_bytes()]).error.expect("expected an error, but all bytes were decoded")
}

/// Returns the events that a decoder yields for a complete part.
fn events_of(part: ListPart) -> Vec<ListEvent> {
    let mut events =
        vec![ListEvent::PartStarted { generation: part.generation, is_full_list: part.is_full_list }];
    events.extend(part.entries.into_iter().map(ListEvent::EndpointUpdated));
    events.push(ListEvent::PartEnded);
    events
}

fn events_of_line(line: &str) -> Vec<ListEvent> {
    events_of(ListPart::decode(line.as_bytes()).unwrap())
}

/// A part with brackets, quotes and escapes within strings, and with unknown keys.
const PART_WITH_ESCAPES: &str = r#"{"note":{"a]}":["\"}{",1e3,null,true]},"generation":41,"reset":true,"instances":[
  {"instanceId":"s\"}\\ü{","hostPort":"10.1.0.18:9000","zone":"\u00e4","machineType":"m2","cell":3,
   "lifecycle":"Ready","weight":1.0,"startedAtMs":0,"more":[[{"x":"]"}]]},
  {"instanceId":"日本","hostPort":"[::1]:9000","cell":4,"lifecycle":"Terminating"} ,
  {"lifecycle":"Gone","cell":5,"instanceId":"t"}
 ] , "after":"x"}"#;

#[test]
fn watch_response_is_decoded_the_same_wherever_its_bytes_are_split() {
    let change = r#"{"generation":42,"reset":false,"instances":[]}"#;
    let text = format!("\n{PART_WITH_ESCAPES}\n\r\n  \n{change}\r\n\n");
    let expected: Vec<ListEvent> = [ListEvent::Heartbeat]
        .into_iter()
        .chain(events_of_line(PART_WITH_ESCAPES))
        .chain([ListEvent::Heartbeat, ListEvent::Heartbeat])
        .chain(events_of_line(change))
        .chain([ListEvent::Heartbeat])
        .collect();
    let expected = Decoded::without_error(expected);
    let bytes = text.as_bytes();
    for split in 0..=bytes.len() {
        assert_eq!(decode(&[&bytes[..split], &bytes[split..]]), expected, "split at {split}");
    }
    let single: Vec<&[u8]> = bytes.chunks(1).collect();
    assert_eq!(decode(&single), expected);
}

/// The beginning of a part of the endpoint list, up to the end of its first entry.
const PART_PREFIX: &str =
    r#"{"generation":7,"reset":true,"instances":[{"instanceId":"a","cell":1,"lifecycle":"Gone"}"#;

#[test]
fn entry_is_returned_as_soon_as_its_last_byte_is_received() {
    let entry = ListEntry {
        name: "a".into(),
        address: None,
        destination: DestinationId(1),
        state: EndpointState::Removed,
        weight: None,
        zone: String::new(),
        kind: String::new(),
        started_at_unix_ms: 0,
    };
    let expected =
        vec![ListEvent::PartStarted { generation: 7, is_full_list: true }, ListEvent::EndpointUpdated(entry)];
    assert_eq!(decode(&[PART_PREFIX.as_bytes()]), Decoded::without_error(expected));
}

#[test]
fn end_of_part_is_returned_only_at_the_end_of_its_line() {
    let part = format!("{PART_PREFIX}]}}");
    assert_eq!(decode(&[part.as_bytes()]).events.len(), 2);
    assert_eq!(decode_line(&part).events.last(), Some(&ListEvent::PartEnded));
}

#[test]
fn keys_are_accepted_in_any_order() {
    let parts = [
        r#""generation":9"#,
        r#""reset":true"#,
        r#""instances":[{"instanceId":"a","cell":1,"lifecycle":"Gone"},{"instanceId":"b","cell":1,"lifecycle":"Gone"}]"#,
        r#""other":[1,{}]"#,
    ];
    for order in [[0, 1, 2, 3], [2, 1, 0, 3], [0, 2, 3, 1], [3, 2, 0, 1], [1, 2, 3, 0], [2, 3, 1, 0]] {
        let line = format!("{{{}}}", order.map(|n| parts[n]).join(","));
        assert_eq!(decode_line(&line), Decoded::without_error(events_of_line(&line)), "result for {line}");
    }
}

#[test]
fn reset_and_instances_are_optional() {
    for line in
        [r#"{"generation":9}"#, r#"{"instances":[],"generation":9}"#, r#"{"reset":true,"generation":9}"#]
    {
        assert_eq!(decode_line(line), Decoded::without_error(events_of_line(line)), "result for {line}");
    }
}

#[test]
fn malformed_part_is_refused_with_location_and_expected_input() {
    for (text, expected) in [
        ("x", "byte 1: expected a part of the list"),
        ("[]", "expected a part of the list"),
        ("{4", "byte 2: expected a key in quotes, or }"),
        ("{\"a\" 4", "expected a colon"),
        ("{\"a\":,", "expected a JSON value"),
        ("{\"a\":1 2", "expected a comma, or }"),
        ("{\"a\":1,}", "expected a key in quotes"),
        ("{\"a\":truth}", "byte 10: "),
        ("{\"a\":[1,}]}", "expected value"),
        ("{\"a\\q\":1}", "key: invalid escape"),
        ("{\"generation\":-1,", "generation: invalid value"),
        ("{\"generation\":\"4\",", "generation: invalid type"),
        ("{\"reset\":null,", "reset: invalid type"),
        ("{\"generation\":1,\"generation\":1", "expected generation once"),
        ("{\"instances\":4", "expected a list in brackets"),
        ("{\"instances\":null", "expected a list in brackets"),
        ("{\"instances\":[],\"instances\":[]", "expected instances once"),
        ("{\"reset\":true}", "expected generation in each part of the list"),
        ("{\"generation\":1} x", "expected the end of the line"),
        ("{\"generation\":1}{", "expected the end of the line"),
        ("{\"generation\":1,\"instances\":[4]", "instances[0]: invalid type"),
        ("{\"generation\":1,\"instances\":[{}]", "instances[0]: missing field `instanceId`"),
        ("{\"generation\":1,\n\n", "found an empty line"),
        ("{\"generation\":1,\"inst\n\n", "found an empty line"),
        ("{\"generation\":1,\"inst\nances\":", "key: control character"),
    ] {
        let error = error_of(text);
        assert!(error.starts_with("byte ") && error.contains(expected), "{text}: {error}");
    }
}

const ENTRY: &str = r#"{"instanceId":"a","cell":1,"lifecycle":"Gone"}"#;

#[test]
fn malformed_entry_is_refused_with_its_index() {
    for (good, bad, expected) in [
        ("Gone", "Ready", "invalid hostPort \"\", expected an IP address and port"),
        ("Gone", "Sleeping", "unknown lifecycle \"Sleeping\", expected Ready, Terminating or Gone"),
        ("1,", "-1,", "invalid value"),
        ("\"a\"", "7", "invalid type"),
    ] {
        let text =
            format!("{{\"generation\":1,\"reset\":false,\"instances\":[{ENTRY},{}", ENTRY.replace(good, bad));
        let error = error_of(&text);
        assert!(error.contains("instances[1]: ") && error.contains(expected), "{text}: {error}");
    }
}

#[test]
fn truncated_part_is_refused_at_the_next_empty_line() {
    let cut = format!("{{\"generation\":1,\"instances\":[{ENTRY},{ENTRY}");
    for end in 1..cut.len() {
        let text = format!("{}\n\n", &cut[..end]);
        assert!(error_of(&text).contains("found an empty line"), "error for {text}");
    }
}

const SMALL_LIMITS: ListLimits =
    ListLimits { max_entries: 3, max_value_bytes: 80, max_buffered_bytes: 100, max_memory_bytes: 1_000 };

/// `generation` and `reset` before the entries, where discovery sends them.
const LEADING_KEYS: &str = "\"generation\":1,\"reset\":true,";

fn entry_named(name: &str) -> String {
    format!(r#"{{"instanceId":"{name}","cell":1,"lifecycle":"Gone"}}"#)
}

/// Decodes a part with these entries between two texts, with [`SMALL_LIMITS`].
fn decode_with_small_limits(before: &str, entries: &[String], after: &str) -> Decoded {
    let text = format!("{{{before}\"instances\":[{}]{after}}}\n", entries.join(","));
    decode_with_limits(SMALL_LIMITS, &[text.as_bytes()])
}

#[test]
fn list_with_too_many_entries_is_refused_after_the_entries_within_the_limit_are_returned() {
    assert_eq!(decode_with_small_limits(LEADING_KEYS, &vec![entry_named("a"); 3], "").error, None);
    let Decoded { events, error } = decode_with_small_limits(LEADING_KEYS, &vec![entry_named("a"); 4], "");
    assert_eq!(events.len(), 4);
    assert!(error.unwrap().ends_with("instances[3]: expected at most 3 entries in a part of the list"));
}

/// `reset` and `generation` after the entries.
const TRAILING_KEYS: &str = ",\"reset\":true,\"generation\":1";

#[test]
fn list_with_an_entry_over_the_size_limit_is_refused() {
    let error =
        decode_with_small_limits(LEADING_KEYS, &[entry_named(&"a".repeat(60))], TRAILING_KEYS).error.unwrap();
    assert!(error.ends_with("instances[0]: expected at most 80 bytes in one value"), "{error}");
}

#[test]
fn entries_before_generation_and_reset_are_limited_in_size() {
    let Decoded { events, error } = decode_with_small_limits("", &vec![entry_named("a"); 2], TRAILING_KEYS);
    assert_eq!((events.len(), error), (4, None));
    let error = decode_with_small_limits("", &vec![entry_named("a"); 3], TRAILING_KEYS).error.unwrap();
    assert!(
        error.ends_with(
            "expected generation and reset before instances, or at most 100 bytes of instances before them"
        ),
        "{error}"
    );
}

/// Guards against entries that fit into the other limits and not into the memory.
#[test]
fn entries_are_limited_by_the_memory_that_they_take() {
    let listed = |name: &str| entry_named(name).replace("Gone", r#"Ready","hostPort":"10.0.0.1:80"#);
    let limits = ListLimits { max_value_bytes: 1_000, ..SMALL_LIMITS };
    let part = |entries: &[String]| {
        let text = format!("{{{LEADING_KEYS}\"instances\":[{}]}}\n", entries.join(","));
        decode_with_limits(limits, &[text.as_bytes()])
    };
    // An entry takes 400 bytes at least.
    assert_eq!(part(&vec![listed("a"); 2]).error, None);
    let error = part(&vec![listed("a"); 3]).error.unwrap();
    assert!(
        error.ends_with("expected a part of the list whose entries take at most 1000 bytes of memory"),
        "{error}"
    );
    // A longer entry takes twice its size. An endpoint that is removed takes none.
    assert_eq!(part(&[listed(&"a".repeat(400))]).error, None);
    assert!(part(&[listed(&"a".repeat(500))]).error.is_some());
    assert_eq!(part(&vec![entry_named(&"a".repeat(500)); 3]).error, None);
}

#[test]
fn unknown_key_is_ignored_whatever_the_length_of_its_value() {
    let noise = format!("\"noise\":[\"]{}\"],{LEADING_KEYS}", "x".repeat(1000));
    let text = format!("{{{noise}\"more\":1}}\n");
    assert_eq!(decode_with_limits(SMALL_LIMITS, &[text.as_bytes()]).events.len(), 2);
}

#[test]
fn default_limit_is_at_least_three_times_the_entries_of_the_largest_expected_list() {
    assert!(ListLimits::default().max_entries >= 3 * 320_000);
}

/// Returns a randomly selected text.
fn select(random: &mut Pcg32, texts: &[&str]) -> String {
    texts[random.random_range(0..texts.len())].to_owned()
}

/// Returns a random list entry, which may be invalid.
fn random_entry(random: &mut Pcg32) -> String {
    let name = select(random, &["a", "s-5be2a07c", "\\u00e4\\n", "ü}", "{[\\\"", "日本"]);
    let host = select(random, &["10.1.0.18:9000", "10.1.0.18:9000", "[::1]:1", "", "host:1"]);
    let state = select(random, &["Ready", "Ready", "Terminating", "Gone", "Sleeping"]);
    let cell = select(random, &["3", "18446744073709551615", "0", "-1", "1.5"]);
    let weight = select(random, &["1.0", "null", "2", "1e3", "\"x\""]);
    let more = select(random, &["", ",\"startedAtMs\":0", ",\"x\":{\"y\":[1,\"]\"]}", ",\"cell\":4"]);
    format!(
        r#"{{"instanceId":"{name}","hostPort":"{host}","zone":"a","cell":{cell},"lifecycle":"{state}","weight":{weight}{more}}}"#
    )
}

/// Returns a random part of an endpoint list, which may be invalid.
fn random_part(random: &mut Pcg32) -> String {
    let entries: Vec<String> = (0..random.random_range(0..4)).map(|_| random_entry(random)).collect();
    let mut keys = vec![
        format!("\"generation\":{}", select(random, &["0", "41", "18446744073709551615", "4", "7"])),
        format!("\"reset\":{}", select(random, &["true", "false"])),
        format!("\"instances\": [{}]", entries.join(" , ")),
        format!("\"other\":{}", select(random, &["1", "\"}\"", "[[],{\"a\":[]}]", "null", "-0.5e-3"])),
    ];
    for _ in 0..random.random_range(0..3) {
        let (left, right) = (random.random_range(0..keys.len()), random.random_range(0..keys.len()));
        keys.swap(left, right);
    }
    keys.truncate(random.random_range(2..=4));
    let mut text = format!("{{{}}}", keys.join(",\n\t"));
    if random.random_bool(0.3) {
        corrupt(random, &mut text);
    }
    text
}

/// Replaces one random character.
fn corrupt(random: &mut Pcg32, text: &mut String) {
    let starts: Vec<usize> = text.char_indices().map(|(at, _)| at).collect();
    let start = starts[random.random_range(0..starts.len())];
    let end = start + text[start..].chars().next().map_or(0, char::len_utf8);
    text.replace_range(start..end, &select(random, &["", "}", "\"", "]", "1"]));
}

#[test]
fn random_part_gives_the_same_result_as_decoding_it_from_memory() {
    let mut random = Pcg32::seed_from_u64(39);
    let (mut accepted, mut refused) = (0, 0);
    for _ in 0..20_000 {
        let text = random_part(&mut random);
        let split = random.random_range(0..=text.len());
        let (head, tail) = text.as_bytes().split_at(split);
        // The decoder expects the rest of an unfinished part on the next line. An empty line there is an
        // error.
        let decoded = decode(&[head, tail, b"\n\n"]);
        match ListPart::decode(text.as_bytes()) {
            Ok(part) => {
                accepted += 1;
                let mut expected = events_of(part);
                expected.push(ListEvent::Heartbeat);
                assert_eq!(decoded, Decoded::without_error(expected), "result for {text}");
            }
            Err(reason) => {
                refused += 1;
                assert!(decoded.error.is_some(), "{text}: {reason}");
            }
        }
    }
    assert!(
        accepted > 2000 && refused > 2000,
        "accepted {accepted} parts and refused {refused}, expected more than 2000 of each"
    );
}
