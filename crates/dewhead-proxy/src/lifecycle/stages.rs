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
pub enum Told {
    Listens,
    /// Whether servers are known.
    List(bool),
    /// To read the configuration again; then that it was read, well or not.
    Renew,
    Renewed,
    Drain,
    Undrain,
    Stop,
    /// Another process has taken this one's place.
    Succeeded,
    /// Nothing is open any more, or time is up.
    Over,
}

/// What is to be done.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Act {
    TellReady,
    TellReloading,
    TellStopping,
    /// A word for those who look: the stage has changed.
    TellStage,
    ReadAgain,
    Drain,
    Undrain,
    Stop,
}

/// The machine.
pub struct Life {
    stage: Stage,
    list: bool,
    /// Asked to read the configuration again before anybody could be served.
    renew_later: bool,
}

impl Default for Life {
    fn default() -> Life {
        Life { stage: Stage::Starting, list: false, renew_later: false }
    }
}

impl Life {
    pub fn stage(&self) -> Stage {
        self.stage
    }

    fn to(&mut self, stage: Stage, acts: &[Act]) -> Vec<Act> {
        self.stage = stage;
        acts.iter().copied().chain([Act::TellStage]).collect()
    }

    /// Where it serves from, by whether servers are known.
    fn serving(&mut self) -> Vec<Act> {
        if self.list {
            self.to(Stage::Ready, &[Act::TellReady])
        } else {
            self.to(Stage::Waiting, &[])
        }
    }

    /// The acts, in their order.
    pub fn told(&mut self, told: Told) -> Vec<Act> {
        if let Told::List(held) = told {
            self.list = held;
        }
        match (self.stage, told) {
            (Stage::Stopped, _) => Vec::new(),
            (Stage::Starting, Told::Listens) => {
                let mut acts = self.serving();
                if std::mem::take(&mut self.renew_later) {
                    acts.extend(self.told(Told::Renew));
                }
                acts
            }
            (Stage::Starting, Told::Renew) => {
                self.renew_later = true;
                Vec::new()
            }
            (Stage::Waiting, Told::List(true)) | (Stage::Ready, Told::List(false)) => self.serving(),
            (Stage::Waiting | Stage::Ready, Told::Renew) => {
                self.to(Stage::Reloading, &[Act::TellReloading, Act::ReadAgain])
            }
            // One that sends its clients away still follows discovery where it has moved to.
            (Stage::Draining | Stage::Retiring | Stage::Stopping, Told::Renew) => vec![Act::ReadAgain],
            (Stage::Reloading, Told::Renewed) => self.serving(),
            (Stage::Waiting | Stage::Ready, Told::Drain) => self.to(Stage::Draining, &[Act::Drain]),
            (Stage::Draining, Told::Undrain) => {
                let mut acts = vec![Act::Undrain];
                acts.extend(self.serving());
                acts
            }
            (Stage::Stopping, Told::Stop | Told::Succeeded) | (Stage::Retiring, Told::Succeeded) => {
                Vec::new()
            }
            // The manager has been told of the other one; this one is no longer its business. Its signals are: taken for a
            // second stop, one was passed over, and the clients that were left were cut by SIGKILL.
            (_, Told::Succeeded) => self.to(Stage::Retiring, &[]),
            (Stage::Retiring, Told::Stop) => self.to(Stage::Stopping, &[Act::Stop]),
            (_, Told::Stop) => self.to(Stage::Stopping, &[Act::TellStopping, Act::Stop]),
            (Stage::Retiring | Stage::Stopping, Told::Over) => self.to(Stage::Stopped, &[]),
            _ => Vec::new(),
        }
    }
}
