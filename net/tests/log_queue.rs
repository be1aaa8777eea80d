//! A flood of log lines, and a reader that stands still.

use std::io;
use std::sync::Arc;
use std::sync::Mutex;

use limpetferry_net::log_queue::LogQueue;

/// A pipe that nobody reads until it is opened.
#[derive(Clone, Default)]
struct Pipe {
    open: Arc<Mutex<()>>,
    got: Arc<Mutex<Vec<u8>>>,
}

impl io::Write for Pipe {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let _open = self.open.lock().expect("no panic while locked");
        self.got
            .lock()
            .expect("no panic while locked")
            .extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

#[test]
fn a_flood_blocks_nobody_and_is_counted() {
    let pipe = Pipe::default();
    let closed = pipe.open.lock().expect("no panic while locked");
    let queue = LogQueue::start(pipe.clone()).expect("a thread starts");
    let line = [b'x'; 100];

    // Returns although nothing is read: a queue that waited would hang here.
    for _ in 0..100_000 {
        queue.push(&line);
    }
    let dropped = queue.dropped();
    drop(closed);
    while pipe.got.lock().expect("no panic while locked").is_empty() {
        std::thread::yield_now();
    }

    // 10 MB came, and 1 MiB waits at the most, besides what is being written.
    assert!(dropped > 70_000, "{dropped}");
}

#[test]
fn lines_come_whole_and_in_order() {
    let pipe = Pipe::default();
    let queue = LogQueue::start(pipe.clone()).expect("a thread starts");
    let lines: Vec<String> = (0..1_000)
        .map(|number| format!("line={number}\n"))
        .collect();

    for line in &lines {
        queue.push(line.as_bytes());
    }
    let whole = lines.concat();
    while pipe.got.lock().expect("no panic while locked").len() < whole.len() {
        std::thread::yield_now();
    }

    let got = pipe.got.lock().expect("no panic while locked").clone();
    assert_eq!(String::from_utf8(got).expect("text"), whole);
}
