//! What was sent, answered, run and held, with the seconds since the start.

use std::fs::File;
use std::io::{BufWriter, Write};
use std::sync::Mutex;
use std::time::Instant;

pub struct Record {
    start: Instant,
    file: Mutex<BufWriter<File>>,
}

impl Record {
    pub fn create(path: &str) -> Self {
        let file = File::create(path).expect("the record can be written");
        Self { start: Instant::now(), file: Mutex::new(BufWriter::new(file)) }
    }

    pub fn add(&self, text: &str) {
        let at = self.start.elapsed().as_secs_f64();
        let _ = writeln!(self.file.lock().unwrap(), "{at:9.3} {text}");
    }

    pub fn flush(&self) {
        let _ = self.file.lock().unwrap().flush();
    }
}
