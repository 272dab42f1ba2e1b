//! The endpoint list is serialized, decoded in chunks and applied without loss of entries or changes.

use std::net::SocketAddrV4;
use std::sync::Arc;
use std::time::Instant;

use reeddock_scale_test::endpoint_list::{instance_index, instance_name, AuthoritativeList};
use reeddock_scale_test::hollow_state::{Difference, HollowState, HOLLOW_BYTES_PER_ENDPOINT};
use reeddock_scale_test::list_decoder::{DecodeError, Entry, ListDecoder, ListEvent};

fn address(index: u32) -> SocketAddrV4 {
    SocketAddrV4::new([127, 0, 0, 1].into(), 9000 + index as u16)
}

fn decode(text: &[u8], chunk_bytes: usize) -> Result<Vec<ListEvent>, DecodeError> {
    let mut events = Vec::new();
    let mut decoder = ListDecoder::default();
    for bytes in text.chunks(chunk_bytes) {
        decoder.decode(bytes, |event| events.push(event))?;
    }
    Ok(events)
}

fn full_list(list: &Arc<AuthoritativeList>) -> Vec<u8> {
    let runtime = tokio::runtime::Builder::new_current_thread().build().unwrap();
    runtime.block_on(list.full_list()).chunks.concat()
}

fn apply(state: &mut HollowState, text: &[u8]) {
    for event in decode(text, 100).unwrap() {
        state.apply(event, Instant::now());
    }
}

#[test]
fn decoding_does_not_depend_on_chunk_length() {
    let list = Arc::new(AuthoritativeList::new(3, address));
    let mut text = b"\n".to_vec();
    text.extend(full_list(&list));
    list.put(1, address(7));
    list.put(3, address(3));
    for change in list.changes_after(1, 10).unwrap() {
        text.extend(&change.line);
    }
    let entry = |index, at| ListEvent::Entry(Entry { index, destination: index, address: Some(address(at)) });
    let expected = vec![
        ListEvent::EmptyLine,
        ListEvent::LineStarted { generation: 1, full: true },
        entry(0, 0),
        entry(1, 1),
        entry(2, 2),
        ListEvent::LineFinished,
        ListEvent::LineStarted { generation: 2, full: false },
        entry(1, 7),
        ListEvent::LineFinished,
        ListEvent::LineStarted { generation: 3, full: false },
        entry(3, 3),
        ListEvent::LineFinished,
    ];
    for chunk_bytes in [1, 2, 3, 7, 64, 1000, text.len()] {
        assert_eq!(decode(&text, chunk_bytes).as_ref(), Ok(&expected), "chunks of {chunk_bytes} bytes");
    }
}

#[test]
fn braces_and_quotes_in_strings_do_not_affect_decoding() {
    let text = br#"{"generation": 5, "reset": false, "note": "]}{[\"", "instances": [
        {"instanceId": "s-0000000a", "hostPort": "", "zone": "}\\", "cell": 4, "lifecycle": "Gone"} ] , "more": 1}
"#;
    let events = decode(text, 5).unwrap();
    let gone = ListEvent::Entry(Entry { index: 10, destination: 4, address: None });
    assert_eq!(
        events,
        [ListEvent::LineStarted { generation: 5, full: false }, gone, ListEvent::LineFinished]
    );
}

#[test]
fn invalid_lines_are_rejected() {
    let is_header_error = |text: &[u8]| matches!(decode(text, 9), Err(DecodeError::Header(_)));
    assert!(
        is_header_error(b"nonsense\n")
            && is_header_error(b"{\"generation\":1}\n")
            && is_header_error(b"{\"reset\":true,\"instances\":[")
    );
    let line = |entry: &str| format!("{{\"generation\":1,\"instances\":[{entry}]}}\n");
    for entry in [
        r#"{"instanceId":"x","hostPort":"127.0.0.1:1","cell":1,"lifecycle":"Ready"}"#,
        r#"{"instanceId":"s-00000001","hostPort":"nowhere","cell":1,"lifecycle":"Ready"}"#,
        r#"{"instanceId":"s-00000001","hostPort":"127.0.0.1:1","lifecycle":"Ready"}"#,
    ] {
        assert!(matches!(decode(line(entry).as_bytes(), 9), Err(DecodeError::Entry(_))), "{entry}");
    }
    let too_long = line(&format!(r#"{{"instanceId":"{}"#, "s".repeat(20_000)));
    assert_eq!(decode(too_long.as_bytes(), 100), Err(DecodeError::TooLong));
}

#[test]
fn hollow_forwarder_needs_sixteen_bytes_per_endpoint() {
    assert_eq!(HOLLOW_BYTES_PER_ENDPOINT, 16);
}

#[test]
fn instance_name_is_parsed_back_to_its_index() {
    assert_eq!(instance_index(&instance_name(319_999)), Some(319_999));
    assert_eq!(
        (instance_index("s-12"), instance_index("t-00000001"), instance_index("s-0000000g")),
        (None, None, None)
    );
}

#[test]
fn full_list_removes_unlisted_endpoints_only_when_complete() {
    let (long_list, short_list) =
        (Arc::new(AuthoritativeList::new(5, address)), Arc::new(AuthoritativeList::new(3, address)));
    let mut state = HollowState::new(None);
    apply(&mut state, &full_list(&long_list));
    let authoritative = long_list.snapshot();
    assert_eq!(state.differences(&authoritative), []);
    let text = full_list(&short_list);
    apply(&mut state, &text[..text.len() / 2]);
    assert_eq!(
        state.differences(&authoritative),
        [],
        "an incomplete full list must not replace the previous one"
    );
    apply(&mut state, &text);
    let authoritative = short_list.snapshot();
    assert_eq!(state.differences(&authoritative), []);
}

#[test]
fn skipped_change_is_reported_even_if_a_later_change_overwrites_it() {
    let list = Arc::new(AuthoritativeList::new(3, address));
    let mut state = HollowState::new(None);
    apply(&mut state, &full_list(&list));
    list.put(1, address(5));
    list.put(1, address(6));
    let changes = list.changes_after(1, 10).unwrap();
    apply(&mut state, &changes[1].line);
    let authoritative = list.snapshot();
    assert_eq!(state.differences(&authoritative), [Difference::SkippedChange { generation: 3 }]);
}

#[test]
fn changes_are_retained_until_forgotten() {
    let list = AuthoritativeList::new(3, address);
    let generations_made: Vec<u64> = (0..3).map(|index| list.put(index, address(9))).collect();
    assert_eq!(generations_made, [2, 3, 4]);
    let generations = |after| list.changes_after(after, 2).map(|c| c.iter().map(|c| c.generation).collect());
    assert_eq!(generations(1), Some(vec![2, 3]));
    assert_eq!(generations(4), Some(vec![]));
    assert_eq!(generations(5), None, "changes after a generation that does not exist");
    list.forget_changes();
    assert_eq!((generations(3), generations(4)), (None, Some(vec![])));
}
