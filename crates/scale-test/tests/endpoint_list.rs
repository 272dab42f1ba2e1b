//! The endpoint list: serialized, decoded in chunks of any length, and applied.

use std::net::SocketAddrV4;
use std::sync::Arc;
use std::time::Instant;

use reeddock_scale_test::endpoint_list::{instance_index, instance_name, AuthoritativeList};
use reeddock_scale_test::hollow_state::{Difference, HollowState, HOLLOW_BYTES_PER_ENDPOINT};
use reeddock_scale_test::list_decoder::{DecodeError, Entry, ListDecoder, ListEvent};

fn address(index: u32) -> SocketAddrV4 {
    SocketAddrV4::new([127, 0, 0, 1].into(), 9000 + index as u16)
}

fn decode(text: &[u8], chunk: usize) -> Result<Vec<ListEvent>, DecodeError> {
    let mut events = Vec::new();
    let mut decoder = ListDecoder::default();
    for bytes in text.chunks(chunk) {
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
fn lines_are_decoded_alike_in_chunks_of_any_length() {
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
    for chunk in [1, 2, 3, 7, 64, 1000, text.len()] {
        assert_eq!(decode(&text, chunk).as_ref(), Ok(&expected), "chunks of {chunk}");
    }
}

#[test]
fn braces_quotes_and_spaces_within_a_line_mislead_nobody() {
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
fn what_cannot_be_decoded_is_an_error() {
    let head = |text: &[u8]| matches!(decode(text, 9), Err(DecodeError::Head(_)));
    assert!(head(b"nonsense\n") && head(b"{\"generation\":1}\n") && head(b"{\"reset\":true,\"instances\":["));
    let line = |entry: &str| format!("{{\"generation\":1,\"instances\":[{entry}]}}\n");
    for entry in [
        r#"{"instanceId":"x","hostPort":"127.0.0.1:1","cell":1,"lifecycle":"Ready"}"#,
        r#"{"instanceId":"s-00000001","hostPort":"nowhere","cell":1,"lifecycle":"Ready"}"#,
        r#"{"instanceId":"s-00000001","hostPort":"127.0.0.1:1","lifecycle":"Ready"}"#,
    ] {
        assert!(matches!(decode(line(entry).as_bytes(), 9), Err(DecodeError::Entry(_))), "{entry}");
    }
    let endless = line(&format!(r#"{{"instanceId":"{}"#, "s".repeat(20_000)));
    assert_eq!(decode(endless.as_bytes(), 100), Err(DecodeError::TooLong));
}

#[test]
fn an_endpoint_takes_sixteen_bytes_at_a_hollow_forwarder() {
    assert_eq!(HOLLOW_BYTES_PER_ENDPOINT, 16);
}

#[test]
fn names_stand_for_indices() {
    assert_eq!(instance_index(&instance_name(319_999)), Some(319_999));
    assert_eq!(
        (instance_index("s-12"), instance_index("t-00000001"), instance_index("s-0000000g")),
        (None, None, None)
    );
}

#[test]
fn a_full_list_drops_what_it_does_not_name_and_an_incomplete_one_drops_nothing() {
    let (long, short) =
        (Arc::new(AuthoritativeList::new(5, address)), Arc::new(AuthoritativeList::new(3, address)));
    let mut state = HollowState::new(None);
    apply(&mut state, &full_list(&long));
    let authoritative = long.snapshot();
    assert_eq!(state.differences(&authoritative), []);
    let text = full_list(&short);
    apply(&mut state, &text[..text.len() / 2]);
    assert_eq!(state.differences(&authoritative), [], "the old one stands");
    apply(&mut state, &text);
    let authoritative = short.snapshot();
    assert_eq!(state.differences(&authoritative), []);
}

#[test]
fn a_line_that_skips_a_change_is_noticed_though_a_later_change_hides_it() {
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
fn changes_are_retained_until_they_are_forgotten() {
    let list = AuthoritativeList::new(3, address);
    let made: Vec<u64> = (0..3).map(|index| list.put(index, address(9))).collect();
    assert_eq!(made, [2, 3, 4]);
    let generations = |after| list.changes_after(after, 2).map(|c| c.iter().map(|c| c.generation).collect());
    assert_eq!(generations(1), Some(vec![2, 3]));
    assert_eq!(generations(4), Some(vec![]));
    assert_eq!(generations(5), None, "a generation that was never made");
    list.forget_changes();
    assert_eq!((generations(3), generations(4)), (None, Some(vec![])));
}
