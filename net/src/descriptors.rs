//! Opens files while the process may have no file descriptor left: connections that come
//! and go use them up for a while, which is no failure of the disk.

use std::fs::File;
use std::io;
use std::time::Duration;
use std::time::Instant;

/// Error numbers of the system: the process, or the machine, has too many files open.
const TOO_MANY: [i32; 2] = [24, 23];
/// Pause before it is tried again.
const PAUSE: Duration = Duration::from_millis(20);
/// Longest wait for a descriptor. Connections that do not say who they are end sooner.
const LONGEST_WAIT: Duration = Duration::from_secs(30);

/// Opens a file, and waits while there is no descriptor for it. It holds up its thread.
///
/// # Errors
///
/// Returns the system's error if the file cannot be opened, or there was no descriptor for
/// 30 seconds.
pub fn open(mut attempt: impl FnMut() -> io::Result<File>) -> io::Result<File> {
    let start = Instant::now();
    let mut is_told = false;
    loop {
        let error = match attempt() {
            Ok(file) => return Ok(file),
            Err(error) => error,
        };
        let is_short = error
            .raw_os_error()
            .is_some_and(|code| TOO_MANY.contains(&code));
        if !is_short || start.elapsed() >= LONGEST_WAIT {
            return Err(error);
        }
        if !is_told {
            log::warn!(
                "event=descriptors_short why={:?} remedy=\"raise the limit of open files, or find who connects\"",
                error.to_string()
            );
            is_told = true;
        }
        std::thread::sleep(PAUSE);
    }
}
