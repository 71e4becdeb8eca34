//! Just enough JSON for the store: the fields of an object as raw texts.

use std::collections::BTreeMap;

/// Returns the fields of an object with their values as they are written, or nothing for other values.
pub fn fields(text: &str) -> BTreeMap<String, String> {
    let bytes = text.as_bytes();
    let mut fields = BTreeMap::new();
    let mut at = skip_space(bytes, 0);
    if bytes.get(at) != Some(&b'{') {
        return fields;
    }
    at = skip_space(bytes, at + 1);
    while bytes.get(at) == Some(&b'"') {
        let key_end = value_end(bytes, at);
        let key = text[at + 1..key_end - 1].to_owned();
        at = skip_space(bytes, skip_space(bytes, key_end) + 1);
        let end = value_end(bytes, at);
        fields.insert(key, text[at..end].to_owned());
        at = skip_space(bytes, end);
        if bytes.get(at) == Some(&b',') {
            at = skip_space(bytes, at + 1);
        }
    }
    fields
}

/// Removes the quotes of a string without escapes.
pub fn unquote(text: &str) -> String {
    text.trim().trim_matches('"').to_owned()
}

fn skip_space(bytes: &[u8], mut at: usize) -> usize {
    while bytes.get(at).is_some_and(u8::is_ascii_whitespace) {
        at += 1;
    }
    at
}

fn value_end(bytes: &[u8], start: usize) -> usize {
    let (mut depth, mut at) = (0_i32, start);
    while at < bytes.len() {
        match bytes[at] {
            b'"' => {
                at += 1;
                while at < bytes.len() && bytes[at] != b'"' {
                    at += if bytes[at] == b'\\' { 2 } else { 1 };
                }
                at += 1;
                if depth == 0 {
                    return at;
                }
                continue;
            }
            b'{' | b'[' => depth += 1,
            b'}' | b']' => {
                if depth == 0 {
                    return at;
                }
                depth -= 1;
                if depth == 0 {
                    return at + 1;
                }
            }
            b',' if depth == 0 => return at,
            byte if depth == 0 && byte.is_ascii_whitespace() => return at,
            _ => {}
        }
        at += 1;
    }
    at
}
