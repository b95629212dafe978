//! Just enough JSON to take values out of objects by their key.

/// Returns the text of the value of a key at the top level of an object.
pub fn value<'a>(object: &'a str, key: &str) -> Option<&'a str> {
    let bytes = object.as_bytes();
    let mut at = skip_space(bytes, 0);
    if *bytes.get(at)? != b'{' {
        return None;
    }
    at += 1;
    loop {
        at = skip_space(bytes, at);
        if *bytes.get(at)? != b'"' {
            return None;
        }
        let end = skip_value(bytes, at)?;
        let name = &object[at + 1..end - 1];
        at = skip_space(bytes, end);
        if *bytes.get(at)? != b':' {
            return None;
        }
        at = skip_space(bytes, at + 1);
        let end = skip_value(bytes, at)?;
        if name == key {
            return Some(&object[at..end]);
        }
        at = skip_space(bytes, end);
        match *bytes.get(at)? {
            b',' => at += 1,
            _ => return None,
        }
    }
}

pub fn text(object: &str, key: &str) -> Option<String> {
    Some(value(object, key)?.trim_matches('"').to_owned())
}

pub fn number(object: &str, key: &str) -> Option<u64> {
    value(object, key)?.parse().ok()
}

fn skip_space(bytes: &[u8], mut at: usize) -> usize {
    while bytes.get(at).is_some_and(u8::is_ascii_whitespace) {
        at += 1;
    }
    at
}

fn skip_value(bytes: &[u8], mut at: usize) -> Option<usize> {
    match *bytes.get(at)? {
        b'"' => {
            at += 1;
            while *bytes.get(at)? != b'"' {
                at += if bytes[at] == b'\\' { 2 } else { 1 };
            }
            Some(at + 1)
        }
        b'{' | b'[' => {
            let mut depth = 0;
            loop {
                match *bytes.get(at)? {
                    b'"' => {
                        at = skip_value(bytes, at)?;
                        continue;
                    }
                    b'{' | b'[' => depth += 1,
                    b'}' | b']' => depth -= 1,
                    _ => {}
                }
                at += 1;
                if depth == 0 {
                    return Some(at);
                }
            }
        }
        _ => {
            while bytes.get(at).is_some_and(|byte| !b",}] \n\r\t".contains(byte)) {
                at += 1;
            }
            Some(at)
        }
    }
}
