//! The list of endpoints, decoded one entry at a time from bytes that come in any pieces.

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;
use reeddock::{DestinationId, EndpointState};
use reeddock_protocol::{ListDecoder, ListEntry, ListEvent, ListLimits, ListPart};

/// All events of these pieces, and the fault that ended them.
fn decode(pieces: &[&[u8]], bounds: ListLimits) -> (Vec<ListEvent>, Option<String>) {
    let mut decoder = ListDecoder::new(bounds);
    let mut events = Vec::new();
    for piece in pieces {
        let mut input = *piece;
        loop {
            match decoder.next(&mut input) {
                Ok(Some(event)) => events.push(event),
                Ok(None) => break,
                Err(fault) => return (events, Some(fault.to_string())),
            }
        }
        assert!(input.is_empty());
    }
    assert_eq!(decoder.bytes() as usize, pieces.iter().map(|p| p.len()).sum::<usize>());
    (events, None)
}

fn decode_line(line: &str) -> (Vec<ListEvent>, Option<String>) {
    decode(&[line.as_bytes(), b"\n"], ListLimits::default())
}

fn fault(text: &str) -> String {
    decode(&[text.as_bytes()], ListLimits::default()).1.expect("a fault")
}

/// What a part that is there whole comes down to.
fn events_of(part: ListPart) -> Vec<ListEvent> {
    let mut events = vec![ListEvent::Begins { generation: part.generation, whole: part.whole }];
    events.extend(part.entries.into_iter().map(ListEvent::EndpointUpdated));
    events.push(ListEvent::Ends);
    events
}

const ODD: &str = r#"{"note":{"a]}":["\"}{",1e3,null,true]},"generation":41,"reset":true,"instances":[
  {"instanceId":"s\"}\\ü{","hostPort":"10.1.0.18:9000","zone":"\u00e4","machineType":"m2","cell":3,
   "lifecycle":"Ready","weight":1.0,"startedAtMs":0,"more":[[{"x":"]"}]]},
  {"instanceId":"日本","hostPort":"[::1]:9000","cell":4,"lifecycle":"Terminating"} ,
  {"lifecycle":"Gone","cell":5,"instanceId":"t"}
 ] , "after":"x"}"#;

#[test]
fn a_watch_is_decoded_alike_wherever_its_bytes_are_split() {
    let change = r#"{"generation":42,"reset":false,"instances":[]}"#;
    let text = format!("\n{ODD}\n\r\n  \n{change}\r\n\n");
    let expected: Vec<ListEvent> = [ListEvent::Heartbeat]
        .into_iter()
        .chain(events_of(ListPart::decode(ODD.as_bytes()).unwrap()))
        .chain([ListEvent::Heartbeat, ListEvent::Heartbeat])
        .chain(events_of(ListPart::decode(change.as_bytes()).unwrap()))
        .chain([ListEvent::Heartbeat])
        .collect();
    let bytes = text.as_bytes();
    for split in 0..=bytes.len() {
        let (events, fault) = decode(&[&bytes[..split], &bytes[split..]], ListLimits::default());
        assert_eq!((&events, fault), (&expected, None), "split at {split}");
    }
    let single: Vec<&[u8]> = bytes.chunks(1).collect();
    assert_eq!(decode(&single, ListLimits::default()), (expected, None));
}

#[test]
fn an_entry_is_told_as_soon_as_it_has_come_and_the_end_only_with_its_line() {
    let begun = r#"{"generation":7,"reset":true,"instances":[{"instanceId":"a","cell":1,"lifecycle":"Gone"}"#;
    let entry = ListEntry {
        name: "a".into(),
        address: None,
        destination: DestinationId(1),
        state: EndpointState::Removed,
        weight: None,
        zone: String::new(),
        kind: String::new(),
    };
    let expected = vec![ListEvent::Begins { generation: 7, whole: true }, ListEvent::EndpointUpdated(entry)];
    assert_eq!(decode(&[begun.as_bytes()], ListLimits::default()), (expected, None));
    let whole = format!("{begun}]}}");
    assert_eq!(decode(&[whole.as_bytes()], ListLimits::default()).0.len(), 2);
    assert_eq!(decode_line(&whole).0.last(), Some(&ListEvent::Ends));
}

#[test]
fn keys_may_come_in_any_order() {
    let parts = [
        r#""generation":9"#,
        r#""reset":true"#,
        r#""instances":[{"instanceId":"a","cell":1,"lifecycle":"Gone"},{"instanceId":"b","cell":1,"lifecycle":"Gone"}]"#,
        r#""other":[1,{}]"#,
    ];
    for order in [[0, 1, 2, 3], [2, 1, 0, 3], [0, 2, 3, 1], [3, 2, 0, 1], [1, 2, 3, 0], [2, 3, 1, 0]] {
        let line = format!("{{{}}}", order.map(|n| parts[n]).join(","));
        let expected = events_of(ListPart::decode(line.as_bytes()).unwrap());
        assert_eq!(decode_line(&line), (expected, None), "{line}");
    }
    for line in
        [r#"{"generation":9}"#, r#"{"instances":[],"generation":9}"#, r#"{"reset":true,"generation":9}"#]
    {
        let expected = events_of(ListPart::decode(line.as_bytes()).unwrap());
        assert_eq!(decode_line(line), (expected, None), "{line}");
    }
}

#[test]
fn what_is_no_part_is_refused_with_place_and_expectation() {
    let entry = r#"{"instanceId":"a","cell":1,"lifecycle":"Gone"}"#;
    for (text, told) in [
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
        ("{\"reset\":true}", "expected generation in each part"),
        ("{\"generation\":1} x", "expected the end of the line"),
        ("{\"generation\":1}{", "expected the end of the line"),
        ("{\"generation\":1,\"instances\":[4]", "instances[0]: invalid type"),
        ("{\"generation\":1,\"instances\":[{}]", "instances[0]: missing field `instanceId`"),
        ("{\"generation\":1,\n\n", "found an empty line"),
        ("{\"generation\":1,\"inst\n\n", "found an empty line"),
        ("{\"generation\":1,\"inst\nances\":", "key: control character"),
    ] {
        let fault = fault(text);
        assert!(fault.starts_with("byte ") && fault.contains(told), "{text}: {fault}");
    }
    for (good, bad, told) in [
        ("Gone", "Ready", "\"\" is no address"),
        ("Gone", "Sleeping", "unknown lifecycle \"Sleeping\""),
        ("1,", "-1,", "invalid value"),
        ("\"a\"", "7", "invalid type"),
    ] {
        let text =
            format!("{{\"generation\":1,\"reset\":false,\"instances\":[{entry},{}", entry.replace(good, bad));
        let fault = fault(&text);
        assert!(fault.contains("instances[1]: ") && fault.contains(told), "{text}: {fault}");
    }
    let cut = format!("{{\"generation\":1,\"instances\":[{entry},{entry}");
    for end in 1..cut.len() {
        let text = format!("{}\n\n", &cut[..end]);
        assert!(fault(&text).contains("found an empty line"), "{text}");
    }
}

#[test]
fn a_list_is_bounded_by_its_entries_and_the_bytes_of_each() {
    let bounds = ListLimits { entries: 3, value_bytes: 80, early_bytes: 100 };
    let entry = |name: &str| format!(r#"{{"instanceId":"{name}","cell":1,"lifecycle":"Gone"}}"#);
    let told = |head: &str, entries: &[String]| {
        let text =
            format!("{{{head}\"instances\":[{}],\"reset\":true,\"generation\":1}}\n", entries.join(","));
        decode(&[text.as_bytes()], bounds)
    };
    let first = "\"generation\":1,\"reset\":true,";
    let count = |n: usize| vec![entry("a"); n];
    let text = |n: usize| format!("{{{first}\"instances\":[{}]}}\n", count(n).join(","));
    assert_eq!(decode(&[text(3).as_bytes()], bounds).1, None);
    let (events, fault) = decode(&[text(4).as_bytes()], bounds);
    assert_eq!(events.len(), 4, "what came before it is told");
    assert!(fault.unwrap().ends_with("instances[3]: expected 3 entries at most in a list"));
    let long = entry(&"a".repeat(60));
    let fault = told(first, &[long]).1.unwrap();
    assert!(fault.ends_with("instances[0]: expected 80 bytes at most in one value"), "{fault}");
    let (events, fault) = told("", &count(2));
    assert_eq!((events.len(), fault), (4, None));
    let fault = told("", &count(3)).1.unwrap();
    assert!(
        fault.ends_with("expected generation and reset before instances, or 100 bytes of these at most"),
        "{fault}"
    );
    // A key without a meaning is passed over however long it is.
    let noise = format!("\"noise\":[\"]{}\"],{first}", "x".repeat(1000));
    assert_eq!(decode(&[format!("{{{noise}\"more\":1}}\n").as_bytes()], bounds).0.len(), 2);
}

#[test]
fn by_default_a_list_may_be_three_times_as_long_as_the_largest_that_is_expected() {
    assert!(ListLimits::default().entries >= 3 * 320_000);
}

/// A text that is a part of the list, or nearly so.
fn random_part(chance: &mut Pcg32) -> String {
    let any = |chance: &mut Pcg32, of: &[&str]| of[chance.random_range(0..of.len())].to_owned();
    let entry = |chance: &mut Pcg32| {
        let name = any(chance, &["a", "s-5be2a07c", "\\u00e4\\n", "ü}", "{[\\\"", "日本"]);
        let host = any(chance, &["10.1.0.18:9000", "10.1.0.18:9000", "[::1]:1", "", "host:1"]);
        let state = any(chance, &["Ready", "Ready", "Terminating", "Gone", "Sleeping"]);
        let cell = any(chance, &["3", "18446744073709551615", "0", "-1", "1.5"]);
        let weight = any(chance, &["1.0", "null", "2", "1e3", "\"x\""]);
        let more = any(chance, &["", ",\"startedAtMs\":0", ",\"x\":{\"y\":[1,\"]\"]}", ",\"cell\":4"]);
        format!(
            r#"{{"instanceId":"{name}","hostPort":"{host}","zone":"a","cell":{cell},"lifecycle":"{state}","weight":{weight}{more}}}"#
        )
    };
    let entries: Vec<String> = (0..chance.random_range(0..4)).map(|_| entry(chance)).collect();
    let mut keys = vec![
        format!("\"generation\":{}", any(chance, &["0", "41", "18446744073709551615", "4", "7"])),
        format!("\"reset\":{}", any(chance, &["true", "false"])),
        format!("\"instances\": [{}]", entries.join(" , ")),
        format!("\"other\":{}", any(chance, &["1", "\"}\"", "[[],{\"a\":[]}]", "null", "-0.5e-3"])),
    ];
    for _ in 0..chance.random_range(0..3) {
        let (single_request, other) =
            (chance.random_range(0..keys.len()), chance.random_range(0..keys.len()));
        keys.swap(single_request, other);
    }
    keys.truncate(chance.random_range(2..=4));
    let mut text = format!("{{{}}}", keys.join(",\n\t"));
    if chance.random_bool(0.3) {
        let at: Vec<usize> = text.char_indices().map(|(at, _)| at).collect();
        let at = at[chance.random_range(0..at.len())];
        text.replace_range(
            at..at + text[at..].chars().next().map_or(0, char::len_utf8),
            &any(chance, &["", "}", "\"", "]", "1"]),
        );
    }
    text
}

#[test]
fn random_parts_are_decoded_and_refused_as_when_they_are_there_whole() {
    let mut chance = Pcg32::seed_from_u64(39);
    let (mut taken, mut refused) = (0, 0);
    for _ in 0..20_000 {
        let text = random_part(&mut chance);
        let whole = ListPart::decode(text.as_bytes());
        let split = chance.random_range(0..=text.len());
        let (head, tail) = text.as_bytes().split_at(split);
        // A part that has no end by now would go on in the next line, which here is empty.
        let (events, fault) = decode(&[head, tail, b"\n\n"], ListLimits::default());
        match whole {
            Ok(part) => {
                taken += 1;
                let mut expected = events_of(part);
                expected.push(ListEvent::Heartbeat);
                assert_eq!((events, fault), (expected, None), "{text}");
            }
            Err(reason) => {
                refused += 1;
                assert!(fault.is_some(), "{text}: {reason}");
            }
        }
    }
    assert!(taken > 2000 && refused > 2000, "{taken} {refused}");
}
