//! The control socket's part of the loop: what operators and a successor ask for.

use super::accept::ACCEPT_PAUSE;
use super::{EventLoop, Succession};
use crate::control::protocol::{self, Request};
use crate::control::socket::ControlSocket;
use crate::lifecycle::stages::{Stage, StageEvent};
use crate::reducer::Event;
use log::{info, warn};
use std::io;
use std::os::fd::AsFd;

fn refused(stage: Stage) -> String {
    format!("not while the process is {}", stage.name())
}

impl EventLoop {
    /// Opens the control socket.
    pub fn open_control_socket(&mut self, path: &std::path::Path) -> io::Result<()> {
        self.control_socket = Some(ControlSocket::open(path, self.poll.registry())?);
        Ok(())
    }

    /// Takes in who waits at the control socket; looks again a little later where that fails.
    pub(super) fn let_in(&mut self, now: f64) {
        let Some(socket) = &mut self.control_socket else { return };
        let all_in = socket.accept(self.poll.registry());
        self.let_in_from = (!all_in).then_some(now + ACCEPT_PAUSE);
    }

    /// Somebody is at the control socket.
    pub(super) fn visited(&mut self, now: f64, whose: Option<usize>) {
        let Some(socket) = &mut self.control_socket else { return };
        let Some(place) = whose else { return self.let_in(now) };
        socket.flush(place);
        for line in socket.read_lines(place) {
            let outcome = match protocol::parse_request(&line) {
                Ok(Request::TakeOver) => match self.hand_on(now, place) {
                    Ok(()) => continue,
                    Err(fault) => Err(fault),
                },
                Ok(Request::TakenOver(seconds)) => self.retire(now, place, seconds),
                Ok(Request::Stop) => self.stop_with_successor(now, place),
                Ok(request) => self.asked(now, request),
                Err(fault) => Err(fault),
            };
            if let Some(socket) = &mut self.control_socket {
                socket.send_response(place, &protocol::format_response(outcome));
            }
        }
        let left = !self.control_socket.as_ref().is_some_and(|socket| socket.is_open(place));
        if left && self.succession == Succession::Offered(place) {
            // It died, or could not start: nothing has changed here.
            warn!("the process that was to take this one's place has gone; serving on");
        }
        if left && matches!(self.succession, Succession::Offered(at) | Succession::Taken(at) if at == place) {
            self.succession = Succession::None;
        }
        self.reap();
    }

    /// Whether another process is about to take this one's place.
    fn is_handing_over(&self) -> bool {
        matches!(self.succession, Succession::Offered(_)) || self.child.is_some()
    }

    /// A process that was started here and has ended leaves nothing behind.
    fn reap(&mut self) {
        if let Some(child) = &mut self.child {
            if !matches!(child.try_wait(), Ok(None)) {
                self.child = None;
            }
        }
    }

    /// Gives a successor the listening socket and what was learned. Both accept from then on, until it says that it has
    /// taken the place, or goes.
    fn hand_on(&mut self, now: f64, place: usize) -> Result<(), String> {
        let stage = self.life.stage();
        if !matches!(stage, Stage::Ready | Stage::Waiting | Stage::Draining) {
            return Err(refused(stage));
        }
        if self.succession != Succession::None {
            return Err("another process is about to take this one's place".to_owned());
        }
        let (Some(listener), Some(socket)) = (&self.listener, &mut self.control_socket) else {
            return Err("there is no listening socket to hand on".to_owned());
        };
        let answer =
            protocol::format_response(Ok(serde_json::json!({"handed": self.reducer.export_state(now)})));
        socket
            .send_response_with_descriptor(place, &answer, listener.as_fd())
            .map_err(|e| format!("the socket can't be handed on: {e}"))?;
        socket.flush(place);
        self.succession = Succession::Offered(place);
        info!("the listening socket is handed on");
        Ok(())
    }

    /// The successor serves: this process accepts no more, and its clients leave over so many seconds.
    fn retire(&mut self, now: f64, place: usize, seconds: Option<f64>) -> Result<serde_json::Value, String> {
        if self.succession != Succession::Offered(place) {
            return Err("only who was given the listening socket can take the place".to_owned());
        }
        // A supervisor that stops the service while a successor gets ready has told this process alone: a successor
        // that served would be left running with nobody to stop it.
        let stage = self.life.stage();
        if stage == Stage::Stopping {
            return Err(refused(stage));
        }
        self.succession = Succession::Taken(place);
        if let Some(mut listener) = self.listener.take() {
            // Dropped in the next moment, whether the poll lets it go or not.
            let _ = self.poll.registry().deregister(&mut listener);
        }
        if let Some(socket) = &mut self.control_socket {
            socket.close_listener(self.poll.registry());
        }
        self.live(now, StageEvent::SuccessorTookOver);
        let spread = seconds.unwrap_or_else(|| self.reducer.default_drain_spread());
        self.tell(now, Event::Retire(spread), &[]);
        Ok(serde_json::json!({"stage": self.life.stage().name()}))
    }

    /// The process that has taken the place was told to stop: so is this one, and in the same time.
    fn stop_with_successor(&mut self, now: f64, place: usize) -> Result<serde_json::Value, String> {
        if self.succession != Succession::Taken(place) {
            return Err("only the process that has taken the place can stop this one".to_owned());
        }
        self.live(now, StageEvent::StopRequested);
        Ok(serde_json::json!({"stage": self.life.stage().name()}))
    }

    fn asked(&mut self, now: f64, request: Request) -> Result<serde_json::Value, String> {
        let stage = self.life.stage();
        match request {
            Request::Status => {}
            Request::Connections => return Ok(self.reducer.connections()),
            Request::Drain(seconds) => {
                if !matches!(stage, Stage::Ready | Stage::Waiting) {
                    return Err(refused(stage));
                }
                self.live(now, StageEvent::DrainRequested);
                let spread = seconds.unwrap_or_else(|| self.reducer.default_drain_spread());
                self.tell(now, Event::Drain(spread), &[]);
            }
            Request::Undrain => {
                if stage != Stage::Draining {
                    return Err(refused(stage));
                }
                self.live(now, StageEvent::UndrainRequested);
            }
            Request::Reload => self.live(now, StageEvent::ReloadRequested),
            Request::Handover(program) => {
                self.reap();
                if self.is_handing_over() {
                    return Err("another process is about to take this one's place".to_owned());
                }
                if !matches!(stage, Stage::Ready | Stage::Waiting | Stage::Draining) {
                    return Err(refused(stage));
                }
                let starts = self.start_successor.as_mut().ok_or("no process can be started here")?;
                let child = starts(program.as_deref())?;
                info!(process = child.id(); "a process is started to take this one's place");
                self.child = Some(child);
            }
            // Answered where the visitor is known.
            Request::TakeOver | Request::TakenOver(_) | Request::Stop => {}
        }
        let mut status = self.reducer.status(now);
        status["stage"] = self.life.stage().name().into();
        status["build"] = env!("CARGO_PKG_VERSION").into();
        status["process"] = std::process::id().into();
        status["handing_over"] = self.is_handing_over().into();
        Ok(status)
    }
}
