//! A secret matches only its own text and is never printed.

use secret::Secret;

#[test]
fn only_the_complete_secret_matches() {
    let secret = Secret::new("correct horse".into());
    assert!(secret.matches(b"correct horse"));
    for presented in [&b""[..], b"correct", b"correct horse ", b"Correct horse"] {
        assert!(!secret.matches(presented), "{presented:?}");
    }
}

#[test]
fn a_secret_is_not_printed() {
    assert!(!format!("{:?}", Secret::new("correct horse".into())).contains("horse"));
}
