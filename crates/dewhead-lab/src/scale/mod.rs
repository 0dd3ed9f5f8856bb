//! The scale run: hollow proxies, which run the shipped control code over connections of their own and hold made-up calls,
//! beside real processes, all against one stand-in for discovery; and what is reckoned from the results.

pub mod capacity;
pub mod fake_discovery;
pub mod fit;
pub mod plan;
pub mod real_proxy;
pub mod run;
pub mod stub_proxy;

/// Unix time in seconds, from a clock that never goes back.
pub struct Clock(std::time::Instant, f64);

impl Default for Clock {
    fn default() -> Clock {
        let since = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
        Clock(std::time::Instant::now(), since.map_or(0.0, |s| s.as_secs_f64()))
    }
}

impl Clock {
    pub fn now(&self) -> f64 {
        self.1 + self.0.elapsed().as_secs_f64()
    }
}

/// Processor time of this thread so far, in seconds.
pub fn thread_cpu_time() -> f64 {
    let time = rustix::time::clock_gettime(rustix::time::ClockId::ThreadCPUTime);
    time.tv_sec as f64 + time.tv_nsec as f64 / 1e9
}

/// Memory that a process holds, in bytes; 0 where it is gone.
pub fn resident_memory(process: u32) -> f64 {
    let status = std::fs::read_to_string(format!("/proc/{process}/status")).unwrap_or_default();
    let held = status.lines().find_map(|l| l.strip_prefix("VmRSS:"));
    held.and_then(|l| l.split_whitespace().next()?.parse::<f64>().ok()).unwrap_or(0.0) * 1024.0
}

/// Processor time of a process so far, in seconds; 0 where it is gone.
pub fn process_cpu_time(process: u32) -> f64 {
    let stat = std::fs::read_to_string(format!("/proc/{process}/stat")).unwrap_or_default();
    // After the name, which may hold anything, times stand in hundredths.
    let fields: Vec<&str> = stat.rsplit(')').next().unwrap_or("").split_whitespace().collect();
    let ticks = |at: usize| fields.get(at).and_then(|f| f.parse::<f64>().ok()).unwrap_or(0.0);
    (ticks(11) + ticks(12)) / 100.0
}
