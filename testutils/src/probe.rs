//! What the system knows of a process: processor time and memory.

use std::fs;
use std::time::Duration;

/// Clock ticks a second in the figures of the system.
const TICKS: u64 = 100;
/// Bytes of a kibibyte, the unit of memory figures.
const KIB: u64 = 1_024;

/// Returns the processor time of a process so far, user and system.
pub fn cpu_time(id: u32) -> Duration {
    let text = fs::read_to_string(format!("/proc/{id}/stat")).unwrap_or_default();
    // The name in parentheses may hold spaces; what follows it does not.
    let rest = text.rsplit(')').next().unwrap_or_default();
    let fields: Vec<u64> = rest
        .split_whitespace()
        .skip(11)
        .take(2)
        .filter_map(|field| field.parse().ok())
        .collect();
    Duration::from_millis(fields.iter().sum::<u64>() * 1_000 / TICKS)
}

/// Returns the memory of a process that is in use, in bytes.
pub fn memory(id: u32) -> u64 {
    let text = fs::read_to_string(format!("/proc/{id}/status")).unwrap_or_default();
    let line = text.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let size = line.and_then(|line| line.split_whitespace().next()?.parse::<u64>().ok());
    size.unwrap_or(0) * KIB
}

/// Returns the bytes that the loopback interface has carried.
pub fn loopback_bytes() -> u64 {
    let text = fs::read_to_string("/proc/net/dev").unwrap_or_default();
    let line = text
        .lines()
        .find_map(|line| line.trim().strip_prefix("lo:"));
    let bytes = line.and_then(|line| line.split_whitespace().next()?.parse().ok());
    bytes.unwrap_or(0)
}
