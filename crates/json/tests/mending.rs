//! Bodies of which single elements can't be read.

use serde::Deserialize;
use serde_json::Value;
use sorrellock_json::{Text, mend_array};

#[derive(Deserialize)]
struct Page {
    items: Vec<Value>,
    at: u64,
}

fn page(elements: &[&str]) -> String {
    format!("{{\"items\":[{}],\"at\":7}}", elements.join(","))
}

/// The elements of a mended page: whole ones by their number, broken ones by their text.
fn mended(text: &str) -> Vec<String> {
    let mended = mend_array(text, "items").expect("there is such an array");
    let page: Page = serde_json::from_str(&mended).expect("it is JSON now");
    assert_eq!(page.at, 7);
    let element = |value: &Value| match value {
        Value::String(text) => text.clone(),
        whole => whole["n"].to_string(),
    };
    page.items.iter().map(element).collect()
}

#[test]
fn a_whole_array_stays_as_it_is() {
    let text = page(&["{\"n\":1}", "{\"n\":2,\"a\":[{\"n\":3},{\"n\":4}]}"]);

    assert_eq!(mend_array(&text, "items").as_deref(), Some(text.as_str()));
    assert_eq!(mended(&page(&[])), [""; 0]);
}

#[test]
fn broken_elements_become_their_text_wherever_they_stand() {
    let broken = ["{\"n\":]", "{\"n\":{\"a\":[", "{\"n\":\"\u{0}", "{\"n\":}]}", "{\"n\":tru"];
    for broken in broken {
        for at in 0..3 {
            let mut elements = vec!["{\"n\":1}", "{\"n\":2}"];
            elements.insert(at, broken);

            let found = mended(&page(&elements));

            let mut expected = vec!["1", "2"];
            expected.insert(at, broken);
            assert_eq!(found, expected, "{broken} at {at}");
        }
    }
}

#[test]
fn several_broken_elements_in_a_row_stay_apart() {
    let text = page(&["{\"n\":1}", "{\"n\":[", "{\"n\":{", "{\"n\":2}", "{\"n\":\""]);

    let found = mended(&text);

    assert_eq!(found, ["1", "{\"n\":[", "{\"n\":{", "2", "{\"n\":\""]);
}

#[test]
fn spaces_between_elements_do_no_harm() {
    let text = "{ \"at\" : 7, \"items\" : [ {\"n\":1} ,\n {\"n\":! } ,\n {\"n\":2} ] }";

    let found = mended(text);

    assert_eq!((found[0].as_str(), found[found.len() - 1].as_str()), ("1", "2"));
}

#[test]
fn many_begins_that_lead_nowhere_end_soon() {
    let text = page(&["{\"n\":1}", &"{\"n\":[,".repeat(100_000), "{\"n\":2}"]);

    let found = mended(&text);

    assert_eq!(found[0], "1");
}

#[test]
fn text_without_the_array_is_given_up() {
    for text in ["", "{", "[]", "{\"items\":7}", "{\"items\":[", "{\"items\":[7]}"] {
        assert_eq!(mend_array(text, "items"), None, "{text}");
    }
}

#[test]
fn bytes_that_are_no_text_are_marked_where_they_stand() {
    let body = b"{\"a\":\"\xff\",\"b\":\"\xee\x80\x80\xef\xbf\xbd\"}";

    let text = Text::read(body).expect("there is a mark");

    let (a, b) = text.as_str().split_once(',').expect("both");
    assert!(text.is_damaged(a) && !text.is_damaged(b), "{}", text.as_str());
    assert!(b.contains("\u{e000}\u{fffd}"));
}
