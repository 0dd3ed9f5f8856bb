//! The words that the decisions and their hosts share. Times are seconds, loads are standard cores.

#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Idempotency {
    Repeatable,
    Referenced(RepeatScope),
    OnceOnly,
}

/// Which servers know a referenced call's repeats.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum RepeatScope {
    All,
    Zone,
    Cell,
}

#[derive(Clone, Debug)]
pub struct TrafficType {
    pub idempotency: Idempotency,
    /// How long a referenced call's mark is remembered.
    pub repeat_window: f64,
    pub setup_target: f64,
    /// A message on the standing connection is wanted within this.
    pub message_target: f64,
    pub guard_time: f64,
    pub revenue: f64,
}

#[derive(Clone, Debug)]
pub struct Tenant {
    pub share: f64,
    /// Standing connections of the shop within its share, over all proxies; 0 where not told.
    pub quota_connections: f64,
}

#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum ServerState {
    Ready,
    Draining,
    Gone,
}

/// A server as the list names it.
#[derive(Clone, Debug)]
pub struct ServerEntry {
    pub id: u64,
    pub zone: usize,
    pub cell: u64,
    pub state: ServerState,
    pub weight: f64,
    /// When it last started; none if long ago.
    pub started: Option<f64>,
}

impl ServerEntry {
    /// One that no list has named yet: nothing new goes there.
    pub fn unlisted(id: u64, zone: usize) -> ServerEntry {
        ServerEntry { id, zone, cell: 0, state: ServerState::Gone, weight: 0.0, started: None }
    }
}

/// What a call brings along.
#[derive(Clone, Debug)]
pub struct CallRequest {
    pub traffic_type: usize,
    pub tenant: Option<usize>,
    /// When the client gives up.
    pub deadline: f64,
    pub load_hint: Option<f64>,
    pub group: Option<u64>,
}

/// How a leg ended.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum LegOutcome {
    Served,
    Error,
    Full,
    TimedOut,
    Unreachable,
    Broken,
    Cancelled,
    NotSent,
}

impl LegOutcome {
    /// Whether this ending leaves open that the leg ran.
    pub fn may_have_run(self) -> bool {
        !matches!(self, LegOutcome::Full | LegOutcome::Unreachable | LegOutcome::NotSent)
    }
}

/// How a list arrived.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum ListUpdate {
    Delta,
    Full,
    /// The list held before a restart, perhaps old.
    Cached,
    Failed,
}
