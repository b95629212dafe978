//! Which requests share a content id.

use sorrellock_routing::request::{ContentId, InvalidContentId};

#[test]
fn workspace_path_and_body_each_tell_contents_apart() {
    let id = ContentId::new(Some("treasury"), "/match/a?b=1", b"body");

    assert_eq!(id, ContentId::new(Some("treasury"), "/match/a?b=1", b"body"));
    for other in [
        ContentId::new(Some("pharmacy"), "/match/a?b=1", b"body"),
        ContentId::new(None, "/match/a?b=1", b"body"),
        ContentId::new(Some("treasury"), "/match/a?b=2", b"body"),
        ContentId::new(Some("treasury"), "/match/a?b=1", b"bod"),
        // The same bytes, split elsewhere.
        ContentId::new(Some("treasury/"), "match/a?b=1", b"body"),
        ContentId::new(Some("treasury"), "/match/a?b=1b", b"ody"),
    ] {
        assert_ne!(id, other);
    }
}

#[test]
fn a_body_in_segments_has_the_id_of_the_whole() {
    let whole = ContentId::new(Some("treasury"), "/match/a", b"a body in parts");
    let segments: [&[u8]; 3] = [b"a body", b" in ", b"parts"];

    let id = ContentId::of_segments(Some("treasury"), "/match/a", 15, segments.into_iter());

    assert_eq!(id, whole);
}

#[test]
fn an_id_is_read_from_its_text() {
    let id = ContentId::new(None, "/a", b"");
    let text = id.to_string();

    assert_eq!(text.len(), 32);
    assert_eq!(text.parse(), Ok(id));
    for text in ["", &text[1..], &format!("{text}0"), &text.replace(&text[..2], "+1")] {
        assert_eq!(text.parse::<ContentId>(), Err(InvalidContentId), "{text}");
    }
}
