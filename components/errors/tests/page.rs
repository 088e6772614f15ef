//! The table in docs/ERRORS.md matches the code.

use errors::{Kind, response};
use std::fs;
use std::path::Path;

fn row(kind: Kind) -> String {
    let response = response(kind);
    let retry = response.retry_after.map_or("-".into(), |span| format!("{} s", span.0 / 1000));
    format!(
        "| `{kind}` | {} | `{}` | {retry} | {} |",
        response.status,
        response.ran.as_str(),
        response.exit
    )
}

#[test]
fn the_page_has_the_row_of_every_kind_and_no_other() {
    let page = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/ERRORS.md");
    let page = fs::read_to_string(page).unwrap();
    let written: Vec<&str> = page
        .lines()
        .filter(|line| line.starts_with("| `"))
        .map(|line| line.rsplit_once(" | ").map_or(line, |(row, _)| row))
        .collect();
    let expected: Vec<String> =
        Kind::ALL.iter().map(|kind| row(*kind).trim_end_matches(" |").to_owned()).collect();
    assert_eq!(written, expected);
}

#[test]
fn the_name_of_a_kind_is_its_serialised_form() {
    for kind in Kind::ALL {
        assert_eq!(serde_json::to_value(kind).unwrap(), kind.as_str());
    }
}
