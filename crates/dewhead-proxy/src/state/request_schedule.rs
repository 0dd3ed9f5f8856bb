//! When discovery is asked again after a watch, or a request for one, has failed: early enough for what it may have had
//! since its last line, and as rarely as that allows where it is overloaded.

use super::watch_failure::WatchFailure;
use dewhead::list_source::TOLD_AFTER_SECONDS;

/// What a discovery at another address has counts as known this many seconds after the new configuration.
const NEW_DISCOVERY_KNOWN_AFTER_SECONDS: f64 = 4.0;
/// An overloaded discovery is asked again this many seconds before missed changes count as known, at the least and at the
/// most, varied at random: requests that come sooner keep it overloaded.
const OVERLOAD_MARGIN_SECONDS: (f64, f64) = (0.4, 1.0);
/// A refused request is repeated no sooner than after this many seconds, however soon missed changes count as known.
const MIN_OVERLOAD_PAUSE_SECONDS: f64 = 0.2;
/// Shortest and longest interval between two requests to a discovery that is not overloaded, in seconds, both varied at
/// random. A watch that was open, or silent, for longer than the interval is requested again at once, as a drain may
/// have been announced meanwhile.
const RETRY_PAUSE_SECONDS: (f64, f64) = (0.1, 0.8);

/// The times by which the next request for the watch is scheduled.
pub struct RequestSchedule {
    /// When the watch was last requested.
    requested_at: f64,
    /// When a change counts as known that discovery may have had since its last line.
    known_by: f64,
    /// Failed attempts since the last list.
    failed_attempts: u32,
}

impl RequestSchedule {
    /// The schedule of a discovery that has not been asked yet, and from which nothing has been heard before `now`.
    pub fn new(now: f64) -> RequestSchedule {
        RequestSchedule {
            requested_at: f64::NEG_INFINITY,
            known_by: now + TOLD_AFTER_SECONDS,
            failed_attempts: 0,
        }
    }

    /// The schedule of a discovery at another address, which takes the place of this one's discovery.
    pub fn for_new_discovery(&self, now: f64) -> RequestSchedule {
        let mut schedule = RequestSchedule {
            known_by: now + NEW_DISCOVERY_KNOWN_AFTER_SECONDS,
            ..RequestSchedule::new(now)
        };
        schedule.inherit(now, self.known_by);
        schedule
    }

    /// Takes over when the changes count as known that an earlier watch has missed, as far as that leaves time for a
    /// second request.
    pub fn inherit(&mut self, now: f64, known_by: f64) {
        if known_by > now + OVERLOAD_MARGIN_SECONDS.1 {
            self.known_by = self.known_by.min(known_by);
        }
    }

    /// When the watch was last requested.
    pub fn requested_at(&self) -> f64 {
        self.requested_at
    }

    /// When a change counts as known that discovery may have had since its last line.
    pub fn known_by(&self) -> f64 {
        self.known_by
    }

    /// Failed attempts since the last list.
    pub fn failed_attempts(&self) -> u32 {
        self.failed_attempts
    }

    /// Records a request.
    pub fn record_request(&mut self, now: f64) {
        self.requested_at = now;
    }

    /// Records a complete line: discovery had no change before `now` that it has not delivered.
    pub fn record_line(&mut self, now: f64) {
        self.known_by = now + TOLD_AFTER_SECONDS;
    }

    /// Records a version of the list that was applied.
    pub fn record_list(&mut self) {
        self.failed_attempts = 0;
    }

    /// Records a failure and returns when the next request is due, at `now` or later. `longest_pause` is the longest pause,
    /// in seconds, after a failure that may mean that discovery is down; `draw` is a random number from 0 to 1.
    pub fn record_failure(&mut self, now: f64, failure: WatchFailure, longest_pause: f64, draw: f64) -> f64 {
        let due = match failure {
            _ if failure.is_overload() => self.overload_retry(now, draw),
            WatchFailure::ConnectionLost | WatchFailure::LineOverdue => {
                self.retry(draw).min(self.requested_at + longest_pause)
            }
            _ => self.retry(draw),
        };
        self.failed_attempts = self.failed_attempts.saturating_add(1);
        due.max(now)
    }

    /// When to ask an overloaded discovery again.
    ///
    /// What was missed before the failed request counts as known six seconds after the last line, so that the time
    /// before that request is part of the six seconds. Once the last request for that has failed, only what discovery
    /// has had since then can still be heard in time.
    fn overload_retry(&self, now: f64, draw: f64) -> f64 {
        let (least, most) = OVERLOAD_MARGIN_SECONDS;
        let margin = most - (most - least) * draw;
        let since_request = self.requested_at + TOLD_AFTER_SECONDS - margin;
        let since_line = (self.known_by - margin).max(now + MIN_OVERLOAD_PAUSE_SECONDS);
        let was_last_request = self.requested_at >= self.known_by - most;
        if was_last_request || since_line > self.known_by {
            since_request
        } else {
            since_request.min(since_line)
        }
    }

    /// When to ask a discovery again that is not overloaded.
    ///
    /// The pause begins at the last request, in whatever way that failed. With a pause that began at the failure, the
    /// time spent on opening the watch was added to it.
    fn retry(&self, draw: f64) -> f64 {
        let (shortest, longest) = RETRY_PAUSE_SECONDS;
        let pause = (shortest * f64::from(1u32 << self.failed_attempts.min(4))).min(longest);
        self.requested_at + pause * (0.5 + draw)
    }
}
