//! Processor time and memory of a process, as Linux tells them.

use std::fs;
use std::time::Duration;

/// Ticks a second in `/proc/PID/stat`: `USER_HZ`, which is 100 on the platforms of the project.
const TICKS_PER_SECOND: u64 = 100;

/// Place of `utime` in `/proc/PID/stat` after the name of the program (see proc(5)).
const UTIME_INDEX: usize = 11;

/// Kernel and user time that a process has used; zero when it has ended.
pub(super) fn cpu_time(id: u32) -> Duration {
    let stat = fs::read_to_string(format!("/proc/{id}/stat")).unwrap_or_default();
    let fields = stat.rsplit_once(')').map_or("", |(_, fields)| fields);
    let times = fields.split_whitespace().skip(UTIME_INDEX).take(2);
    let ticks: u64 = times.filter_map(|time| time.parse::<u64>().ok()).sum();
    Duration::from_millis(ticks * 1000 / TICKS_PER_SECOND)
}

/// Resident memory of a process in KiB; zero when it has ended.
pub(super) fn resident_kib(id: u32) -> u64 {
    let status = fs::read_to_string(format!("/proc/{id}/status")).unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let number = line.and_then(|line| line.split_whitespace().next());
    number.and_then(|number| number.parse().ok()).unwrap_or_default()
}
