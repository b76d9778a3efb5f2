//! Tests of the rate limit of log lines, and of their writer.

use {
    super::{line_budget::LineBudget, line_writer::LineWriter},
    crate::ports::LogPriority,
    std::{
        io::{self, Write},
        sync::{
            Arc, Mutex,
            mpsc::{Receiver, SyncSender, sync_channel},
        },
        time::{Duration, Instant},
    },
};

/// A burst of routine lines must not displace the line of a failure.
#[test]
fn routine_lines_are_dropped_before_notable_ones() {
    let mut budget = LineBudget::default();
    while budget.try_consume(0, LogPriority::Routine, 400) {}
    assert!(budget.try_consume(0, LogPriority::Notable, 400));
}

#[test]
fn the_bucket_refills_over_time() {
    let mut budget = LineBudget::default();
    while budget.try_consume(0, LogPriority::Notable, 400) {}
    assert!(!budget.try_consume(1, LogPriority::Notable, 400));
    assert!(budget.try_consume(1_000, LogPriority::Notable, 400));
}

#[test]
fn dropped_lines_are_reported_once_a_second() {
    let mut budget = LineBudget::default();
    budget.record_dropped("job_taken");
    budget.record_dropped("job_taken");
    let dropped = budget.drain_dropped(1_000).expect("dropped lines");
    assert_eq!(dropped.get("job_taken"), Some(&2));
    budget.record_dropped("job_taken");
    assert_eq!(budget.drain_dropped(1_500), None);
    assert!(budget.drain_dropped(2_000).is_some());
}

/// An output whose reader stalls until it is released, or is gone.
struct Output {
    released: Receiver<()>,
    written: Arc<Mutex<String>>,
    is_gone: bool,
}

impl Write for Output {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        if self.is_gone {
            return Err(io::ErrorKind::BrokenPipe.into());
        }
        // A dropped sender releases all further writes.
        let _ = self.released.recv();
        let text = String::from_utf8_lossy(bytes);
        self.written.lock().expect("lock").push_str(&text);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn line_writer(is_gone: bool) -> (LineWriter, SyncSender<()>, Arc<Mutex<String>>) {
    let (release, released) = sync_channel(1);
    let written = Arc::new(Mutex::new(String::new()));
    let output = Output {
        released,
        written: Arc::clone(&written),
        is_gone,
    };
    let writer = LineWriter::start("test", output).expect("thread");
    (writer, release, written)
}

fn write_line(writer: &LineWriter, line: &str) {
    let notice = |dropped| format!("dropped {dropped:?}\n");
    writer.write("line", LogPriority::Notable, line.to_owned(), notice);
}

/// A stalled reader of standard error hung the whole process.
#[test]
fn a_stalled_reader_blocks_no_writer_and_what_is_dropped_is_reported() {
    let (writer, release, written) = line_writer(false);
    let started_at = Instant::now();
    for _ in 0..5_000 {
        write_line(&writer, "a line\n");
    }
    writer.flush();
    assert!(started_at.elapsed() < Duration::from_secs(2));
    drop(release);
    writer.flush();
    std::thread::sleep(Duration::from_millis(1_100));
    write_line(&writer, "the last line\n");
    writer.flush();
    let written = written.lock().expect("lock").clone();
    assert!(written.contains("dropped {\"line\": "), "{written}");
    assert!(written.ends_with("the last line\n"));
}

/// Each message panicked the task that logged it once the reader was gone.
#[test]
fn lines_for_a_reader_that_is_gone_are_dropped() {
    let (writer, _release, _written) = line_writer(true);
    for _ in 0..5_000 {
        write_line(&writer, "a line\n");
    }
    writer.flush();
}
