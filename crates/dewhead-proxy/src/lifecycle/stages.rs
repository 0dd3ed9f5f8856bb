//! The stages of a process's life, as a machine without I/O: it is told what happens and says what is to be done.
//!
//! Readiness is told once a list of servers is held, and not before. What cannot happen in a stage changes nothing: a
//! second SIGTERM, a SIGHUP while stopping.

/// Where in its life the process is.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Stage {
    /// The configuration is read; nobody can connect yet.
    Starting,
    /// Clients can connect, and no list of servers is held, or an empty one.
    Waiting,
    Ready,
    /// A new configuration is being read.
    Reloading,
    /// Sends its clients away and takes no new front's; can be taken back.
    Draining,
    /// Another process has taken the place; ends once its own clients are gone, or at the time that was given.
    Retiring,
    /// Told to end: once all are gone, or at its time.
    Stopping,
    Stopped,
}

impl Stage {
    pub fn name(self) -> &'static str {
        match self {
            Stage::Starting => "starting",
            Stage::Waiting => "waiting",
            Stage::Ready => "ready",
            Stage::Reloading => "reloading",
            Stage::Draining => "draining",
            Stage::Retiring => "retiring",
            Stage::Stopping => "stopping",
            Stage::Stopped => "stopped",
        }
    }
}

/// What happens.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum StageEvent {
    Listening,
    /// Whether servers are known.
    ServerListHeld(bool),
    /// To read the configuration again; then that it was read, well or not.
    ReloadRequested,
    ReloadFinished,
    DrainRequested,
    UndrainRequested,
    StopRequested,
    /// Another process has taken this one's place.
    SuccessorTookOver,
    /// Nothing is open any more, or time is up.
    Finished,
}

/// What is to be done.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum StageAction {
    NotifyReady,
    NotifyReloading,
    NotifyStopping,
    /// A word for those who look: the stage has changed.
    ReportStage,
    ReloadConfiguration,
    Drain,
    Undrain,
    Stop,
}

/// The machine.
pub struct StageMachine {
    stage: Stage,
    list: bool,
    /// Asked to read the configuration again before anybody could be served.
    renew_later: bool,
}

impl Default for StageMachine {
    fn default() -> StageMachine {
        StageMachine { stage: Stage::Starting, list: false, renew_later: false }
    }
}

impl StageMachine {
    pub fn stage(&self) -> Stage {
        self.stage
    }

    fn to(&mut self, stage: Stage, acts: &[StageAction]) -> Vec<StageAction> {
        self.stage = stage;
        acts.iter().copied().chain([StageAction::ReportStage]).collect()
    }

    /// Where it serves from, by whether servers are known.
    fn serving(&mut self) -> Vec<StageAction> {
        if self.list {
            self.to(Stage::Ready, &[StageAction::NotifyReady])
        } else {
            self.to(Stage::Waiting, &[])
        }
    }

    /// The acts, in their order.
    pub fn handle(&mut self, told: StageEvent) -> Vec<StageAction> {
        if let StageEvent::ServerListHeld(held) = told {
            self.list = held;
        }
        match (self.stage, told) {
            (Stage::Stopped, _) => Vec::new(),
            (Stage::Starting, StageEvent::Listening) => {
                let mut acts = self.serving();
                if std::mem::take(&mut self.renew_later) {
                    acts.extend(self.handle(StageEvent::ReloadRequested));
                }
                acts
            }
            (Stage::Starting, StageEvent::ReloadRequested) => {
                self.renew_later = true;
                Vec::new()
            }
            (Stage::Waiting, StageEvent::ServerListHeld(true))
            | (Stage::Ready, StageEvent::ServerListHeld(false)) => self.serving(),
            (Stage::Waiting | Stage::Ready, StageEvent::ReloadRequested) => {
                self.to(Stage::Reloading, &[StageAction::NotifyReloading, StageAction::ReloadConfiguration])
            }
            // One that sends its clients away still follows discovery where it has moved to.
            (Stage::Draining | Stage::Retiring | Stage::Stopping, StageEvent::ReloadRequested) => {
                vec![StageAction::ReloadConfiguration]
            }
            (Stage::Reloading, StageEvent::ReloadFinished) => self.serving(),
            (Stage::Waiting | Stage::Ready, StageEvent::DrainRequested) => {
                self.to(Stage::Draining, &[StageAction::Drain])
            }
            (Stage::Draining, StageEvent::UndrainRequested) => {
                let mut acts = vec![StageAction::Undrain];
                acts.extend(self.serving());
                acts
            }
            (Stage::Stopping, StageEvent::StopRequested | StageEvent::SuccessorTookOver)
            | (Stage::Retiring, StageEvent::SuccessorTookOver) => Vec::new(),
            // The manager has been told of the other one; this one is no longer its business. Its signals are: taken for a
            // second stop, one was passed over, and the clients that were left were cut by SIGKILL.
            (_, StageEvent::SuccessorTookOver) => self.to(Stage::Retiring, &[]),
            (Stage::Retiring, StageEvent::StopRequested) => self.to(Stage::Stopping, &[StageAction::Stop]),
            (_, StageEvent::StopRequested) => {
                self.to(Stage::Stopping, &[StageAction::NotifyStopping, StageAction::Stop])
            }
            (Stage::Retiring | Stage::Stopping, StageEvent::Finished) => self.to(Stage::Stopped, &[]),
            _ => Vec::new(),
        }
    }
}
