//! Processor time and memory of a process, as Linux counts them (proc(5)).

use std::io;
use std::time::Duration;

/// Processor time that Linux counts in one clock tick (`USER_HZ` is 100).
const CLOCK_TICK: Duration = Duration::from_millis(10);

/// The processor time that a process has used, in user and system mode.
pub(super) fn cpu_time(process: u32) -> io::Result<Duration> {
    let stat = std::fs::read_to_string(format!("/proc/{process}/stat"))?;
    // proc(5) counts from 1: the state, the first field after the name in parentheses, is field 3;
    // utime and stime are 14 and 15.
    let after_name = stat.rsplit(')').next().unwrap_or_default();
    let fields: Vec<&str> = after_name.split_whitespace().collect();
    let ticks = |number: usize| -> u32 {
        let field = fields.get(number - 3);
        field.and_then(|field| field.parse().ok()).unwrap_or(0)
    };
    Ok(CLOCK_TICK * (ticks(14) + ticks(15)))
}

/// The resident memory of a process, in bytes.
pub(super) fn resident_memory(process: u32) -> io::Result<u64> {
    let status = std::fs::read_to_string(format!("/proc/{process}/status"))?;
    let kib = status.lines().find_map(resident_kib).unwrap_or(0);
    Ok(1024 * kib)
}

/// Reads the line `VmRSS: 1234 kB` of `/proc/PID/status`.
fn resident_kib(line: &str) -> Option<u64> {
    let size = line.strip_prefix("VmRSS:")?.trim().strip_suffix("kB")?;
    size.trim().parse().ok()
}
