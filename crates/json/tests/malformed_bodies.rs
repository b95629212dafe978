//! Bodies with broken elements or invalid UTF-8.

use serde_json::{Value, json};
use sorrellock_json::{Element, Text, split_array};

fn page_with(written: &[&str]) -> String {
    format!("{{\"items\":[{}],\"at\":7}}", written.join(","))
}

/// Splits a page into its elements: the value of `n` for whole ones, the raw text of broken ones.
fn elements(text: &str) -> Vec<String> {
    let (elements, body) = split_array(text, "items").expect("there is such an array");
    let body: Value = serde_json::from_str(&body).expect("the rest is JSON");
    assert_eq!(body, json!({"items": [], "at": 7}));
    let read = |element: &Element<'_>| match element {
        Element::Broken(text) => (*text).to_owned(),
        Element::Whole(text) => {
            let whole: Value = serde_json::from_str(text).expect("it is JSON");
            whole["n"].to_string()
        }
    };
    elements.iter().map(read).collect()
}

#[test]
fn the_elements_of_a_whole_array_are_as_they_are_written() {
    let nested = "{\"n\":2,\"a\":[{\"n\":3},{\"n\":4}]}";
    let text = page_with(&["{\"n\":1}", nested]);

    let (found, _) = split_array(&text, "items").expect("there is such an array");

    assert_eq!(found, [Element::Whole("{\"n\":1}"), Element::Whole(nested)]);
    assert_eq!(elements(&page_with(&[])), [""; 0]);
}

#[test]
fn broken_elements_become_their_text_wherever_they_stand() {
    let broken = ["{\"n\":]", "{\"n\":{\"a\":[", "{\"n\":\"\u{0}", "{\"n\":}]}", "{\"n\":tru"];
    for broken in broken {
        for at in 0..3 {
            let mut written = vec!["{\"n\":1}", "{\"n\":2}"];
            written.insert(at, broken);

            let found = elements(&page_with(&written));

            let mut expected = vec!["1", "2"];
            expected.insert(at, broken);
            assert_eq!(found, expected, "{broken} at {at}");
        }
    }
}

#[test]
fn several_broken_elements_in_a_row_stay_apart() {
    let text = page_with(&["{\"n\":1}", "{\"n\":[", "{\"n\":{", "{\"n\":2}", "{\"n\":\""]);

    let found = elements(&text);

    assert_eq!(found, ["1", "{\"n\":[", "{\"n\":{", "2", "{\"n\":\""]);
}

#[test]
fn spaces_between_elements_do_no_harm() {
    let text = "{ \"at\" : 7, \"items\" : [ {\"n\":1} ,\n {\"n\":! } ,\n {\"n\":2} ] }";

    let found = elements(text);

    assert_eq!((found[0].as_str(), found[found.len() - 1].as_str()), ("1", "2"));
}

#[test]
fn many_broken_elements_are_split_quickly() {
    let text = page_with(&["{\"n\":1}", &"{\"n\":[,".repeat(100_000), "{\"n\":2}"]);

    let found = elements(&text);

    assert_eq!(found[0], "1");
}

#[test]
fn split_array_returns_none_without_an_array_of_objects() {
    for text in ["", "{", "[]", "{\"items\":7}", "{\"items\":[", "{\"items\":[7]}"] {
        assert_eq!(split_array(text, "items"), None, "{text}");
    }
}

#[test]
fn bytes_that_are_no_text_are_marked_where_they_stand() {
    let body = b"{\"a\":\"\xff\",\"b\":\"\xf3\xb0\x80\x80\xef\xbf\xbd\"}";

    let text = Text::read(body).expect("there is a mark");

    let (a, b) = text.as_str().split_once(',').expect("both");
    assert!(text.is_damaged(a) && !text.is_damaged(b), "{}", text.as_str());
    assert!(b.contains("\u{f0000}\u{fffd}"));
}
