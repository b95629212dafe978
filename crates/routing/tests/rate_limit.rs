//! Reads limits of requests a second.

use sorrellock_routing::process::limits::{InvalidRateLimit, RateLimit};

#[test]
fn decimal_numbers_are_limits() {
    let table = [
        ("0", 0.0),
        ("4.3", 4.3),
        ("12", 12.0),
        (".5", 0.5),
        ("7.", 7.0),
        ("0.0004", 0.0),
        ("2.98765", 2.987),
        ("18446744073709551616", u64::MAX as f64 / 1e3),
    ];

    for (text, per_s) in table {
        let limit: RateLimit = text.parse().expect(text);
        assert_eq!(limit.per_s(), per_s, "{text}");
    }
}

#[test]
fn other_texts_are_no_limits() {
    for text in ["", ".", "-1", "+1", "1e3", "4,3", "NaN", "inf", "1 2", "1.2.3", "four"] {
        assert_eq!(text.parse::<RateLimit>(), Err(InvalidRateLimit), "{text}");
    }
}
