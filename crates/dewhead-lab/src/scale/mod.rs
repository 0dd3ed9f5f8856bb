//! Scale runs: many stub proxies, which run the shipped control code with generated calls, beside a few real proxy
//! processes, all connected to one fake discovery service; a cost model fitted to the results; the capacity table.

pub mod capacity;
pub mod fake_discovery;
pub mod fit;
pub mod plan;
pub mod real_proxy;
pub mod run;
pub mod stub_proxy;

/// Unix time in seconds, read once and advanced by a monotonic clock.
pub struct Clock(std::time::Instant, f64);

impl Default for Clock {
    fn default() -> Clock {
        let since_epoch = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
        Clock(std::time::Instant::now(), since_epoch.map_or(0.0, |s| s.as_secs_f64()))
    }
}

impl Clock {
    /// The current Unix time in seconds.
    pub fn now(&self) -> f64 {
        self.1 + self.0.elapsed().as_secs_f64()
    }
}

/// Processor time that the calling thread has used, in seconds.
pub fn thread_cpu_time() -> f64 {
    let cpu_time = rustix::time::clock_gettime(rustix::time::ClockId::ThreadCPUTime);
    cpu_time.tv_sec as f64 + cpu_time.tv_nsec as f64 / 1e9
}

/// Resident memory of a process in bytes; 0 if the process no longer exists.
pub fn resident_memory(process: u32) -> f64 {
    let status = std::fs::read_to_string(format!("/proc/{process}/status")).unwrap_or_default();
    let resident = status.lines().find_map(|l| l.strip_prefix("VmRSS:"));
    resident.and_then(|l| l.split_whitespace().next()?.parse::<f64>().ok()).unwrap_or(0.0) * 1024.0
}

/// Processor time that a process has used, in seconds; 0 if the process no longer exists.
pub fn process_cpu_time(process: u32) -> f64 {
    let stat = std::fs::read_to_string(format!("/proc/{process}/stat")).unwrap_or_default();
    // The command name may contain any character, so fields are counted from the last `)`. A tick is 0.01 s.
    let fields: Vec<&str> = stat.rsplit(')').next().unwrap_or("").split_whitespace().collect();
    let ticks = |at: usize| fields.get(at).and_then(|f| f.parse::<f64>().ok()).unwrap_or(0.0);
    (ticks(11) + ticks(12)) / 100.0
}
