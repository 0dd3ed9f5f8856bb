//! Which faults are injected into a process: written by its parent process and parsed from its environment.

use std::fmt;
use std::str::FromStr;

/// The environment variable that holds a [`Plan`].
pub const ENVIRONMENT_VARIABLE: &str = "DEWHEAD_FAULTS";

/// A step of the wall clock, as caused by an administrator or a time service. Monotonic clocks are not affected.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ClockStep {
    /// Unix time at which the step happens, in seconds.
    pub from: f64,
    /// Size of the step in seconds; negative for a step back.
    pub by: f64,
}

/// The probability, from 0 to 1, with which each kind of call fails.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Plan {
    /// Seed of the random choices.
    pub seed: u64,
    /// Reads and writes on sockets transfer fewer bytes than they could.
    pub short: f64,
    /// Reads and writes on sockets and `epoll_wait` fail with `EINTR`.
    pub interrupt: f64,
    /// `accept` fails with a transient error.
    pub accept: f64,
    /// `socket` fails with a transient error.
    pub socket: f64,
    /// `connect` fails with a transient error.
    pub connect: f64,
    /// Opening a file for reading fails with `EIO`.
    pub open: f64,
    /// Reads and writes on a connection that was reset end with `ETIMEDOUT` or `EHOSTUNREACH` instead.
    pub unreachable: f64,
    /// The step of the wall clock; none if `by` is 0.
    pub step: ClockStep,
}

/// Why a plan could not be parsed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PlanError {
    /// An entry is not of the form `name=number`.
    Malformed(String),
    /// There is no fault of this name.
    UnknownName(String),
    /// A probability is outside 0 to 1.
    OutOfRange(String),
}

impl fmt::Display for PlanError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            PlanError::Malformed(entry) => write!(f, "'{entry}' is not of the form name=number"),
            PlanError::UnknownName(name) => write!(f, "there is no fault '{name}'"),
            PlanError::OutOfRange(name) => write!(f, "'{name}' takes a probability from 0 to 1"),
        }
    }
}

impl std::error::Error for PlanError {}

impl FromStr for Plan {
    type Err = PlanError;

    /// Parses `name=number` entries separated by commas. Names are those of the fields, `step_from` and `step_by`.
    fn from_str(text: &str) -> Result<Plan, PlanError> {
        let mut plan = Plan::default();
        for entry in text.split(',').filter(|entry| !entry.is_empty()) {
            let malformed = || PlanError::Malformed(entry.to_owned());
            let (name, value) = entry.split_once('=').ok_or_else(malformed)?;
            if name == "seed" {
                plan.seed = value.parse().map_err(|_| malformed())?;
                continue;
            }
            let number: f64 = value.parse().map_err(|_| malformed())?;
            match name {
                "step_from" => plan.step.from = number,
                "step_by" => plan.step.by = number,
                _ => {
                    let probability =
                        plan.probability(name).ok_or_else(|| PlanError::UnknownName(name.to_owned()))?;
                    if !(0.0..=1.0).contains(&number) {
                        return Err(PlanError::OutOfRange(name.to_owned()));
                    }
                    *probability = number;
                }
            }
        }
        Ok(plan)
    }
}

impl fmt::Display for Plan {
    /// Writes the form that `from_str` parses.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "seed={},short={},interrupt={}", self.seed, self.short, self.interrupt)?;
        write!(f, ",accept={},socket={},connect={}", self.accept, self.socket, self.connect)?;
        write!(f, ",open={},unreachable={}", self.open, self.unreachable)?;
        write!(f, ",step_from={},step_by={}", self.step.from, self.step.by)
    }
}

impl Plan {
    /// The probability with this name, so that it can be set; `None` if there is no such fault.
    fn probability(&mut self, name: &str) -> Option<&mut f64> {
        match name {
            "short" => Some(&mut self.short),
            "interrupt" => Some(&mut self.interrupt),
            "accept" => Some(&mut self.accept),
            "socket" => Some(&mut self.socket),
            "connect" => Some(&mut self.connect),
            "open" => Some(&mut self.open),
            "unreachable" => Some(&mut self.unreachable),
            _ => None,
        }
    }
}
