//! Handling of the control socket in the event loop: requests of operators and of a successor.

use super::accept::ACCEPT_RETRY_SECONDS;
use super::{EventLoop, SuccessorState};
use crate::control::protocol::{self, Request};
use crate::control::socket::ControlSocket;
use crate::lifecycle::stages::{Stage, StageEvent};
use crate::reducer::Event;
use log::{info, warn};
use std::io;
use std::os::fd::AsFd;

/// The error text for a request that the stage does not allow.
fn not_possible_in(stage: Stage) -> String {
    format!("not possible while the process is {}", stage.name())
}

impl EventLoop {
    /// Opens the control socket.
    ///
    /// # Errors
    ///
    /// The socket can't be opened, or another process serves it.
    pub fn open_control_socket(&mut self, path: &std::path::Path) -> io::Result<()> {
        self.control_socket = Some(ControlSocket::open(path, self.poll.registry())?);
        Ok(())
    }

    /// Accepts connections to the control socket. If that fails, it is tried again a little later.
    pub(super) fn accept_control_connections(&mut self, now: f64) {
        let Some(socket) = &mut self.control_socket else { return };
        let all_accepted = socket.accept(self.poll.registry());
        self.control_accept_at = (!all_accepted).then_some(now + ACCEPT_RETRY_SECONDS);
    }

    /// Handles readiness of the control socket: the listener if `connection` is none, otherwise the connection in that
    /// slot.
    pub(super) fn control_socket_ready(&mut self, now: f64, connection: Option<usize>) {
        let Some(socket) = &mut self.control_socket else { return };
        let Some(slot) = connection else { return self.accept_control_connections(now) };
        socket.flush(slot);
        for line in socket.read_lines(slot) {
            let outcome = match protocol::parse_request(&line) {
                Ok(Request::TakeOver) => match self.send_handover(now, slot) {
                    Ok(()) => continue,
                    Err(fault) => Err(fault),
                },
                Ok(Request::TakenOver(seconds)) => self.retire(now, slot, seconds),
                Ok(Request::Stop) => self.stop_with_successor(now, slot),
                Ok(request) => self.handle_request(now, request),
                Err(fault) => Err(fault),
            };
            if let Some(socket) = &mut self.control_socket {
                socket.send_response(slot, &protocol::format_response(outcome));
            }
        }
        let closed = !self.control_socket.as_ref().is_some_and(|socket| socket.is_open(slot));
        if closed && self.successor_state == SuccessorState::Offered(slot) {
            // The successor failed or was killed. Nothing has changed in this process.
            warn!("the successor disconnected before it took over; this process serves on");
        }
        if closed
            && matches!(self.successor_state, SuccessorState::Offered(at) | SuccessorState::TookOver(at) if at == slot)
        {
            self.successor_state = SuccessorState::None;
        }
        self.reap_started_successor();
    }

    /// Whether a handover to another process is in progress.
    fn is_handing_over(&self) -> bool {
        matches!(self.successor_state, SuccessorState::Offered(_)) || self.started_successor.is_some()
    }

    /// Reaps the successor started by this process if it has ended.
    fn reap_started_successor(&mut self) {
        if let Some(child) = &mut self.started_successor {
            if !matches!(child.try_wait(), Ok(None)) {
                self.started_successor = None;
            }
        }
    }

    /// Sends the listening socket and the learned state to a successor. Both processes accept clients until the
    /// successor reports that it has taken over, or closes its connection.
    fn send_handover(&mut self, now: f64, slot: usize) -> Result<(), String> {
        let stage = self.stages.stage();
        if !matches!(stage, Stage::Ready | Stage::Waiting | Stage::Draining) {
            return Err(not_possible_in(stage));
        }
        if self.successor_state != SuccessorState::None {
            return Err("a handover to another process is in progress".to_owned());
        }
        let (Some(listener), Some(socket)) = (&self.listener, &mut self.control_socket) else {
            return Err("there is no listening socket to hand over".to_owned());
        };
        let response =
            protocol::format_response(Ok(serde_json::json!({"handed": self.reducer.export_state(now)})));
        socket
            .send_response_with_descriptor(slot, &response, listener.as_fd())
            .map_err(|e| format!("the listening socket can't be handed over: {e}"))?;
        socket.flush(slot);
        self.successor_state = SuccessorState::Offered(slot);
        info!("the listening socket is handed over");
        Ok(())
    }

    /// Retires this process, as the successor serves: closes the listening socket and moves the clients away over this
    /// time in seconds.
    fn retire(&mut self, now: f64, slot: usize, seconds: Option<f64>) -> Result<serde_json::Value, String> {
        if self.successor_state != SuccessorState::Offered(slot) {
            return Err("only the process that received the listening socket can take over".to_owned());
        }
        // A supervisor that stops the service while a successor starts has signalled only this process. A successor
        // that took over would keep running, and no supervisor would stop it.
        let stage = self.stages.stage();
        if stage == Stage::Stopping {
            return Err(not_possible_in(stage));
        }
        self.successor_state = SuccessorState::TookOver(slot);
        if let Some(mut listener) = self.listener.take() {
            // The listener is closed at the end of this block, even if it can't be deregistered.
            let _ = self.poll.registry().deregister(&mut listener);
        }
        if let Some(socket) = &mut self.control_socket {
            socket.close_listener(self.poll.registry());
        }
        self.handle_stage_event(now, StageEvent::SuccessorTookOver);
        let spread = seconds.unwrap_or_else(|| self.reducer.default_drain_spread());
        self.dispatch(now, Event::Retire(spread), &[]);
        Ok(serde_json::json!({"stage": self.stages.stage().name()}))
    }

    /// Stops this process because its successor stops, within the same time.
    fn stop_with_successor(&mut self, now: f64, slot: usize) -> Result<serde_json::Value, String> {
        if self.successor_state != SuccessorState::TookOver(slot) {
            return Err("only the successor that has taken over can stop this process".to_owned());
        }
        self.handle_stage_event(now, StageEvent::StopRequested);
        Ok(serde_json::json!({"stage": self.stages.stage().name()}))
    }

    /// Carries out a request of an operator and returns the response.
    fn handle_request(&mut self, now: f64, request: Request) -> Result<serde_json::Value, String> {
        let stage = self.stages.stage();
        match request {
            Request::Status => {}
            Request::Connections => return Ok(self.reducer.connections()),
            Request::Drain(seconds) => {
                if !matches!(stage, Stage::Ready | Stage::Waiting) {
                    return Err(not_possible_in(stage));
                }
                self.handle_stage_event(now, StageEvent::DrainRequested);
                let spread = seconds.unwrap_or_else(|| self.reducer.default_drain_spread());
                self.dispatch(now, Event::Drain(spread), &[]);
            }
            Request::Undrain => {
                if stage != Stage::Draining {
                    return Err(not_possible_in(stage));
                }
                self.handle_stage_event(now, StageEvent::UndrainRequested);
            }
            Request::Reload => self.handle_stage_event(now, StageEvent::ReloadRequested),
            Request::Handover(program) => {
                self.reap_started_successor();
                if self.is_handing_over() {
                    return Err("a handover to another process is in progress".to_owned());
                }
                if !matches!(stage, Stage::Ready | Stage::Waiting | Stage::Draining) {
                    return Err(not_possible_in(stage));
                }
                let start = self.start_successor.as_mut().ok_or("this process can't start a successor")?;
                let child = start(program.as_deref())?;
                info!(process = child.id(); "a successor is started");
                self.started_successor = Some(child);
            }
            // Handled by the caller, as they depend on the connection.
            Request::TakeOver | Request::TakenOver(_) | Request::Stop => {}
        }
        let mut status = self.reducer.status(now);
        status["stage"] = self.stages.stage().name().into();
        status["build"] = env!("CARGO_PKG_VERSION").into();
        status["process"] = std::process::id().into();
        status["handing_over"] = self.is_handing_over().into();
        Ok(status)
    }
}
