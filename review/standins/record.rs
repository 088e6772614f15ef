//! What was sent, answered and run, with the time since the start in milliseconds.

use std::fs::File;
use std::io::{BufWriter, Write};
use std::path::Path;
use std::sync::Mutex;
use std::time::Instant;

#[derive(Debug)]
pub struct Record {
    file: Mutex<BufWriter<File>>,
    started: Instant,
}

impl Record {
    pub fn open(directory: &Path) -> Record {
        let file = File::create(directory.join("record.txt")).expect("record.txt can be written");
        Record { file: Mutex::new(BufWriter::new(file)), started: Instant::now() }
    }

    pub fn line(&self, what: &str, text: &str) {
        let at = self.started.elapsed().as_millis();
        let mut file = self.file.lock().expect("the record's file");
        let _ = writeln!(file, "{at:>6} ms  {what:<9} {text}");
    }

    /// Writes a line to the record and to standard output.
    pub fn say(&self, what: &str, text: &str) {
        println!("{what}: {text}");
        self.line(what, text);
        let _ = self.file.lock().expect("the record's file").flush();
    }
}
