//! The proxies' processes: started, signalled, handed over, and noticed when they end. A proxy may have several at a time,
//! one that serves and others that retire.

use super::{told, Listener, SocketHost, Target};
use dewhead_faults::plan;
use dewhead_world::settings::proxy_configuration;
use rustix::process::{kill_process, Pid, Signal};
use serde_json::Value;
use std::fs::File;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};

/// A process that serves.
pub(super) struct Process {
    pub(super) child: Child,
    /// Whether the world has been told that it listens.
    pub(super) ready: bool,
}

fn send(child: &Child, signal: Signal) {
    if let Some(pid) = Pid::from_raw(child.id() as i32) {
        // One that has just ended is found by `look_at_processes`.
        let _ = kill_process(pid, signal);
    }
}

impl SocketHost {
    /// Signals the process that serves.
    pub(super) fn signal(&self, p: usize, signal: Signal) {
        if let Some(process) = &self.processes[p] {
            send(&process.child, signal);
        }
    }

    /// Signals all processes of a proxy.
    pub(super) fn signal_all(&self, p: usize, signal: Signal) {
        self.signal(p, signal);
        self.retired.iter().filter(|(of, _)| *of == p).for_each(|(_, child)| send(child, signal));
    }

    /// Kills all processes of a proxy.
    pub(super) fn kill_all(&mut self, p: usize) -> Result<(), String> {
        let serving = self.processes[p].take().map(|process| process.child);
        let retiring = self.retired.extract_if(.., |(of, _)| *of == p).map(|(_, child)| child);
        let mut children: Vec<Child> = serving.into_iter().chain(retiring).collect();
        for child in &mut children {
            // One that has ended by itself needs no signal.
            let _ = child.kill();
        }
        for child in &mut children {
            child.wait().map_err(|e| told("a proxy's process", e))?;
        }
        if !children.is_empty() {
            self.lose_all(p);
        }
        Ok(())
    }

    /// Starts a process that takes the place of the one that serves.
    pub(super) fn hand_over(&mut self, p: usize, leave_in: f64) -> Result<(), String> {
        if !self.processes[p].as_ref().is_some_and(|one| one.ready) {
            return Ok(());
        }
        let config = self.folder.join(format!("proxy-{p}.json"));
        let (control, leave_in) = (self.control(p), leave_in.to_string());
        let child = self.spawn(p, &config, &["--take-over", &control, "--leave-in", &leave_in])?;
        let old = self.processes[p].replace(Process { child, ready: true });
        self.retired.extend(old.map(|old| (p, old.child)));
        Ok(())
    }

    pub(super) fn write_configuration(&self, p: usize) -> Result<PathBuf, String> {
        let path = self.folder.join(format!("proxy-{p}.json"));
        let next = self.folder.join(format!("proxy-{p}.next"));
        let fault = |e| told(&path.display().to_string(), e);
        std::fs::write(&next, self.configured[p].to_string()).map_err(fault)?;
        std::fs::rename(&next, &path).map_err(fault)?;
        Ok(path)
    }

    fn control(&self, p: usize) -> String {
        self.folder.join(format!("control-{p}")).display().to_string()
    }

    fn spawn(&self, p: usize, config: &Path, more: &[&str]) -> Result<Child, String> {
        let log = match &self.programs.log_dir {
            Some(dir) => {
                let file = File::options().create(true).append(true).open(dir.join(format!("proxy-{p}.log")));
                Stdio::from(file.map_err(|e| told(&dir.display().to_string(), e))?)
            }
            None => Stdio::null(),
        };
        let mut command = Command::new(&self.programs.proxy_binary);
        command.args(["serve", "--config"]).arg(config).args(more);
        if let Some(faults) = &self.programs.faults {
            command.env("LD_PRELOAD", &faults.library).env(plan::VARIABLE, faults.plan.to_string());
        }
        command
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .map_err(|e| told(&self.programs.proxy_binary.display().to_string(), e))
    }

    pub(super) fn start(&mut self, p: usize, known: Value) -> Result<(), String> {
        if self.processes[p].is_some() {
            return Ok(());
        }
        let mine = |l: &&Listener| l.proxy == p && matches!(l.target, Target::Agent(_));
        let discovery = self.listeners.iter().map(|(_, l)| l).find(mine).map(|l| l.address.to_string());
        let (listen, discovery) = (self.addresses[p].to_string(), discovery.unwrap_or_default());
        let seed = self.world.proxy_seed(p);
        self.configured[p] = proxy_configuration(&self.world.experiment, p, &listen, &discovery, seed, known);
        // Earlier builds know no such field, and pass it over.
        self.configured[p]["control"] = Value::String(self.control(p));
        let path = self.write_configuration(p)?;
        let child = self.spawn(p, &path, &[])?;
        self.processes[p] = Some(Process { child, ready: false });
        Ok(())
    }

    pub(super) fn look_at_processes(&mut self, now: f64) -> Result<(), String> {
        for p in 0..self.processes.len() {
            let Some(process) = &mut self.processes[p] else { continue };
            let ended = process.child.try_wait().map_err(|e| told("a proxy's process", e))?;
            if let Some(status) = ended {
                if !process.ready && !status.success() {
                    return Err(format!(
                        "proxy {p} ended at its start with {status}; --logs DIR keeps what it says"
                    ));
                }
                self.note_end(now, p, status);
                self.lose_process(p);
            } else if !process.ready && std::net::TcpStream::connect(self.addresses[p]).is_ok() {
                process.ready = true;
                self.world.on_listening(now, p);
            }
        }
        // One whose end can't be asked for is kept, and asked again.
        let mut ended = Vec::new();
        self.retired.retain_mut(|(p, child)| match child.try_wait() {
            Ok(Some(status)) => {
                ended.push((*p, status));
                false
            }
            Ok(None) | Err(_) => true,
        });
        for (p, status) in ended {
            self.note_end(now, p, status);
            if self.processes[p].is_none() && !self.is_retiring(p) {
                self.lose_all(p);
            }
        }
        self.carry_out()
    }

    /// A process that ends by itself ends well.
    fn note_end(&mut self, now: f64, p: usize, status: ExitStatus) {
        if !status.success() {
            self.crashes.push(format!("proxy {p}: a process ended at {now:.3} s with {status}"));
        }
    }

    fn is_retiring(&self, p: usize) -> bool {
        self.retired.iter().any(|(of, _)| *of == p)
    }

    /// The process that serves has ended by itself. What the kernel does to its connections is seen on each, as those of
    /// one that retires stand on.
    fn lose_process(&mut self, p: usize) {
        self.processes[p] = None;
        if !self.is_retiring(p) {
            return self.lose_all(p);
        }
        for slot in self.slots_of(p) {
            self.read(slot);
        }
        let now = self.now();
        self.world.on_listener_closed(now, p);
    }

    /// No process of a proxy is left; the world is told at once.
    fn lose_all(&mut self, p: usize) {
        // What they said last is still in our sockets.
        let slots = self.slots_of(p);
        for slot in &slots {
            self.read(*slot);
        }
        let now = self.now();
        self.world.on_exit(now, p);
        for slot in slots {
            if self.sockets.contains(slot) {
                self.drop_socket(slot);
            }
        }
    }

    fn slots_of(&self, p: usize) -> Vec<usize> {
        let its = self.sockets.iter().filter(|(_, s)| self.world.proxy_of(s.link) == Some(p));
        its.map(|(slot, _)| slot).collect()
    }
}
