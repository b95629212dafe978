//! What is no HTTP, or comes too slowly.

use crate::entry_fixture::{EntryFixture, MAX_CONNECTIONS, read_to_end, wait_until};
use std::io::Write;

#[test]
fn what_is_no_http_is_refused_and_the_entry_goes_on() {
    let fixture = EntryFixture::start();
    let long_head = format!("GET / HTTP/1.1\r\nx: {}\r\n\r\n", "x".repeat(64 << 10));
    let table: [(&[u8], &str); 6] = [
        (b"nonsense\r\n\r\n", "HTTP/1.1 400 "),
        (b"GET / HTTP/9.9\r\n\r\n", "HTTP/1.1 400 "),
        (b"GET / HTTP/1.1\r\nno colon here\r\n\r\n", "HTTP/1.1 400 "),
        (b"POST /v1/completions HTTP/1.1\r\ncontent-length: many\r\n\r\n", "HTTP/1.1 400 "),
        (b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03", "HTTP/1.1 400 "),
        (long_head.as_bytes(), "HTTP/1.1 431 "),
    ];

    for (bytes, begins) in table {
        let answer = fixture.exchange(bytes);

        assert!(answer.starts_with(begins), "{:?}: {answer}", String::from_utf8_lossy(bytes));
    }
    assert!(fixture.is_ready());
}

#[test]
fn slow_and_half_open_callers_are_cut_off_and_hold_no_place() {
    let fixture = EntryFixture::start();
    let head =
        b"POST /v1/completions HTTP/1.1\r\nhost: x\r\nauthorization: Bearer key-treasury\r\n";
    let mut slow: Vec<_> = (0..MAX_CONNECTIONS - 2).map(|_| fixture.connect()).collect();

    for (number, stream) in slow.iter_mut().enumerate() {
        match number % 3 {
            0 => {}
            1 => stream.write_all(&head[..20]).unwrap(),
            _ => {
                stream.write_all(head).unwrap();
                stream.write_all(b"content-length: 100\r\n\r\n{\"mo").unwrap();
            }
        }
    }

    for (number, stream) in slow.iter_mut().enumerate() {
        let answer = read_to_end(stream);
        if number % 3 == 2 {
            assert!(answer.starts_with("HTTP/1.1 408 "), "{answer}");
            assert!(answer.contains("sorrellock-outcome: not-run"), "{answer}");
        }
    }
    wait_until("the places are free", || fixture.is_ready());
    assert_eq!(fixture.dump()["in_progress"], 0);
}
