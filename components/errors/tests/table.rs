//! Invariants of the table of responses.

use errors::{Execution, Kind, response};

#[test]
fn every_kind_has_a_row_with_an_error_status_and_a_failing_exit_code() {
    for kind in Kind::ALL {
        let row = response(kind);
        assert!((400..600).contains(&row.status), "{kind:?}");
        assert!((2..=5).contains(&row.exit), "{kind:?}");
    }
}

#[test]
fn all_lists_each_kind_once() {
    let mut kinds = Kind::ALL.to_vec();
    kinds.sort();
    kinds.dedup();
    assert_eq!(kinds.len(), Kind::ALL.len());
    assert_eq!(Kind::ALL.last(), Some(&Kind::Internal));
}

#[test]
fn an_unknown_outcome_never_exits_as_not_run() {
    for kind in Kind::ALL {
        let row = response(kind);
        assert_eq!(row.ran == Execution::Unknown, row.exit == 5, "{kind:?}");
    }
}
