//! Log lines and spans, and changes of the log settings at run time.

use std::io::{self, Write};
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::{env, fs};

use acaciaringd::config::{Logging, LoggingFormat, LoggingLevel, LoggingSpans};
use acaciaringd::logging::subscriber;
use tracing::{debug, info, info_span};

/// Log writer that keeps the lines in memory.
#[derive(Clone, Default)]
struct Memory(Arc<Mutex<Vec<u8>>>);

impl Memory {
    fn take(&self) -> String {
        let bytes = std::mem::take(&mut *self.0.lock().expect("no writer has panicked"));
        String::from_utf8(bytes).expect("logs are text")
    }
}

impl Write for Memory {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0.lock().expect("no writer has panicked").extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn run(settings: &Logging, test: impl FnOnce(&Memory, &acaciaringd::logging::LogHandle)) {
    let memory = Memory::default();
    let writer = memory.clone();
    let (subscriber, handle) = subscriber(settings, move || writer.clone());
    tracing::subscriber::with_default(subscriber, || test(&memory, &handle));
}

fn hop() {
    let span = info_span!(target: "acaciaringd::entry", "entry", trace = "4bf92f35");
    span.in_scope(|| info!(target: "acaciaringd::entry", "asked"));
}

#[test]
fn a_span_that_ends_writes_its_trace_and_time() {
    let settings = Logging { format: LoggingFormat::Json, ..Logging::default() };
    run(&settings, |memory, _| {
        hop();
        let text = memory.take();
        let lines: Vec<serde_json::Value> =
            text.lines().map(|line| serde_json::from_str(line).expect("lines are JSON")).collect();
        let close = lines.iter().find(|line| line["message"] == "close").expect("the span ends");
        assert_eq!(close["span"]["name"], "entry");
        assert_eq!(close["span"]["trace"], "4bf92f35");
        assert!(close["time.busy"].is_string());
    });
}

#[test]
fn libraries_do_not_flood_the_logs() {
    // At `debug` the QUIC library writes a line per packet.
    let settings = Logging { level: LoggingLevel::Debug, ..Logging::default() };
    run(&settings, |memory, _| {
        debug!(target: "quinn_proto::connection", "packet");
        debug!(target: "acaciaringd::entry", "request");
        let text = memory.take();
        assert!(text.contains("request") && !text.contains("packet"), "{text}");
    });
}

#[test]
fn level_and_spans_change_while_the_process_runs() {
    let example =
        fs::read_to_string(Path::new(env!("CARGO_MANIFEST_DIR")).join("../extra/acaciaringd.ini"));
    let example = example.expect("the example is there");
    let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join("logging.ini");
    let write = |text: &str| fs::write(&path, text).expect("the file can be written");
    run(&Logging::default(), |memory, handle| {
        debug!(target: "acaciaringd::entry", "hidden");
        assert_eq!(memory.take(), "");

        write(&example.replace("level = info", "level = debug\nspans = off"));
        handle.reload(&path).expect("the file is valid");
        debug!(target: "acaciaringd::entry", "shown");
        hop();
        let text = memory.take();
        assert!(text.contains("shown") && !text.contains("close"), "{text}");

        write(&example.replace("level = info", "level = loud"));
        assert!(handle.reload(&path).is_err());
        debug!(target: "acaciaringd::entry", "still shown");
        assert!(memory.take().contains("still shown"));
    });
    assert_eq!(Logging::default().spans, LoggingSpans::On);
}
