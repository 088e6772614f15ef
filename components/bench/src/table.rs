use serde::Serialize;
use std::fmt;

/// The result of one experiment for one deployment.
#[derive(Clone, Debug, Serialize)]
pub struct Table {
    /// What was measured, with its sizes.
    pub title: String,
    /// The seeds.
    pub seeds: Vec<u64>,
    /// The names of the columns after the policy's.
    pub columns: Vec<&'static str>,
    /// One row for each policy.
    pub rows: Vec<Row>,
    /// The targets and whether our policy met them.
    pub targets: Vec<Target>,
}

/// The figures of one policy.
#[derive(Clone, Debug, Serialize)]
pub struct Row {
    /// The policy.
    pub policy: String,
    /// One spread for each column.
    pub cells: Vec<Spread>,
}

/// The least, the median and the greatest of a figure over the seeds.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Spread {
    /// The least.
    pub min: f64,
    /// The median.
    pub median: f64,
    /// The greatest.
    pub max: f64,
}

/// A bound that was set before the measurement.
#[derive(Clone, Debug, Serialize)]
pub struct Target {
    /// The bound in words.
    pub bound: String,
    /// Our policy's figure; its median counts.
    pub found: Spread,
    /// Whether the bound is met.
    pub met: bool,
}

impl Spread {
    /// The spread of at least one value.
    pub fn of(mut values: Vec<f64>) -> Spread {
        values.sort_by(f64::total_cmp);
        let at = |index: usize| values.get(index).copied().unwrap_or(f64::NAN);
        Spread { min: at(0), median: at(values.len() / 2), max: at(values.len().max(1) - 1) }
    }
}

impl Target {
    /// A target that holds if the median is at most `most`.
    pub fn at_most(what: &str, most: f64, found: Spread) -> Target {
        Target { bound: format!("{what} at most {most}"), found, met: found.median <= most }
    }

    /// A target that holds if the median is at least `least`.
    pub fn at_least(what: &str, least: f64, found: Spread) -> Target {
        Target { bound: format!("{what} at least {least}"), found, met: found.median >= least }
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
        let text = format!("{} ({}..{})", short(self.median), short(self.min), short(self.max));
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
            let verdict = if target.met { "met" } else { "MISSED" };
            writeln!(f, "target: {}; found {}: {verdict}", target.bound, target.found)?;
        }
        Ok(())
    }
}

fn short(value: f64) -> String {
    match value.abs() {
        large if large >= 100.0 => format!("{value:.0}"),
        medium if medium >= 10.0 => format!("{value:.1}"),
        _ => format!("{value:.3}"),
    }
}
