//! Data types shared by the decisions and the programs that embed them. Times are in seconds, loads in standard cores.

/// Whether a call that may have run once may be sent to a server again.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Idempotency {
    /// Running the call twice is harmless.
    Repeatable,
    /// The call carries a reference, by which the servers in this scope recognise a repeat for a limited time.
    Referenced(RepeatScope),
    /// The call must not run twice.
    OnceOnly,
}

/// The servers that recognise a repeat of a referenced call, relative to the one that received it first.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum RepeatScope {
    /// All servers.
    All,
    /// The servers of the same zone.
    Zone,
    /// The servers of the same cell of the same zone.
    Cell,
}

/// A class of calls with the same requirements.
#[derive(Clone, Debug)]
pub struct TrafficType {
    /// Whether and where a call that may have run can be sent again.
    pub idempotency: Idempotency,
    /// How long servers recognise a repeat of a referenced call.
    pub repeat_window: f64,
    /// The time within which a call's connection should be established.
    pub setup_target: f64,
    /// The time that a message on the established connection should take at most.
    pub message_target: f64,
    /// The longest that a client waits for the answer to a call.
    pub guard_time: f64,
    /// The revenue of a served call.
    pub revenue: f64,
}

/// A tenant and its quota.
#[derive(Clone, Debug)]
pub struct Tenant {
    /// The tenant's share of the service as configured. The decisions use the quota only.
    pub share: f64,
    /// Established connections that the tenant's share covers, over all balancers; 0 if not configured.
    pub quota_connections: f64,
}

/// A server's state in the list of servers.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum ServerState {
    /// Accepts calls.
    Ready,
    /// Keeps its connections and accepts no further calls.
    Draining,
    /// No longer exists.
    Gone,
}

/// A server's entry in the list of servers.
#[derive(Clone, PartialEq, Debug)]
pub struct ServerEntry {
    /// The server's id, the same for every balancer.
    pub id: u64,
    /// The zone's index in the settings.
    pub zone: usize,
    /// The number of the server's cell within its zone.
    pub cell: u64,
    /// Whether the server accepts calls.
    pub state: ServerState,
    /// The server's size relative to others. Where weights follow load, this is the size over one more than the load
    /// that the server holds per core.
    pub weight: f64,
    /// When the server last started; `None` if long ago.
    pub started: Option<f64>,
}

impl ServerEntry {
    /// An entry for a server that is in no list yet. No new calls are sent to it.
    pub fn unlisted(id: u64, zone: usize) -> ServerEntry {
        ServerEntry { id, zone, cell: 0, state: ServerState::Gone, weight: 0.0, started: None }
    }
}

/// A call's parameters.
#[derive(Clone, Debug)]
pub struct CallRequest {
    /// The traffic type's index in the settings.
    pub traffic_type: usize,
    /// The tenant's index in the settings.
    pub tenant: Option<usize>,
    /// When the client gives up.
    pub deadline: f64,
    /// The load that the connection is expected to add.
    pub load_hint: Option<f64>,
    /// The group of calls that share work at a server.
    pub group: Option<u64>,
}

/// How a leg ended.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum LegOutcome {
    /// The server completed the call.
    Served,
    /// The server answered with an error.
    Error,
    /// The server refused the call because its queue was full.
    Full,
    /// No answer came within the leg's time-out.
    TimedOut,
    /// The connection could not be established.
    Unreachable,
    /// The connection broke.
    Broken,
    /// The leg was cancelled, or its connection was relocated.
    Cancelled,
    /// Nothing was sent to the server.
    NotSent,
}

impl LegOutcome {
    /// Whether the server may have run the call.
    pub fn may_have_run(self) -> bool {
        !matches!(self, LegOutcome::Full | LegOutcome::Unreachable | LegOutcome::NotSent)
    }
}

/// The kind of an update of the list of servers.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum ListUpdate {
    /// Only the entries that have changed.
    Delta,
    /// The complete list; servers missing from it are gone.
    Full,
    /// The complete list as it was kept over a restart, possibly out of date.
    Cached,
    /// The list could not be fetched; there are no entries.
    Failed,
}
