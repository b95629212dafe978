//! Well-formed HTTP that asks for what can't be had.

use crate::entry_fixture::{EntryFixture, MAX_BODY_BYTES};
use serde_json::Value;

/// A request, and what its refusal must be and name.
struct Bad {
    method: &'static str,
    path: &'static str,
    headers: Vec<(&'static str, String)>,
    body: String,
    status: u16,
    named: &'static [&'static str],
}

/// The longest idempotency key that the entry takes.
const MAX_KEY_BYTES: usize = 255;

const KEY: (&str, &str) = ("authorization", "Bearer key-treasury");

fn bad(body: &str, status: u16, named: &'static [&'static str]) -> Bad {
    let (method, path, headers) = ("POST", "/v1/completions", Vec::new());
    Bad { method, path, headers, body: body.into(), status, named }.with(&[KEY])
}

impl Bad {
    fn at(mut self, method: &'static str, path: &'static str) -> Bad {
        (self.method, self.path) = (method, path);
        self
    }

    fn with(mut self, headers: &[(&'static str, &str)]) -> Bad {
        self.headers = headers.iter().map(|(name, value)| (*name, (*value).to_owned())).collect();
        self
    }

    /// The request on the wire, closing the connection after its answer.
    fn bytes(&self) -> Vec<u8> {
        let mut text = format!(
            "{} {} HTTP/1.1\r\nhost: entry\r\nconnection: close\r\n",
            self.method, self.path
        );
        self.headers
            .iter()
            .for_each(|(name, value)| text.push_str(&format!("{name}: {value}\r\n")));
        text.push_str(&format!("content-length: {}\r\n\r\n{}", self.body.len(), self.body));
        text.into_bytes()
    }
}

const GOOD: &str = r#"{"model":"lexis","prompt":"x"}"#;

fn table() -> Vec<Bad> {
    let mut table = of_keys_and_paths();
    table.extend(of_bodies());
    table.extend(of_headers());
    table
}

fn of_keys_and_paths() -> Vec<Bad> {
    vec![
        bad(GOOD, 401, &["Authorization", "Bearer"]).with(&[]),
        bad(GOOD, 401, &["key"]).with(&[("authorization", "Bearer wrong")]),
        bad(GOOD, 401, &["Authorization", "Bearer"]).with(&[("authorization", "Basic a2V5")]),
        bad(GOOD, 401, &["Authorization"]).with(&[("authorization", "Bearer k\u{e9}y")]),
        bad("", 405, &["POST"]).at("GET", "/v1/completions"),
        bad("", 405, &["POST"]).at("DELETE", "/v1/chat/completions"),
        bad(GOOD, 404, &["/v1/completions"]).at("POST", "/v1/complete"),
        bad("", 404, &["/v1/services/SERVICE/PATH"]).at("GET", "/"),
        bad("{}", 404, &["service", "`nothing`"]).at("POST", "/v1/services/nothing/x"),
        bad("{}", 404, &["service"]).at("POST", "/v1/services/"),
    ]
}

fn of_bodies() -> Vec<Bad> {
    let chat = |body, named| bad(body, 400, named).at("POST", "/v1/chat/completions");
    vec![
        bad("", 400, &["body"]),
        bad("{", 400, &["body", "EOF"]),
        bad("[]", 400, &["body"]),
        bad("\u{0}\u{1}", 400, &["body"]),
        bad(r#"{"prompt":"x"}"#, 400, &["`model`"]),
        bad(r#"{"model":"lexis"}"#, 400, &["`prompt`"]),
        bad(r#"{"model":"nothing","prompt":"x"}"#, 404, &["model", "`nothing`"]),
        bad(r#"{"model":"lexis","prompt":""}"#, 400, &["prompt", "at least one"]),
        bad(r#"{"model":"lexis","prompt":7}"#, 400, &["integer `7`", "string"]),
        bad(r#"{"model":"lexis","prompt":"x","max_tokens":0}"#, 400, &["max_tokens", "at least 1"]),
        bad(
            r#"{"model":"lexis","prompt":"x","max_tokens":99999}"#,
            400,
            &["max_tokens", "at most"],
        ),
        bad(r#"{"model":"lexis","prompt":"x","max_tokens":-3}"#, 400, &["-3"]),
        bad(r#"{"model":"lexis","prompt":"x","max_tokens":1e99}"#, 400, &["body"]),
        bad(r#"{"model":"lexis","prompt":"x","stream":"yes"}"#, 400, &["yes", "boolean"]),
        chat(r#"{"model":"lexis"}"#, &["`messages`"]),
        chat(r#"{"model":"lexis","messages":[]}"#, &["prompt"]),
        chat(r#"{"model":"lexis","messages":[{"role":"user"}]}"#, &["`content`"]),
        bad(&"x".repeat(MAX_BODY_BYTES + 1), 413, &["body", "65536"]),
    ]
}

fn of_headers() -> Vec<Bad> {
    let long_key = "k".repeat(MAX_KEY_BYTES + 1);
    let service =
        |headers, named| bad("{}", 400, named).at("POST", "/v1/services/ledger/x").with(headers);
    vec![
        bad(GOOD, 400, &["Sorrellock-Deadline-Ms", "`soon`"])
            .with(&[KEY, ("sorrellock-deadline-ms", "soon")]),
        bad(GOOD, 400, &["Sorrellock-Deadline-Ms", "`0`"])
            .with(&[KEY, ("sorrellock-deadline-ms", "0")]),
        bad(GOOD, 400, &["Sorrellock-Deadline-Ms", "`-1`"])
            .with(&[KEY, ("sorrellock-deadline-ms", "-1")]),
        bad(GOOD, 400, &["Sorrellock-Deadline-Ms"])
            .with(&[KEY, ("sorrellock-deadline-ms", "99999999999999999999")]),
        bad(GOOD, 400, &["sorrellock-deadline-ms"])
            .with(&[KEY, ("sorrellock-deadline-ms", "\u{e9}")]),
        bad(GOOD, 400, &["sorrellock-kind"]).with(&[KEY, ("sorrellock-kind", "\u{e9}")]),
        service(&[KEY, ("idempotency-key", "")], &["Idempotency-Key", "0 bytes"]),
        service(&[KEY, ("idempotency-key", &long_key)], &["Idempotency-Key", "bytes"]),
        service(&[KEY, ("idempotency-key", "\u{e9}")], &["idempotency-key"]),
    ]
}

#[test]
fn each_bad_request_gets_a_problem_that_names_the_field_and_the_mend() {
    let fixture = EntryFixture::start();

    for bad in table() {
        let answer = fixture.exchange(&bad.bytes());

        let what = format!("{} {} {:?} {:.60}", bad.method, bad.path, bad.headers, bad.body);
        let (head, body) =
            answer.split_once("\r\n\r\n").unwrap_or_else(|| panic!("{what}: {answer}"));
        let status = format!("HTTP/1.1 {} ", bad.status);
        assert!(head.starts_with(&status), "{what}: {answer}");
        assert!(head.contains("sorrellock-outcome: not-run"), "{what}: {head}");
        assert!(head.contains("content-type: application/problem+json"), "{what}: {head}");
        let problem: Value =
            serde_json::from_str(body).unwrap_or_else(|err| panic!("{what}: {err}: {body}"));
        assert_eq!(problem["status"], bad.status, "{what}");
        let text = format!("{} {}", problem["title"], problem["detail"]);
        for name in bad.named {
            assert!(text.contains(name), "{what}: no `{name}` in {text}");
        }
    }
    assert!(fixture.is_ready());
    assert_eq!(fixture.dump()["in_progress"], 0);
}
