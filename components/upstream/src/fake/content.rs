use bytes::Bytes;

const SIZE_PREFIX: &str = "/bytes/";

/// The content of `path` at a fake upstream in its `revision`.
///
/// A path `/bytes/N/...` has N bytes; every other path is a short text. Each byte depends on the
/// path, the revision and the position, so that bytes of another response or position are
/// detected.
pub fn entity(path: &str, revision: u32) -> Bytes {
    match size(path) {
        Some(size) => fill(path, revision, size),
        None => format!("{path} revision {revision}\n").into(),
    }
}

/// The strong entity tag of `path` in its `revision`.
pub fn entity_tag(path: &str, revision: u32) -> String {
    format!("\"{:08x}-{revision}\"", mix(path, revision))
}

fn size(path: &str) -> Option<usize> {
    let rest = path.strip_prefix(SIZE_PREFIX)?;
    let digits = rest.split(['/', '?']).next()?;
    digits.parse().ok()
}

fn fill(path: &str, revision: u32, size: usize) -> Bytes {
    let seed = mix(path, revision);
    (0..size as u32).map(|at| byte(seed, at)).collect()
}

fn byte(seed: u32, at: u32) -> u8 {
    (seed ^ at.wrapping_mul(0x9e37_79b1)).rotate_left(at % 32) as u8
}

fn mix(path: &str, revision: u32) -> u32 {
    let start = revision.wrapping_mul(0x85eb_ca6b) ^ 0x811c_9dc5;
    path.bytes().fold(start, |hash, byte| (hash ^ u32::from(byte)).wrapping_mul(0x0100_0193))
}
