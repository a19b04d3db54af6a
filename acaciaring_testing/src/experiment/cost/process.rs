//! CPU time and resident memory of a process, read from procfs.

use std::fs;
use std::time::Duration;

/// Unit of the times in `/proc/PID/stat` (`USER_HZ`), which is 100 on the supported platforms.
const TICKS_PER_SECOND: u64 = 100;

/// Index of `utime` among the fields after the command name in `/proc/PID/stat`, see proc(5).
const UTIME_INDEX: usize = 11;

/// Returns the user and kernel CPU time of a process; zero when it has ended.
pub(super) fn cpu_time(id: u32) -> Duration {
    let stat = fs::read_to_string(format!("/proc/{id}/stat")).unwrap_or_default();
    let fields = stat.rsplit_once(')').map_or("", |(_, fields)| fields);
    let times = fields.split_whitespace().skip(UTIME_INDEX).take(2);
    let ticks: u64 = times.filter_map(|time| time.parse::<u64>().ok()).sum();
    Duration::from_millis(ticks * 1000 / TICKS_PER_SECOND)
}

/// Returns the resident memory of a process in KiB; zero when it has ended.
pub(super) fn resident_kib(id: u32) -> u64 {
    let status = fs::read_to_string(format!("/proc/{id}/status")).unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let number = line.and_then(|line| line.split_whitespace().next());
    number.and_then(|number| number.parse().ok()).unwrap_or_default()
}
