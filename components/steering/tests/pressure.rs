//! A VM whose timers keep coming late counts as pressed for a while.

use clock::Millis;
use steering::pressure::Pressure;

#[test]
fn single_late_timers_are_no_pressure() {
    let mut pressure = Pressure::default();
    let lates = [0, 50, 40, 0, 90, 3, 25, 60];
    assert!(
        lates
            .into_iter()
            .zip(0..)
            .all(|(late, at)| !pressure.record(Millis(late), Millis(at * 500)))
    );
}

#[test]
fn timers_that_keep_coming_late_are_pressure_that_lasts_a_while() {
    let mut pressure = Pressure::default();
    let noted: Vec<bool> = (0..3).map(|at| pressure.record(Millis(30), Millis(at * 500))).collect();
    assert_eq!(noted, [false, false, true]);
    assert!(pressure.record(Millis(0), Millis(9_000)));
    assert!(!pressure.record(Millis(0), Millis(11_500)));
}
