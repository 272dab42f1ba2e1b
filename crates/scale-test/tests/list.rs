//! The list as it is written, read in pieces of any length, and kept.

use std::net::SocketAddrV4;
use std::sync::Arc;
use std::time::Instant;

use reeddock_scale_test::decode::{Decoder, Entry, Part, Unreadable};
use reeddock_scale_test::hollow::{Difference, Known, BYTES_A_TARGET};
use reeddock_scale_test::truth::{name_of, place_of, Truth};

fn address(place: u32) -> SocketAddrV4 {
    SocketAddrV4::new([127, 0, 0, 1].into(), 9000 + place as u16)
}

fn read(text: &[u8], piece: usize) -> Result<Vec<Part>, Unreadable> {
    let mut parts = Vec::new();
    let mut decoder = Decoder::default();
    for bytes in text.chunks(piece) {
        decoder.read(bytes, |part| parts.push(part))?;
    }
    Ok(parts)
}

fn whole(truth: &Arc<Truth>) -> Vec<u8> {
    let runtime = tokio::runtime::Builder::new_current_thread().build().unwrap();
    runtime.block_on(truth.whole()).pieces.concat()
}

fn take(known: &mut Known, text: &[u8]) {
    for part in read(text, 100).unwrap() {
        known.apply(part, Instant::now());
    }
}

#[test]
fn lines_are_read_alike_in_pieces_of_any_length() {
    let truth = Arc::new(Truth::new(3, address));
    let mut text = b"\n".to_vec();
    text.extend(whole(&truth));
    truth.put(1, address(7));
    truth.put(3, address(3));
    for change in truth.changes_after(1, 10).unwrap() {
        text.extend(&change.line);
    }
    let entry = |place, at| Part::Entry(Entry { place, destination: place, address: Some(address(at)) });
    let expected = vec![
        Part::Nothing,
        Part::Begins { generation: 1, whole: true },
        entry(0, 0),
        entry(1, 1),
        entry(2, 2),
        Part::Ends,
        Part::Begins { generation: 2, whole: false },
        entry(1, 7),
        Part::Ends,
        Part::Begins { generation: 3, whole: false },
        entry(3, 3),
        Part::Ends,
    ];
    for piece in [1, 2, 3, 7, 64, 1000, text.len()] {
        assert_eq!(read(&text, piece).as_ref(), Ok(&expected), "pieces of {piece}");
    }
}

#[test]
fn braces_quotes_and_spaces_within_a_line_mislead_nobody() {
    let text = br#"{"generation": 5, "reset": false, "note": "]}{[\"", "instances": [
        {"instanceId": "s-0000000a", "hostPort": "", "zone": "}\\", "cell": 4, "lifecycle": "Gone"} ] , "more": 1}
"#;
    let parts = read(text, 5).unwrap();
    let gone = Part::Entry(Entry { place: 10, destination: 4, address: None });
    assert_eq!(parts, [Part::Begins { generation: 5, whole: false }, gone, Part::Ends]);
}

#[test]
fn what_cannot_be_read_is_told() {
    let head = |text: &[u8]| matches!(read(text, 9), Err(Unreadable::Head(_)));
    assert!(head(b"nonsense\n") && head(b"{\"generation\":1}\n") && head(b"{\"reset\":true,\"instances\":["));
    let line = |entry: &str| format!("{{\"generation\":1,\"instances\":[{entry}]}}\n");
    for entry in [
        r#"{"instanceId":"x","hostPort":"127.0.0.1:1","cell":1,"lifecycle":"Ready"}"#,
        r#"{"instanceId":"s-00000001","hostPort":"nowhere","cell":1,"lifecycle":"Ready"}"#,
        r#"{"instanceId":"s-00000001","hostPort":"127.0.0.1:1","lifecycle":"Ready"}"#,
    ] {
        assert!(matches!(read(line(entry).as_bytes(), 9), Err(Unreadable::Entry(_))), "{entry}");
    }
    let endless = line(&format!(r#"{{"instanceId":"{}"#, "s".repeat(20_000)));
    assert_eq!(read(endless.as_bytes(), 100), Err(Unreadable::TooLong));
}

#[test]
fn a_target_takes_sixteen_bytes_at_a_hollow_forwarder() {
    assert_eq!(BYTES_A_TARGET, 16);
}

#[test]
fn names_stand_for_places() {
    assert_eq!(place_of(&name_of(319_999)), Some(319_999));
    assert_eq!((place_of("s-12"), place_of("t-00000001"), place_of("s-0000000g")), (None, None, None));
}

#[test]
fn a_whole_list_drops_what_it_does_not_name_and_one_that_breaks_off_drops_nothing() {
    let (long, short) = (Arc::new(Truth::new(5, address)), Arc::new(Truth::new(3, address)));
    let mut known = Known::new(None);
    take(&mut known, &whole(&long));
    let (generation, targets) = long.targets();
    assert_eq!(known.differences(generation, &targets), []);
    let text = whole(&short);
    take(&mut known, &text[..text.len() / 2]);
    assert_eq!(known.differences(generation, &targets), [], "the old one stands");
    take(&mut known, &text);
    let (generation, targets) = short.targets();
    assert_eq!(known.differences(generation, &targets), []);
}

#[test]
fn a_line_that_passes_a_change_over_is_noticed_though_a_later_change_hides_it() {
    let truth = Arc::new(Truth::new(3, address));
    let mut known = Known::new(None);
    take(&mut known, &whole(&truth));
    truth.put(1, address(5));
    truth.put(1, address(6));
    let changes = truth.changes_after(1, 10).unwrap();
    take(&mut known, &changes[1].line);
    let (generation, targets) = truth.targets();
    assert_eq!(known.differences(generation, &targets), [Difference::Missing { generation: 3 }]);
}

#[test]
fn changes_are_told_until_they_are_forgotten() {
    let truth = Truth::new(3, address);
    let made: Vec<u64> = (0..3).map(|place| truth.put(place, address(9))).collect();
    assert_eq!(made, [2, 3, 4]);
    let generations = |after| truth.changes_after(after, 2).map(|c| c.iter().map(|c| c.generation).collect());
    assert_eq!(generations(1), Some(vec![2, 3]));
    assert_eq!(generations(4), Some(vec![]));
    assert_eq!(generations(5), None, "a generation that was never made");
    truth.forget_changes();
    assert_eq!((generations(3), generations(4)), (None, Some(vec![])));
}
