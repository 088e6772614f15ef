use clock::Millis;
use snafu::{OptionExt, ResultExt, Snafu};
use std::num::ParseIntError;

const SEPARATOR: &str = "\n---\n";

/// A parsed session file.
#[derive(Clone, Debug)]
pub struct Script {
    /// The text above the separator, comments included, without trailing white space.
    pub source: String,
    /// The steps, in the order of the file.
    pub steps: Vec<Step>,
    /// The expected transcript.
    pub expected: String,
}

/// One line `at <ms> <verb> <words...> <key=value...>`.
#[derive(Clone, Debug)]
pub struct Step {
    /// Virtual time of the step since the start of the session.
    pub at: Millis,
    /// The action.
    pub verb: String,
    /// The words after the verb that contain no `=`.
    pub words: Vec<String>,
    /// The words of the form `key=value`, in the order of the line.
    pub options: Vec<(String, String)>,
}

/// Why a session file can't be parsed.
#[derive(Debug, Snafu)]
pub enum Error {
    /// A step doesn't begin with `at <ms> <verb>`.
    #[snafu(display("line {line}: expected `at <ms> <verb> ...`"))]
    Shape {
        /// The line number, from 1.
        line: usize,
    },
    /// The time of a step isn't a number.
    #[snafu(display("line {line}: the time isn't a whole number of milliseconds"))]
    Time {
        /// The line number, from 1.
        line: usize,
        /// The cause.
        source: ParseIntError,
    },
}

impl Script {
    /// Parses a session file.
    ///
    /// # Errors
    ///
    /// [`Error`] with the number of the first line that is neither blank, a comment nor a step.
    pub fn parse(text: &str) -> Result<Script, Error> {
        let (source, expected) = text.split_once(SEPARATOR).unwrap_or((text, ""));
        let mut steps = Vec::new();
        for (index, line) in source.lines().enumerate() {
            let line = line.trim();
            if line.is_empty() || line.starts_with('#') {
                continue;
            }
            steps.push(Step::parse(line, index + 1)?);
        }
        Ok(Script { source: source.trim_end().into(), steps, expected: expected.into() })
    }

    /// The text of the file with `transcript` as the expected transcript.
    pub fn render(&self, transcript: &str) -> String {
        format!("{}{SEPARATOR}{transcript}", self.source)
    }
}

impl Step {
    fn parse(text: &str, line: usize) -> Result<Step, Error> {
        let mut words = text.split_whitespace();
        if words.next() != Some("at") {
            return ShapeSnafu { line }.fail();
        }
        let at = words.next().context(ShapeSnafu { line })?;
        let at = Millis(at.parse().context(TimeSnafu { line })?);
        let verb = words.next().context(ShapeSnafu { line })?.into();
        let mut step = Step { at, verb, words: Vec::new(), options: Vec::new() };
        for word in words {
            match word.split_once('=') {
                Some((key, value)) => step.options.push((key.into(), value.into())),
                None => step.words.push(word.into()),
            }
        }
        Ok(step)
    }

    /// The value of the option `key`, if the step has it.
    pub fn option(&self, key: &str) -> Option<&str> {
        self.options.iter().find(|(name, _)| name == key).map(|(_, value)| value.as_str())
    }
}
