//! The words that the decisions and their hosts share. Times are seconds, loads are standard cores.

#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Effect {
    Repeatable,
    Referenced(Group),
    OnceOnly,
}

/// Which servers know a referenced call's repeats.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Group {
    All,
    Zone,
    Cell,
}

#[derive(Clone, Debug)]
pub struct TrafficType {
    pub effect: Effect,
    /// How long a referenced call's mark is remembered.
    pub window: f64,
    pub setup_target: f64,
    /// A message on the standing connection is wanted within this.
    pub message_target: f64,
    pub guard_time: f64,
    pub revenue: f64,
}

#[derive(Clone, Debug)]
pub struct Shop {
    pub share: f64,
    /// Standing connections of the shop within its share, over all proxies; 0 where not told.
    pub standing: f64,
}

#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum State {
    Ready,
    Draining,
    Gone,
}

/// A server as the list names it.
#[derive(Clone, Debug)]
pub struct Listed {
    pub id: u64,
    pub zone: usize,
    pub cell: u64,
    pub state: State,
    pub weight: f64,
    /// When it last started; none if long ago.
    pub started: Option<f64>,
}

impl Listed {
    /// One that no list has named yet: nothing new goes there.
    pub fn unnamed(id: u64, zone: usize) -> Listed {
        Listed { id, zone, cell: 0, state: State::Gone, weight: 0.0, started: None }
    }
}

/// What a call brings along.
#[derive(Clone, Debug)]
pub struct Wanted {
    pub traffic: usize,
    pub shop: Option<usize>,
    /// When the client gives up.
    pub until: f64,
    pub hint: Option<f64>,
    pub group: Option<u64>,
}

/// How a leg ended.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Ending {
    Served,
    Error,
    Full,
    TimedOut,
    Unreachable,
    Broken,
    Cancelled,
    NotSent,
}

impl Ending {
    /// Whether this ending leaves open that the leg ran.
    pub fn may_have_run(self) -> bool {
        !matches!(self, Ending::Full | Ending::Unreachable | Ending::NotSent)
    }
}

/// How a list arrived.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum News {
    Changes,
    Whole,
    /// The list held before a restart, perhaps old.
    Remembered,
    Failed,
}
