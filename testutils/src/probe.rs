//! Resource usage from `/proc`: CPU time and memory of a process, and traffic.

use std::fs;
use std::time::Duration;

/// Clock ticks per second (`USER_HZ`), the unit of CPU times in `/proc`.
const TICKS_PER_SECOND: u64 = 100;
/// Bytes per kibibyte, the unit of memory sizes in `/proc`.
const KIB: u64 = 1_024;

/// Returns the CPU time that a process has used so far, user and system.
pub fn cpu_time(id: u32) -> Duration {
    let text = fs::read_to_string(format!("/proc/{id}/stat")).unwrap_or_default();
    // The process name in parentheses may contain spaces; the fields after it
    // cannot.
    let rest = text.rsplit(')').next().unwrap_or_default();
    let ticks: Vec<u64> = rest
        .split_whitespace()
        .skip(11)
        .take(2)
        .filter_map(|field| field.parse().ok())
        .collect();
    Duration::from_millis(ticks.iter().sum::<u64>() * 1_000 / TICKS_PER_SECOND)
}

/// Returns the resident memory of a process, in bytes.
pub fn memory(id: u32) -> u64 {
    let text = fs::read_to_string(format!("/proc/{id}/status")).unwrap_or_default();
    let line = text.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kib = line.and_then(|line| line.split_whitespace().next()?.parse::<u64>().ok());
    kib.unwrap_or(0) * KIB
}

/// Returns the number of bytes that the loopback interface has received.
pub fn loopback_bytes() -> u64 {
    let text = fs::read_to_string("/proc/net/dev").unwrap_or_default();
    let line = text
        .lines()
        .find_map(|line| line.trim().strip_prefix("lo:"));
    let bytes = line.and_then(|line| line.split_whitespace().next()?.parse().ok());
    bytes.unwrap_or(0)
}
