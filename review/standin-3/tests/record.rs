//! What was sent, answered and run, with the time since the start.

use std::{
    fs::File,
    io::{BufWriter, Write},
    sync::Mutex,
    time::Instant,
};

pub struct Record {
    started: Instant,
    file: Mutex<BufWriter<File>>,
}

impl Record {
    pub fn open(path: &str) -> Self {
        let file = File::create(path).expect("record");
        Self {
            started: Instant::now(),
            file: Mutex::new(BufWriter::new(file)),
        }
    }

    /// Returns the time since the start, in seconds.
    pub fn now(&self) -> f64 {
        self.started.elapsed().as_secs_f64()
    }

    pub fn add(&self, text: impl AsRef<str>) {
        let s = self.started.elapsed().as_secs_f64();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{s:8.3} {}", text.as_ref());
    }

    /// Returns the lines so far.
    pub fn lines(&self, path: &str) -> Vec<String> {
        let _ = self.file.lock().unwrap().flush();
        let text = std::fs::read_to_string(path).unwrap_or_default();
        text.lines().map(str::to_owned).collect()
    }

    /// Writes to the record and to standard output.
    pub fn say(&self, text: impl AsRef<str>) {
        self.add(text.as_ref());
        println!(
            "{:8.3} {}",
            self.started.elapsed().as_secs_f64(),
            text.as_ref()
        );
        let _ = self.file.lock().unwrap().flush();
    }
}
