//! The stages of the proxy process as a state machine without I/O: it takes events and returns the actions to carry
//! out.
//!
//! Readiness is reported only once a server list is held. An event that does not apply in the current stage, such as a
//! second SIGTERM, is ignored.

/// Current stage of the process.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Stage {
    /// The configuration has been read, and the listening socket is not open yet.
    Starting,
    /// Clients can connect, but there is no server list, or an empty one.
    Waiting,
    /// Clients can connect, and servers are known.
    Ready,
    /// The configuration is being read again.
    Reloading,
    /// Moves its clients to other proxies and leaves `PING` unanswered, so that front-end load balancers send no new
    /// ones. `UndrainRequested` reverts it.
    Draining,
    /// A successor has taken over. The process ends once its own clients have left, or when their time is up.
    Retiring,
    /// A stop was requested. The process ends once all connections are closed, or when the time for that is up.
    Stopping,
    /// The event loop has ended.
    Stopped,
}

impl Stage {
    /// The name used in the log, in the status line for the service manager and on the control socket.
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

/// Input of the state machine.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum StageEvent {
    /// The listening socket is open.
    Listening,
    /// The server list may have changed; true if servers are known.
    ServerListHeld(bool),
    /// SIGHUP, or `reload` on the control socket.
    ReloadRequested,
    /// The configuration was read again, whether or not it was valid.
    ReloadFinished,
    /// `drain` on the control socket.
    DrainRequested,
    /// `undrain` on the control socket.
    UndrainRequested,
    /// SIGTERM or SIGINT, or `stop` on the control socket from the successor.
    StopRequested,
    /// A successor has taken over.
    SuccessorTookOver,
    /// No connection is open any more, or time is up.
    Finished,
}

/// Output of the state machine, carried out by the event loop.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum StageAction {
    /// Send `READY=1` to the service manager.
    NotifyReady,
    /// Send `RELOADING=1` to the service manager.
    NotifyReloading,
    /// Send `STOPPING=1` to the service manager.
    NotifyStopping,
    /// Log the new stage and send it to the service manager as its status line.
    ReportStage,
    /// Read the configuration again.
    ReloadConfiguration,
    /// Start to drain.
    Drain,
    /// End the drain.
    Undrain,
    /// Start to stop.
    Stop,
}

/// The state machine of the stages.
pub struct StageMachine {
    stage: Stage,
    server_list_held: bool,
    /// A reload was requested in stage `Starting` and is done once the process listens.
    reload_deferred: bool,
}

impl Default for StageMachine {
    fn default() -> StageMachine {
        StageMachine { stage: Stage::Starting, server_list_held: false, reload_deferred: false }
    }
}

impl StageMachine {
    /// The current stage.
    pub fn stage(&self) -> Stage {
        self.stage
    }

    /// Changes the stage and returns `actions`, followed by `ReportStage`.
    fn enter(&mut self, stage: Stage, actions: &[StageAction]) -> Vec<StageAction> {
        self.stage = stage;
        actions.iter().copied().chain([StageAction::ReportStage]).collect()
    }

    /// Enters `Ready` if servers are known, otherwise `Waiting`.
    fn enter_serving_stage(&mut self) -> Vec<StageAction> {
        if self.server_list_held {
            self.enter(Stage::Ready, &[StageAction::NotifyReady])
        } else {
            self.enter(Stage::Waiting, &[])
        }
    }

    /// Applies an event and returns the actions to carry out, in order.
    pub fn handle(&mut self, event: StageEvent) -> Vec<StageAction> {
        if let StageEvent::ServerListHeld(held) = event {
            self.server_list_held = held;
        }
        match (self.stage, event) {
            (Stage::Stopped, _) => Vec::new(),
            (Stage::Starting, StageEvent::Listening) => {
                let mut actions = self.enter_serving_stage();
                if std::mem::take(&mut self.reload_deferred) {
                    actions.extend(self.handle(StageEvent::ReloadRequested));
                }
                actions
            }
            (Stage::Starting, StageEvent::ReloadRequested) => {
                self.reload_deferred = true;
                Vec::new()
            }
            (Stage::Waiting, StageEvent::ServerListHeld(true))
            | (Stage::Ready, StageEvent::ServerListHeld(false)) => self.enter_serving_stage(),
            (Stage::Waiting | Stage::Ready, StageEvent::ReloadRequested) => self
                .enter(Stage::Reloading, &[StageAction::NotifyReloading, StageAction::ReloadConfiguration]),
            // A process whose clients are leaving still has to follow discovery to a new address.
            (Stage::Draining | Stage::Retiring | Stage::Stopping, StageEvent::ReloadRequested) => {
                vec![StageAction::ReloadConfiguration]
            }
            (Stage::Reloading, StageEvent::ReloadFinished) => self.enter_serving_stage(),
            (Stage::Waiting | Stage::Ready, StageEvent::DrainRequested) => {
                self.enter(Stage::Draining, &[StageAction::Drain])
            }
            (Stage::Draining, StageEvent::UndrainRequested) => {
                let mut actions = vec![StageAction::Undrain];
                actions.extend(self.enter_serving_stage());
                actions
            }
            (Stage::Stopping, StageEvent::StopRequested | StageEvent::SuccessorTookOver)
            | (Stage::Retiring, StageEvent::SuccessorTookOver) => Vec::new(),
            // The service manager now tracks the successor, so it gets no STOPPING=1 from this process. A signal still
            // has to stop this process: when it was ignored as a second stop, SIGKILL cut off the remaining clients.
            (_, StageEvent::SuccessorTookOver) => self.enter(Stage::Retiring, &[]),
            (Stage::Retiring, StageEvent::StopRequested) => self.enter(Stage::Stopping, &[StageAction::Stop]),
            (_, StageEvent::StopRequested) => {
                self.enter(Stage::Stopping, &[StageAction::NotifyStopping, StageAction::Stop])
            }
            (Stage::Retiring | Stage::Stopping, StageEvent::Finished) => self.enter(Stage::Stopped, &[]),
            _ => Vec::new(),
        }
    }
}
