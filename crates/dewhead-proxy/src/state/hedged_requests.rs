//! Hedged requests for the watch: further requests that are made while discovery leaves the first one unanswered. The
//! agent of discovery answers nothing that it was asked while discovery was down, but what it has at the return counts as
//! known at once, so that it has to be asked anew within the grace period of a drain.

use super::timers::Timer;
use crate::wire::http::WatchResponse;
use dewhead::list_source::TOLD_AFTER_SECONDS;

/// The most hedged requests that wait for an answer at the same time. A further one takes the place of the oldest.
pub const MAX_HEDGES: usize = 4;
/// The slot of the request whose first line is overdue. It is left open beside the later ones, as a discovery that takes
/// longer for each answer would otherwise never be heard.
pub const OVERDUE_SLOT: usize = MAX_HEDGES;
/// The number of slots.
pub const HEDGE_SLOTS: usize = MAX_HEDGES + 1;
/// The longest interval between two requests, as a share of the grace period. The rest is for the answer, for a process
/// that is held up, and for requests to servers that are being sent.
const MAX_INTERVAL_SHARE: f64 = 0.6;
/// The shortest interval as a share of the longest; it varies at random, so that the proxies of a fleet ask at different
/// times.
const MIN_INTERVAL_SHARE: f64 = 0.8;
/// The least interval between two requests, in seconds, however short the grace period is.
const LEAST_INTERVAL_SECONDS: f64 = 0.1;

/// One request that waits for its answer.
pub struct HedgedRequest {
    /// When it was made, in seconds.
    pub requested_at: f64,
    /// What has arrived of its answer.
    pub response: WatchResponse,
}

/// What is known of a discovery that leaves a request unanswered.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum Discovery {
    /// Nothing yet. It may be slow, or overloaded.
    Unknown,
    /// It has answered the last request at once, or has let one time out: it is down, as an overloaded one would have
    /// refused the request.
    AnswersAtOnceOrNever,
    /// It has answered the last request late.
    Slow,
    /// It has refused a request since it last wrote a line: further ones would keep it overloaded.
    Overloaded,
}

/// The hedged requests of a proxy, and when they are made.
pub struct HedgedRequests {
    /// The longest interval between two requests, in seconds; none where lists are not pushed.
    longest_interval: Option<f64>,
    /// The requests that wait for an answer.
    pub slots: [Option<HedgedRequest>; HEDGE_SLOTS],
    next_slot: usize,
    discovery: Discovery,
    /// The timer for the next request.
    pub timer: Option<Timer>,
}

impl HedgedRequests {
    /// No requests yet. `grace` is for how long requests may still be sent to a server that drains, in seconds; none where
    /// lists are not pushed, so that no requests are hedged.
    pub fn new(grace: Option<f64>) -> HedgedRequests {
        HedgedRequests {
            longest_interval: grace.map(|grace| (MAX_INTERVAL_SHARE * grace).max(LEAST_INTERVAL_SECONDS)),
            slots: Default::default(),
            next_slot: 0,
            discovery: Discovery::Unknown,
            timer: None,
        }
    }

    /// Whether requests are hedged now.
    pub fn enabled(&self) -> bool {
        self.longest_interval.is_some() && self.discovery != Discovery::Overloaded
    }

    /// The longest interval between two requests, in seconds; infinite where none are hedged now.
    pub fn longest_interval(&self) -> f64 {
        self.longest_interval.filter(|_| self.enabled()).unwrap_or(f64::INFINITY)
    }

    /// When the next request is due after one that was made now. A discovery that may be overloaded is given the time
    /// that it has for its answer, `time_limit` in seconds, before the first hedged request. `draw` is a random number
    /// from 0 to 1.
    pub fn next_due(&self, now: f64, time_limit: f64, draw: f64) -> f64 {
        match self.discovery {
            Discovery::Unknown | Discovery::Slow => now + time_limit,
            Discovery::AnswersAtOnceOrNever | Discovery::Overloaded => {
                now + self.longest_interval() * (MIN_INTERVAL_SHARE + (1.0 - MIN_INTERVAL_SHARE) * draw)
            }
        }
    }

    /// Whether discovery has answered the last request at once, or has let one time out.
    pub fn answers_at_once_or_never(&self) -> bool {
        self.discovery == Discovery::AnswersAtOnceOrNever
    }

    /// Records that a request was left unanswered for the time in which an overloaded discovery refuses it, or that an
    /// earlier process knew of this discovery that it answers at once or never.
    pub fn record_answers_at_once_or_never(&mut self) {
        self.discovery = Discovery::AnswersAtOnceOrNever;
    }

    /// Records the first line of an answer, `delay` seconds after the request.
    pub fn record_answer(&mut self, delay: f64) {
        let at_once = self.longest_interval.is_some_and(|interval| delay < interval);
        self.discovery = if at_once { Discovery::AnswersAtOnceOrNever } else { Discovery::Slow };
    }

    /// Records that discovery has refused a request.
    pub fn record_refusal(&mut self) {
        self.discovery = Discovery::Overloaded;
    }

    /// Forgets what is known of discovery, as another one takes its place.
    pub fn forget_discovery(&mut self) {
        self.discovery = Discovery::Unknown;
    }

    /// Records a request that is made now, and returns its slot. One that was in the slot before is given up.
    pub fn add(&mut self, now: f64) -> usize {
        let slot = self.next_slot;
        self.next_slot = (slot + 1) % MAX_HEDGES;
        self.slots[slot] = Some(HedgedRequest { requested_at: now, response: WatchResponse::default() });
        slot
    }

    /// Takes in the request for the watch whose first line is overdue. False: an earlier one may still be answered in the
    /// time in which changes count as told, and stays in the slot.
    pub fn add_overdue(&mut self, now: f64, request: HedgedRequest) -> bool {
        let slot = &mut self.slots[OVERDUE_SLOT];
        let is_earlier_awaited =
            slot.as_ref().is_some_and(|earlier| now - earlier.requested_at < TOLD_AFTER_SECONDS);
        if !is_earlier_awaited {
            *slot = Some(request);
        }
        !is_earlier_awaited
    }

    /// Gives up all requests and returns their slots.
    pub fn clear(&mut self) -> Vec<usize> {
        (0..HEDGE_SLOTS).filter(|slot| self.slots[*slot].take().is_some()).collect()
    }
}
