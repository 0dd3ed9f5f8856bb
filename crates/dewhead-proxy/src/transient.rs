//! Transient errors of system calls: the machine is short of a resource, or a signal interrupted the call.

use rustix::io::Errno;
use std::io;
use std::time::Duration;

/// How long `retry_transient` waits between attempts, and how many it makes.
const RETRY_PAUSE: Duration = Duration::from_millis(20);
const MAX_ATTEMPTS: u32 = 50;

/// Whether the error is due to a shortage of resources on this machine, or to a signal, and not to the file, socket or
/// address that the call is about.
pub fn is_transient(error: &io::Error) -> bool {
    let errno = error.raw_os_error().map(Errno::from_raw_os_error);
    matches!(
        errno,
        Some(
            Errno::INTR
                | Errno::AGAIN
                | Errno::MFILE
                | Errno::NFILE
                | Errno::NOBUFS
                | Errno::NOMEM
                | Errno::ADDRNOTAVAIL
        )
    )
}

/// Whether a file or an address may become available shortly: another process is about to release it, or a disk error
/// occurred once.
fn is_retryable(error: &io::Error) -> bool {
    let errno = error.raw_os_error().map(Errno::from_raw_os_error);
    is_transient(error) || matches!(errno, Some(Errno::IO | Errno::ADDRINUSE))
}

/// Makes a call that the process can't start without, and retries it for up to a second while its error may be
/// temporary. Blocks.
///
/// # Errors
///
/// That of the last attempt.
pub fn retry_transient<T>(mut call: impl FnMut() -> io::Result<T>) -> io::Result<T> {
    for _ in 1..MAX_ATTEMPTS {
        match call() {
            Err(error) if is_retryable(&error) => std::thread::sleep(RETRY_PAUSE),
            other => return other,
        }
    }
    call()
}
