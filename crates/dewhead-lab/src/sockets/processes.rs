//! The proxies' processes: starting them, sending signals, handing over, and noticing that they have exited. A proxy
//! can have several processes at a time, one that serves and others that retire.

use super::{with_context, Listener, SocketHost, Target};
use dewhead_faults::plan;
use dewhead_world::settings::proxy_configuration;
use rustix::process::{kill_process, Pid, Signal};
use serde_json::Value;
use std::fs::File;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};

/// The serving process of a proxy.
pub(super) struct Process {
    pub(super) child: Child,
    /// Whether the world has been notified that the process listens.
    pub(super) listening: bool,
}

fn send_signal(child: &Child, signal: Signal) {
    if let Some(pid) = Pid::from_raw(child.id() as i32) {
        // Fails if the process has just exited, which `check_processes` finds.
        let _ = kill_process(pid, signal);
    }
}

impl SocketHost {
    /// Signals the serving process of a proxy.
    pub(super) fn signal_serving(&self, p: usize, signal: Signal) {
        if let Some(process) = &self.processes[p] {
            send_signal(&process.child, signal);
        }
    }

    /// Signals all processes of a proxy.
    pub(super) fn signal_all(&self, p: usize, signal: Signal) {
        self.signal_serving(p, signal);
        self.retired
            .iter()
            .filter(|(proxy, _)| *proxy == p)
            .for_each(|(_, child)| send_signal(child, signal));
    }

    /// Kills all processes of a proxy.
    pub(super) fn kill_all(&mut self, p: usize) -> Result<(), String> {
        let serving = self.processes[p].take().map(|process| process.child);
        let retiring = self.retired.extract_if(.., |(proxy, _)| *proxy == p).map(|(_, child)| child);
        let mut children: Vec<Child> = serving.into_iter().chain(retiring).collect();
        for child in &mut children {
            // Fails if the process has already exited.
            let _ = child.kill();
        }
        for child in &mut children {
            child.wait().map_err(|e| with_context("a proxy's process", e))?;
        }
        if !children.is_empty() {
            self.on_all_exited(p);
        }
        Ok(())
    }

    /// Starts a process that takes over from the serving one.
    pub(super) fn hand_over(&mut self, p: usize, leave_in: f64) -> Result<(), String> {
        if !self.processes[p].as_ref().is_some_and(|process| process.listening) {
            return Ok(());
        }
        let config = self.folder.join(format!("proxy-{p}.json"));
        let (control, leave_in) = (self.control_path(p), leave_in.to_string());
        let child = self.spawn(p, &config, &["--take-over", &control, "--leave-in", &leave_in])?;
        let old = self.processes[p].replace(Process { child, listening: true });
        self.retired.extend(old.map(|old| (p, old.child)));
        Ok(())
    }

    /// Writes a proxy's configuration file, replacing it atomically.
    pub(super) fn write_configuration(&self, p: usize) -> Result<PathBuf, String> {
        let path = self.folder.join(format!("proxy-{p}.json"));
        let next = self.folder.join(format!("proxy-{p}.next"));
        let io_error = |e| with_context(&path.display().to_string(), e);
        std::fs::write(&next, self.configurations[p].to_string()).map_err(io_error)?;
        std::fs::rename(&next, &path).map_err(io_error)?;
        Ok(path)
    }

    /// The path of a proxy's control socket.
    fn control_path(&self, p: usize) -> String {
        self.folder.join(format!("control-{p}")).display().to_string()
    }

    /// Starts the proxy's binary with this configuration and these further arguments.
    fn spawn(&self, p: usize, config: &Path, arguments: &[&str]) -> Result<Child, String> {
        let log = match &self.options.log_dir {
            Some(dir) => {
                let file = File::options().create(true).append(true).open(dir.join(format!("proxy-{p}.log")));
                Stdio::from(file.map_err(|e| with_context(&dir.display().to_string(), e))?)
            }
            None => Stdio::null(),
        };
        let mut command = Command::new(&self.options.proxy_binary);
        command.args(["serve", "--config"]).arg(config).args(arguments);
        if let Some(faults) = &self.options.faults {
            command
                .env("LD_PRELOAD", &faults.library)
                .env(plan::ENVIRONMENT_VARIABLE, faults.plan.to_string());
        }
        command
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .map_err(|e| with_context(&self.options.proxy_binary.display().to_string(), e))
    }

    /// Starts a proxy, unless it has a serving process.
    pub(super) fn start(&mut self, p: usize, stored_list: Value) -> Result<(), String> {
        if self.processes[p].is_some() {
            return Ok(());
        }
        let is_discovery = |l: &&Listener| l.proxy == p && matches!(l.target, Target::Agent(_));
        let discovery =
            self.listeners.iter().map(|(_, l)| l).find(is_discovery).map(|l| l.address.to_string());
        let (listen, discovery) = (self.addresses[p].to_string(), discovery.unwrap_or_default());
        let seed = self.world.proxy_seed(p);
        self.configurations[p] =
            proxy_configuration(&self.world.experiment, p, &listen, &discovery, seed, stored_list);
        // Earlier builds of the proxy ignore this field.
        self.configurations[p]["control"] = Value::String(self.control_path(p));
        let path = self.write_configuration(p)?;
        let child = self.spawn(p, &path, &[])?;
        self.processes[p] = Some(Process { child, listening: false });
        Ok(())
    }

    /// Notices processes that have exited or have started to listen.
    pub(super) fn check_processes(&mut self, now: f64) -> Result<(), String> {
        for p in 0..self.processes.len() {
            let Some(process) = &mut self.processes[p] else { continue };
            let exited = process.child.try_wait().map_err(|e| with_context("a proxy's process", e))?;
            if let Some(status) = exited {
                if !process.listening && !status.success() {
                    return Err(format!(
                        "proxy {p} exited during its start with {status}; --logs DIR keeps its log"
                    ));
                }
                self.record_exit(now, p, status);
                self.on_serving_exited(p);
            } else if !process.listening && std::net::TcpStream::connect(self.addresses[p]).is_ok() {
                process.listening = true;
                self.world.on_listening(now, p);
            }
        }
        // A process whose state can't be read is kept and checked again.
        let mut exited = Vec::new();
        self.retired.retain_mut(|(p, child)| match child.try_wait() {
            Ok(Some(status)) => {
                exited.push((*p, status));
                false
            }
            Ok(None) | Err(_) => true,
        });
        for (p, status) in exited {
            self.record_exit(now, p, status);
            if self.processes[p].is_none() && !self.is_retiring(p) {
                self.on_all_exited(p);
            }
        }
        self.apply_effects()
    }

    /// Records a process that has exited by itself with an error or by a signal.
    fn record_exit(&mut self, now: f64, p: usize, status: ExitStatus) {
        if !status.success() {
            self.crashes.push(format!("proxy {p}: a process ended at {now:.3} s with {status}"));
        }
    }

    /// Whether a proxy has a process that retires.
    fn is_retiring(&self, p: usize) -> bool {
        self.retired.iter().any(|(proxy, _)| *proxy == p)
    }

    /// The serving process has exited by itself. If others still retire, their connections stay open, and the kernel
    /// closes those of the exited process one by one.
    fn on_serving_exited(&mut self, p: usize) {
        self.processes[p] = None;
        if !self.is_retiring(p) {
            return self.on_all_exited(p);
        }
        for slot in self.sockets_of(p) {
            self.read(slot);
        }
        let now = self.now();
        self.world.on_listener_closed(now, p);
    }

    /// No process of a proxy is left; the world is notified at once.
    fn on_all_exited(&mut self, p: usize) {
        // The last bytes of the processes are still in the sockets' receive buffers.
        let slots = self.sockets_of(p);
        for slot in &slots {
            self.read(*slot);
        }
        let now = self.now();
        self.world.on_exit(now, p);
        for slot in slots {
            if self.sockets.contains(slot) {
                self.remove_socket(slot);
            }
        }
    }

    /// The slots of the sockets that are connected to a proxy.
    fn sockets_of(&self, p: usize) -> Vec<usize> {
        let connected = self.sockets.iter().filter(|(_, s)| self.world.proxy_of(s.link) == Some(p));
        connected.map(|(slot, _)| slot).collect()
    }
}
