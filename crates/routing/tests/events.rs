//! Event parsing: whole events only, each once and in order, across two runs, whatever ids a faulty run sends.

use bytes::Bytes;
use quickcheck::quickcheck;
use sorrellock_routing::request::{EventError, EventParser, ParsedChunk};

fn event(id: u64) -> String {
    format!("id: {id}\ndata: token-{id}\n\n")
}

fn push(parser: &mut EventParser, text: &str) -> Result<String, EventError> {
    match parse(parser, text) {
        (events, None) => Ok(events),
        (_, Some(err)) => Err(err),
    }
}

/// Returns the events that are passed on, and what is wrong with the one after these.
fn parse(parser: &mut EventParser, text: &str) -> (String, Option<EventError>) {
    let ParsedChunk { events, error } = parser.push(Bytes::copy_from_slice(text.as_bytes()));
    (String::from_utf8(events.to_vec()).expect("text"), error)
}

/// An event with another id than its own.
fn spoiled(id: &str, event: u64) -> String {
    format!("id: {id}\ndata: token-{event}\n\n")
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

/// Guards against whole events that disappear as the one after them in their chunk is wrong.
#[test]
fn events_before_a_wrong_one_of_their_chunk_are_passed_on() {
    let mut parser = EventParser::new(None);

    let parsed = parse(&mut parser, &(event(1) + &event(2) + &spoiled("4003", 3)));

    let gap = EventError::Gap { last: 2, found: 4003 };
    assert_eq!(parsed, (event(1) + &event(2), Some(gap)));
    assert_eq!(parser.last(), Some(2));
}

#[test]
fn an_id_that_was_passed_on_is_an_error_within_a_run() {
    let mut parser = EventParser::new(None);
    push(&mut parser, &(event(1) + &event(2) + &event(3))).expect("in order");

    let parsed = push(&mut parser, &spoiled("2", 4));

    assert_eq!(parsed, Err(EventError::Repeated { last: 3, found: 2 }));
}

#[test]
fn a_new_stream_begins_with_its_first_event() {
    for (id, expected) in [("0", None), ("1", None), ("2", Some(2)), ("4001", Some(4001))] {
        let mut parser = EventParser::new(None);

        let (_, error) = parse(&mut parser, &spoiled(id, 1));

        let gap = expected.map(|found| EventError::Gap { last: 0, found });
        assert_eq!(error, gap, "first id {id}");
    }
}

#[test]
fn a_resumed_run_begins_after_the_last_event_or_at_the_start_of_the_stream() {
    for (id, is_sound) in [("0", true), ("1", true), ("2", false), ("12", false), ("13", true)] {
        let mut parser = EventParser::new(Some(12));

        let parsed = push(&mut parser, &spoiled(id, 13));

        assert_eq!(parsed.is_ok(), is_sound, "first id {id}");
    }
}

#[test]
fn a_run_that_ends_before_the_last_event_that_was_passed_on_is_not_complete() {
    let mut parser = EventParser::new(Some(3));
    let mut may_end = vec![parser.may_end()];

    for text in [event(1), event(2) + &event(3), event(4)] {
        push(&mut parser, &text).expect("in order");
        may_end.push(parser.may_end());
    }

    assert_eq!(may_end, [true, false, true, true]);
}

#[test]
fn an_event_with_data_needs_a_number_as_its_id() {
    for id in ["20x", "", "x", "-1", "+2", "02", "18446744073709551616"] {
        let mut parser = EventParser::new(Some(1));

        assert_eq!(push(&mut parser, &spoiled(id, 2)), Err(EventError::NoId), "id {id:?}");
    }
    for text in
        ["data: x\n\n", "id\ndata: x\n\n", "id : 2\ndata: x\n\n", "id: 2\nid: 3\ndata: x\n\n"]
    {
        let mut parser = EventParser::new(Some(1));

        assert_eq!(push(&mut parser, text), Err(EventError::NoId), "{text:?}");
    }
}

#[test]
fn comments_are_passed_on_and_need_no_id() {
    let mut parser = EventParser::new(None);
    let text = event(1) + ": keep-alive\n\nretry: 100\n\n" + &event(2);

    assert_eq!(push(&mut parser, &text), Ok(text.clone()));
    assert_eq!(parser.events(), 2);
}

#[test]
fn the_highest_id_has_no_successor() {
    let mut parser = EventParser::new(Some(u64::MAX));

    let parsed = push(&mut parser, &event(3));

    assert_eq!(parsed, Err(EventError::Repeated { last: u64::MAX, found: 3 }));
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
    /// Whichever event has a wrong id and however the stream is cut, what is passed on and a sound run after it make the
    /// whole stream, and nothing of it is taken for complete before.
    fn a_wrong_id_costs_no_event(events: u8, at: u8, id: u64, cuts: Vec<u8>) -> bool {
        let events = u64::from(events % 20) + 1;
        let at = u64::from(at) % events + 1;
        if id == at || (at == 1 && id == 0) {
            return true;
        }
        let text = |number: u64| if number == at { spoiled(&id.to_string(), at) } else { event(number) };
        let whole: String = (1..=events).map(text).collect();
        let mut parser = EventParser::new(None);
        let (mut out, mut rest, mut error) = (String::new(), whole.as_str(), None);
        for cut in cuts.into_iter().map(usize::from).chain([whole.len()]) {
            let (head, tail) = rest.split_at(cut.min(rest.len()));
            let parsed = parse(&mut parser, head);
            out += &parsed.0;
            rest = tail;
            error = parsed.1;
            if error.is_some() {
                break;
            }
        }
        parser.restart();
        let next: String = (parser.last().unwrap_or(0) + 1..=events).map(event).collect();
        out += &push(&mut parser, &next).expect("in order");
        error.is_some() && out == (1..=events).map(event).collect::<String>()
    }

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
