use serde::Serialize;
use std::fmt;

/// The result of one experiment for one deployment.
#[derive(Clone, Debug, Serialize)]
pub struct Table {
    /// What was measured, with the deployment, the load and the units.
    pub title: String,
    /// The seeds of the runs.
    pub seeds: Vec<u64>,
    /// The names of the columns that follow the policy.
    pub columns: Vec<&'static str>,
    /// One row for each policy.
    pub rows: Vec<Row>,
    /// The targets of the policy in force.
    pub targets: Vec<Target>,
}

/// The results of one policy.
#[derive(Clone, Debug, Serialize)]
pub struct Row {
    /// The name of the policy.
    pub policy: String,
    /// One spread for each of the table's columns.
    pub cells: Vec<Spread>,
}

/// The minimum, the median and the maximum of a value over the seeds.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Spread {
    /// The minimum.
    pub min: f64,
    /// The median.
    pub median: f64,
    /// The maximum.
    pub max: f64,
}

/// A bound that was set before the measurement, and whether it is met.
#[derive(Clone, Debug, Serialize)]
pub struct Target {
    /// The bound as text.
    pub bound: String,
    /// The values of the policy in force; the median is compared with the bound.
    pub found: Spread,
    /// Whether the bound is met.
    pub met: bool,
}

impl Spread {
    /// The spread of `values`, NaN if there are none.
    pub fn of(mut values: Vec<f64>) -> Spread {
        values.sort_by(f64::total_cmp);
        let value = |index: usize| values.get(index).copied().unwrap_or(f64::NAN);
        Spread {
            min: value(0),
            median: value(values.len() / 2),
            max: value(values.len().max(1) - 1),
        }
    }
}

impl Target {
    /// A target that is met if the median is at most `max`.
    pub fn at_most(what: &str, max: f64, found: Spread) -> Target {
        Target { bound: format!("{what} at most {max}"), found, met: found.median <= max }
    }

    /// A target that is met if the median is at least `min`.
    pub fn at_least(what: &str, min: f64, found: Spread) -> Target {
        Target { bound: format!("{what} at least {min}"), found, met: found.median >= min }
    }
}

impl Table {
    /// Whether every target is met.
    pub fn is_met(&self) -> bool {
        self.targets.iter().all(|target| target.met)
    }

    /// The table as one line of JSON.
    pub fn json(&self, experiment: &str) -> String {
        serde_json::json!({ "experiment": experiment, "table": self }).to_string()
    }
}

impl fmt::Display for Spread {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let text = format!(
            "{} ({}..{})",
            format_value(self.median),
            format_value(self.min),
            format_value(self.max)
        );
        f.pad(&text)
    }
}

impl fmt::Display for Table {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "{}", self.title)?;
        writeln!(f, "seeds {:?}; median (min..max)", self.seeds)?;
        write!(f, "{:18}", "policy")?;
        for column in &self.columns {
            write!(f, " {column:>24}")?;
        }
        writeln!(f)?;
        for row in &self.rows {
            write!(f, "{:18}", row.policy)?;
            for cell in &row.cells {
                write!(f, " {cell:>24}")?;
            }
            writeln!(f)?;
        }
        for target in &self.targets {
            let result = if target.met { "met" } else { "MISSED" };
            writeln!(f, "target: {}; found {}: {result}", target.bound, target.found)?;
        }
        Ok(())
    }
}

/// Formats a value with fewer decimals the greater it is.
fn format_value(value: f64) -> String {
    match value.abs() {
        large if large >= 100.0 => format!("{value:.0}"),
        medium if medium >= 10.0 => format!("{value:.1}"),
        _ => format!("{value:.3}"),
    }
}
