//! A VM whose timers keep firing late counts as under CPU pressure for a while.

use clock::Millis;
use steering::pressure::Pressure;

#[test]
fn single_late_timers_are_no_cpu_pressure() {
    let mut pressure = Pressure::default();
    let delays = [0, 50, 40, 0, 90, 3, 25, 60];
    assert!(
        delays
            .into_iter()
            .zip(0..)
            .all(|(delay, at)| !pressure.record(Millis(delay), Millis(at * 500)))
    );
}

#[test]
fn consecutive_late_timers_are_cpu_pressure_for_a_while() {
    let mut pressure = Pressure::default();
    let recorded: Vec<bool> =
        (0..3).map(|at| pressure.record(Millis(30), Millis(at * 500))).collect();
    assert_eq!(recorded, [false, false, true]);
    assert!(pressure.record(Millis(0), Millis(9_000)));
    assert!(!pressure.record(Millis(0), Millis(11_500)));
}
