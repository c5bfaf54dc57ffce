//! As much of JSON as the stand-ins need: they take values out of objects as text.

/// Value of a field of an object, as text.
pub fn field<'a>(object: &'a str, name: &str) -> Option<&'a str> {
    let bytes = object.as_bytes();
    let mut at = skip_space(bytes, 0);
    if bytes.get(at) != Some(&b'{') {
        return None;
    }
    at += 1;
    loop {
        at = skip_space(bytes, at);
        if bytes.get(at) != Some(&b'"') {
            return None;
        }
        let end = end_of_value(bytes, at);
        let key = unquote(&object[at..end]);
        at = skip_space(bytes, end) + 1;
        at = skip_space(bytes, at);
        let end = end_of_value(bytes, at);
        if key == name {
            return Some(&object[at..end]);
        }
        at = skip_space(bytes, end);
        if bytes.get(at) != Some(&b',') {
            return None;
        }
        at += 1;
    }
}

/// Strings of an array of strings.
pub fn strings(array: &str) -> Vec<String> {
    let inner = array.trim().trim_start_matches('[').trim_end_matches(']');
    let parts = inner.split(',').map(str::trim).filter(|part| !part.is_empty());
    parts.map(unquote).collect()
}

pub fn quote(text: &str) -> String {
    format!("{text:?}")
}

pub fn unquote(text: &str) -> String {
    text.trim().trim_matches('"').to_string()
}

fn skip_space(bytes: &[u8], mut at: usize) -> usize {
    while bytes.get(at).is_some_and(u8::is_ascii_whitespace) {
        at += 1;
    }
    at
}

fn end_of_value(bytes: &[u8], start: usize) -> usize {
    let (mut depth, mut in_string, mut escaped) = (0, false, false);
    for (i, byte) in bytes.iter().enumerate().skip(start) {
        if in_string {
            match byte {
                _ if escaped => escaped = false,
                b'\\' => escaped = true,
                b'"' => {
                    in_string = false;
                    if depth == 0 {
                        return i + 1;
                    }
                }
                _ => {}
            }
            continue;
        }
        match byte {
            b'"' => in_string = true,
            b'{' | b'[' => depth += 1,
            b'}' | b']' if depth == 0 => return i,
            b'}' | b']' => {
                depth -= 1;
                if depth == 0 {
                    return i + 1;
                }
            }
            b',' if depth == 0 => return i,
            _ => {}
        }
    }
    bytes.len()
}
