/// The paths that an upstream may take `path` for, if it decodes escapes, merges slashes or
/// resolves dot segments; empty if none of that changes the path.
pub fn readings(path: &str) -> Vec<String> {
    if !path.contains('%') && !path.contains("//") && !path.contains("/.") {
        return Vec::new();
    }
    let decoded = decode(path);
    let resolved = [path, decoded.as_str()].into_iter();
    let resolved = resolved.flat_map(|each| [resolve(each, false), resolve(each, true)]);
    let mut readings: Vec<String> = resolved.collect();
    readings.push(decoded);
    readings
}

/// Replaces each escape by its byte.
fn decode(path: &str) -> String {
    let mut rest = path.as_bytes();
    let mut decoded = Vec::with_capacity(rest.len());
    while let Some((&byte, after)) = rest.split_first() {
        let digits = after.get(..2).filter(|_| byte == b'%');
        let digits = digits.and_then(|digits| std::str::from_utf8(digits).ok());
        let digits = digits.filter(|digits| digits.bytes().all(|each| each.is_ascii_hexdigit()));
        let value = digits.and_then(|digits| u8::from_str_radix(digits, 16).ok());
        decoded.push(value.unwrap_or(byte));
        rest = if value.is_some() { &after[2..] } else { after };
    }
    String::from_utf8_lossy(&decoded).into_owned()
}

/// Resolves the segments `.` and `..`, and leaves out empty ones if `merge` is set.
fn resolve(path: &str, merge: bool) -> String {
    let mut segments: Vec<&str> = Vec::new();
    let mut rest = path.strip_prefix('/').unwrap_or(path).split('/').peekable();
    while let Some(segment) = rest.next() {
        let is_last = rest.peek().is_none();
        match segment {
            "." | ".." => {
                if segment == ".." {
                    segments.pop();
                }
                if is_last {
                    segments.push("");
                }
            }
            "" if merge && !is_last => {}
            _ => segments.push(segment),
        }
    }
    format!("/{}", segments.join("/"))
}
