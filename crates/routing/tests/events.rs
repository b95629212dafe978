//! Event parsing: whole events only, each once and in order, across two runs.

use bytes::Bytes;
use quickcheck::quickcheck;
use sorrellock_routing::request::{EventError, EventParser};

fn event(id: u64) -> String {
    format!("id: {id}\ndata: token-{id}\n\n")
}

fn push(parser: &mut EventParser, text: &str) -> Result<String, EventError> {
    let out = parser.push(Bytes::copy_from_slice(text.as_bytes()))?;
    Ok(String::from_utf8(out.to_vec()).expect("text"))
}

#[test]
fn an_event_that_broke_off_is_dropped_and_the_next_run_goes_on_after_the_last_whole_one() {
    let mut parser = EventParser::new(None);

    let first = push(&mut parser, &(event(1) + "id: 2\ndata: tok")).expect("in order");
    parser.restart();
    let second = push(&mut parser, &(event(2) + &event(3))).expect("in order");

    assert_eq!(first + &second, event(1) + &event(2) + &event(3));
    assert_eq!(parser.last(), Some(3));
}

#[test]
fn events_that_were_passed_on_are_dropped() {
    let mut parser = EventParser::new(Some(2));

    let out = push(&mut parser, &(event(1) + &event(2) + &event(3))).expect("in order");

    assert_eq!(out, event(3));
}

#[test]
fn a_missing_event_is_an_error() {
    let mut parser = EventParser::new(Some(2));

    assert_eq!(push(&mut parser, &event(4)), Err(EventError::Gap { last: 2, found: 4 }));
}

#[test]
fn a_line_before_the_id_is_part_of_its_event() {
    let mut parser = EventParser::new(Some(1));
    let text = "weight-versions: 3\nid: 2\ndata: x\n\n";

    assert_eq!(push(&mut parser, text).expect("in order"), text);
}

#[test]
fn an_endless_event_is_an_error() {
    let mut parser = EventParser::new(None);
    let chunk = "x".repeat(100_000);

    let results: Vec<_> = (0..3).map(|_| push(&mut parser, &chunk)).collect();

    assert_eq!(results[2], Err(EventError::TooLarge));
}

quickcheck! {
    /// However a stream is split into chunks, and wherever its first run breaks off, all events arrive once and
    /// in order.
    fn events_come_once_and_in_order_however_they_are_cut(events: u8, cuts: Vec<u8>, end: u16) -> bool {
        let events = u64::from(events % 20) + 1;
        let whole: String = (1..=events).map(event).collect();
        let mut parser = EventParser::new(None);
        let mut out = String::new();
        let mut feed = |parser: &mut EventParser, mut text: &str| {
            for cut in &cuts {
                let (head, tail) = text.split_at(usize::from(*cut).min(text.len()));
                out += &push(parser, head).expect("in order");
                text = tail;
            }
            out += &push(parser, text).expect("in order");
        };
        feed(&mut parser, &whole[..usize::from(end).min(whole.len())]);
        parser.restart();
        let second: String = (parser.last().unwrap_or(0) + 1..=events).map(event).collect();
        feed(&mut parser, &second);
        out == whole
    }
}
