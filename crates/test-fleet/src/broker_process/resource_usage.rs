//! Processor time and memory of a process, read from `/proc` (proc(5)).

use std::io;
use std::time::Duration;

/// Unit in which `/proc` gives processor time: one clock tick (`USER_HZ` is 100).
const CLOCK_TICK: Duration = Duration::from_millis(10);

/// Returns the processor time that a process has used in user and system mode.
pub(super) fn cpu_time(process: u32) -> io::Result<Duration> {
    let stat = std::fs::read_to_string(format!("/proc/{process}/stat"))?;
    // proc(5) numbers the fields from 1. Field 2 is the name of the program in parentheses, which
    // may contain spaces; the fields after it are separated by spaces and start with field 3. utime
    // and stime are fields 14 and 15.
    let after_name = stat.rsplit(')').next().unwrap_or_default();
    let fields: Vec<&str> = after_name.split_whitespace().collect();
    let ticks = |number: usize| -> u32 {
        let field = fields.get(number - 3);
        field.and_then(|field| field.parse().ok()).unwrap_or(0)
    };
    Ok(CLOCK_TICK * (ticks(14) + ticks(15)))
}

/// Returns the resident memory of a process, in bytes.
pub(super) fn resident_memory(process: u32) -> io::Result<u64> {
    let status = std::fs::read_to_string(format!("/proc/{process}/status"))?;
    let kib = status.lines().find_map(resident_kib).unwrap_or(0);
    Ok(1024 * kib)
}

/// Returns the number from a line of `/proc/PID/status` like `VmRSS: 1234 kB`, or `None` for any
/// other line.
fn resident_kib(line: &str) -> Option<u64> {
    let size = line.strip_prefix("VmRSS:")?.trim().strip_suffix("kB")?;
    size.trim().parse().ok()
}
