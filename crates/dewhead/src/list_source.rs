//! Where the list of servers comes from, and when a server may be chosen by it. What the agent of discovery has counts as
//! told at once, also to a process that has not heard it yet: a list that discovery has not confirmed may lack a drain. An
//! agent to which no connection can be made has nothing to tell.

/// A change counts as told this many seconds after discovery has it, whether or not it has arrived.
pub const TOLD_AFTER_SECONDS: f64 = 6.0;
/// A process must be able to serve this many seconds before that time even if discovery does not answer.
const READINESS_MARGIN_SECONDS: f64 = 0.25;
/// An overloaded discovery answers or refuses a request within this many seconds; one that does neither is down.
pub const OVERLOADED_ANSWER_SECONDS: f64 = 2.1;
/// A process may be held up for this many seconds between choosing a server and writing to it.
const HOLD_UP_SECONDS: f64 = 0.15;
/// Where lists are asked for, a process that starts waits for discovery for this share of the longest guard time.
const POLLED_DOUBT_SHARE: f64 = 1.0 / 16.0;

/// Who told the list that is held, and between which times no server is chosen by it. Times are in seconds.
#[derive(Clone, Copy, Debug)]
enum ListSource {
    /// Discovery has confirmed it.
    Told,
    /// Discovery had confirmed it until the watch was lost, or until this process took over from another one.
    Unwatched {
        /// Until then, what discovery has been told since is within the grace period.
        doubted_from: f64,
        /// From then on discovery counts as down, and the list is used.
        doubted_until: f64,
    },
    /// An earlier process had it, and discovery may have changed it since.
    Remembered {
        /// From then on discovery counts as down, and the list is used.
        doubted_until: f64,
    },
}

impl ListSource {
    /// The list of an earlier process, at the start of this one. `pushed`: what discovery has counts as told at once;
    /// otherwise `longest_guard_time` limits the wait for it, in seconds.
    fn remembered(started_at: f64, pushed: bool, longest_guard_time: f64) -> ListSource {
        let longest_doubt = if pushed {
            TOLD_AFTER_SECONDS - READINESS_MARGIN_SECONDS
        } else {
            POLLED_DOUBT_SHARE * longest_guard_time
        };
        ListSource::Remembered { doubted_until: started_at + longest_doubt }
    }

    /// A list that was confirmed until `lost_at`. `grace` is for how long requests may still be sent to a server that
    /// drains, in seconds.
    fn unwatched(lost_at: f64, grace: f64) -> ListSource {
        ListSource::Unwatched {
            doubted_from: lost_at + (grace - HOLD_UP_SECONDS).max(0.0),
            doubted_until: lost_at + OVERLOADED_ANSWER_SECONDS,
        }
    }

    /// Whether discovery may have told something that the list lacks.
    fn is_doubted(&self, now: f64) -> bool {
        match *self {
            ListSource::Told => false,
            ListSource::Unwatched { doubted_from, doubted_until } => {
                doubted_from <= now && now < doubted_until
            }
            ListSource::Remembered { doubted_until } => now < doubted_until,
        }
    }

    /// When the list is used even if discovery has not confirmed it; none where it is used already.
    fn doubted_until(&self) -> Option<f64> {
        match *self {
            ListSource::Told => None,
            ListSource::Unwatched { doubted_until, .. } | ListSource::Remembered { doubted_until } => {
                Some(doubted_until)
            }
        }
    }

    /// The source after the watch was lost at `now`.
    fn after_lost_watch(self, now: f64, grace: f64) -> ListSource {
        match self {
            ListSource::Told => ListSource::unwatched(now, grace),
            other => other,
        }
    }

    /// The source after discovery has refused a request: it is asked again only seconds later, and a process that has served
    /// by the list until now goes on.
    fn after_refusal(self) -> ListSource {
        match self {
            ListSource::Unwatched { .. } => ListSource::Told,
            other => other,
        }
    }
}

/// Whether servers may be chosen by the list that is held. Times are in seconds.
pub struct ListReliance {
    source: ListSource,
    /// Whether the last attempt to connect to discovery has failed.
    discovery_unreachable: bool,
    /// For how long requests may still be sent to a server that drains; none where lists are not pushed.
    pushed_list_grace: Option<f64>,
}

impl ListReliance {
    /// For a process without a list.
    pub fn new(pushed_list_grace: Option<f64>) -> ListReliance {
        ListReliance { source: ListSource::Told, discovery_unreachable: false, pushed_list_grace }
    }

    /// Whether no server may be chosen by the list now.
    pub fn is_doubted(&self, now: f64) -> bool {
        !self.discovery_unreachable && self.source.is_doubted(now)
    }

    /// Whether clients should be sent to another process now.
    pub fn declines_clients(&self, now: f64) -> bool {
        matches!(self.source, ListSource::Remembered { .. }) && self.is_doubted(now)
    }

    /// When the list is used even if discovery has not confirmed it; none where it is confirmed.
    pub fn doubted_until(&self) -> Option<f64> {
        self.source.doubted_until()
    }

    /// Records that the list is the one that an earlier process had, at the start of this one.
    pub fn on_remembered_list(&mut self, started_at: f64, longest_guard_time: f64) {
        let pushed = self.pushed_list_grace.is_some();
        self.source = ListSource::remembered(started_at, pushed, longest_guard_time);
    }

    /// Records that another process has handed the list over, which discovery had confirmed until then.
    pub fn on_takeover(&mut self, now: f64) {
        if let Some(grace) = self.pushed_list_grace {
            self.source = ListSource::unwatched(now, grace);
        }
    }

    /// Records that discovery has confirmed the list.
    pub fn on_confirmation(&mut self) {
        (self.source, self.discovery_unreachable) = (ListSource::Told, false);
    }

    /// Records that a watch was lost that had delivered a line.
    pub fn on_lost_watch(&mut self, now: f64) {
        if let Some(grace) = self.pushed_list_grace {
            self.source = self.source.after_lost_watch(now, grace);
        }
    }

    /// Records that discovery has refused a request.
    pub fn on_refusal(&mut self) {
        self.source = self.source.after_refusal();
    }

    /// Records whether a connection to discovery could be made.
    pub fn on_connection_attempt(&mut self, established: bool) {
        self.discovery_unreachable = !established;
    }
}

/// Until when a request that arrived at `arrived_at` may wait for discovery to confirm the list: until its set-up target is
/// missed, as another process may reach it, and a server must still be reached by its `deadline`. All times are in seconds.
pub fn wait_limit(arrived_at: f64, deadline: f64, setup_target: f64, connect_timeout: f64) -> f64 {
    let wait = (deadline - arrived_at).max(0.0);
    (deadline - connect_timeout.min(0.5 * wait)).min(arrived_at + setup_target)
}

/// After how many seconds the client of a request that waited in vain is asked to come again: when the list is used, or
/// sooner. `longest` is the longest such time that may be named; none if none may.
pub fn retry_after(doubted_until: Option<f64>, now: f64, longest: Option<f64>) -> Option<f64> {
    let until_used = doubted_until.map_or(0.0, |until| (until - now).max(0.0));
    longest.map(|longest| longest.min(until_used))
}
