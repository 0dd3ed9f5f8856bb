//! Asking a running proxy, for `dewhead ctl`.

use super::words;
use rustix::net::{recvmsg, RecvAncillaryBuffer, RecvAncillaryMessage, RecvFlags};
use serde_json::Value;
use std::io::{BufRead, BufReader, IoSliceMut, Write};
use std::os::unix::net::UnixStream;
use std::path::{Path, PathBuf};
use std::time::Duration;

/// A proxy that says nothing for so long is not waited for.
const PATIENCE: Duration = Duration::from_secs(5);

/// Asks, and returns the answer; a fault that the proxy tells is an error.
pub fn ask(
    socket: &Path,
    action: &str,
    seconds: Option<f64>,
    program: Option<&str>,
) -> Result<Value, String> {
    let fault = |e: std::io::Error| format!("{}: {e}", socket.display());
    let mut stream = UnixStream::connect(socket).map_err(fault)?;
    stream.set_read_timeout(Some(PATIENCE)).map_err(fault)?;
    stream.set_write_timeout(Some(PATIENCE)).map_err(fault)?;
    stream.write_all(words::line(action, seconds, program).as_bytes()).map_err(fault)?;
    let mut line = String::new();
    BufReader::new(stream).read_line(&mut line).map_err(fault)?;
    understood(socket, &line)
}

/// An answer that says well; a fault that the proxy tells is an error.
fn understood(socket: &Path, line: &str) -> Result<Value, String> {
    let answer: Value = serde_json::from_str(line)
        .map_err(|_| format!("{}: the answer is not understood: '{}'", socket.display(), line.trim_end()))?;
    match answer["version"].as_u64() {
        Some(words::VERSION) => {}
        _ => return Err(format!("{}: it speaks another version", socket.display())),
    }
    if answer["ok"] != true {
        return Err(answer["fault"].as_str().unwrap_or("refused, without a reason").to_owned());
    }
    Ok(answer)
}

/// The running process's side of a succession: the listening socket and what it has learned are had, and it serves on
/// until it is told `succeeded`. Dropped before that, nothing has changed.
pub struct Predecessor {
    stream: BufReader<UnixStream>,
    socket: PathBuf,
    pub listener: std::net::TcpListener,
    pub handed: Value,
}

/// The most that is read of what was learned.
const MOST_HANDED: usize = 64 << 20;

impl Predecessor {
    /// Asks the process at this control socket for its listening socket.
    pub fn ask(socket: &Path) -> Result<Predecessor, String> {
        let fault = |e: std::io::Error| format!("{}: {e}", socket.display());
        let mut stream = UnixStream::connect(socket).map_err(fault)?;
        stream.set_read_timeout(Some(PATIENCE)).map_err(fault)?;
        stream.write_all(words::line("succeed", None, None).as_bytes()).map_err(fault)?;
        let mut listener = None;
        let mut said: Vec<u8> = Vec::new();
        let mut some = vec![0; 64 << 10];
        while !said.contains(&b'\n') {
            let mut space = [std::mem::MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(1))];
            let mut control = RecvAncillaryBuffer::new(&mut space);
            let mut parts = [IoSliceMut::new(&mut some)];
            let got = recvmsg(&stream, &mut parts, &mut control, RecvFlags::CMSG_CLOEXEC);
            let got = got.map_err(|e| fault(e.into()))?.bytes;
            for message in control.drain() {
                if let RecvAncillaryMessage::ScmRights(sockets) = message {
                    listener = sockets.map(std::net::TcpListener::from).last().or(listener);
                }
            }
            if got == 0 || said.len() > MOST_HANDED {
                return Err(format!("{}: it hung up before it had handed on all", socket.display()));
            }
            said.extend_from_slice(&some[..got]);
        }
        let answer = understood(socket, String::from_utf8_lossy(&said).trim_end())?;
        let listener = listener.ok_or_else(|| format!("{}: it handed on no socket", socket.display()))?;
        let (stream, socket) = (BufReader::new(stream), socket.to_owned());
        Ok(Predecessor { stream, socket, listener, handed: answer["handed"].clone() })
    }

    /// Tells it that its place is taken; once that is answered it accepts no more.
    pub fn succeeded(mut self, seconds: Option<f64>) -> Result<std::net::TcpListener, String> {
        let fault = |e: std::io::Error| format!("{}: {e}", self.socket.display());
        self.stream.get_mut().write_all(words::line("succeeded", seconds, None).as_bytes()).map_err(fault)?;
        let mut line = String::new();
        self.stream.read_line(&mut line).map_err(fault)?;
        understood(&self.socket, &line)?;
        Ok(self.listener)
    }
}

/// An answer for people: a field a line, lists as tables.
pub fn plainly(answer: &Value) -> String {
    let mut text = String::new();
    for (name, value) in answer.as_object().into_iter().flatten() {
        match value {
            _ if name == "ok" || name == "version" => {}
            Value::Array(rows) => {
                text += &format!("{name}:\n");
                for row in rows {
                    let cells =
                        row.as_object().into_iter().flatten().map(|(n, v)| format!("{n} {}", bare(v)));
                    text += &format!("  {}\n", cells.collect::<Vec<_>>().join("  "));
                }
            }
            value => text += &format!("{name}: {}\n", bare(value)),
        }
    }
    text
}

fn bare(value: &Value) -> String {
    value.as_str().map_or_else(|| value.to_string(), str::to_owned)
}
