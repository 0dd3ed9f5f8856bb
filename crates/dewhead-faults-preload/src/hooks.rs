//! The system call wrappers that this library puts before the C library's own.
//!
//! # Safety
//!
//! Each function has the signature and the contract of the wrapper it replaces, and passes its arguments on unchanged or
//! with a shorter length.

#![allow(clippy::missing_safety_doc)]

use dewhead_faults::plan::{Plan, ENVIRONMENT_VARIABLE};
use libc::{c_char, c_int, c_void, iovec, mode_t, size_t, sockaddr, socklen_t, ssize_t, timespec};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::OnceLock;

/// Errors of `accept` that say nothing of the listening socket: the caller is to try again.
const ACCEPT_ERRORS: &[c_int] = &[
    libc::EMFILE,
    libc::ENFILE,
    libc::ENOBUFS,
    libc::ENOMEM,
    libc::ECONNABORTED,
    libc::EINTR,
    libc::EPROTO,
    libc::ENETDOWN,
    libc::EHOSTUNREACH,
];
/// Errors of `socket` where the system is short of something.
const SOCKET_ERRORS: &[c_int] = &[libc::EMFILE, libc::ENFILE, libc::ENOBUFS, libc::ENOMEM];
/// Errors of `connect`, of this machine and of the network.
const CONNECT_ERRORS: &[c_int] =
    &[libc::EINTR, libc::EAGAIN, libc::EADDRNOTAVAIL, libc::ENETUNREACH, libc::EHOSTUNREACH, libc::ETIMEDOUT];
/// How a connection may end instead of by a reset: its packets were not answered, or the way there is gone.
const END_ERRORS: &[c_int] = &[libc::ETIMEDOUT, libc::EHOSTUNREACH];
const NANOSECONDS: f64 = 1e9;

fn plan() -> &'static Plan {
    static PLAN: OnceLock<Plan> = OnceLock::new();
    PLAN.get_or_init(|| {
        let told = std::env::var(ENVIRONMENT_VARIABLE).unwrap_or_default();
        // A plan that can't be read is none: whoever starts the process has parsed it already.
        told.parse().unwrap_or_default()
    })
}

/// The next random number: splitmix64 over a shared counter.
fn random() -> u64 {
    static COUNTER: AtomicU64 = AtomicU64::new(0);
    const GAMMA: u64 = 0x9e37_79b9_7f4a_7c15;
    let count = COUNTER.fetch_add(1, Ordering::Relaxed) + 1;
    let mut mixed = plan().seed.wrapping_add(count.wrapping_mul(GAMMA));
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}

fn happens(probability: f64) -> bool {
    probability > 0.0 && (random() >> 11) as f64 / (1u64 << 53) as f64 <= probability
}

fn set_error(error: c_int) {
    // SAFETY: the C library's errno is always there for the calling thread.
    unsafe { *libc::__errno_location() = error }
}

fn one_of(errors: &[c_int]) -> c_int {
    errors[random() as usize % errors.len()]
}

/// The outcome of a read or write; one on a connection that was reset may tell of another end.
fn ended_otherwise(outcome: ssize_t) -> ssize_t {
    // SAFETY: as in `set_error`.
    let was_reset = outcome < 0 && unsafe { *libc::__errno_location() } == libc::ECONNRESET;
    if was_reset && happens(plan().unreachable) {
        set_error(one_of(END_ERRORS));
    }
    outcome
}

/// Some of `length` bytes: one at the least, fewer than all of them.
fn part_of(length: usize) -> usize {
    1 + random() as usize % (length - 1)
}

/// The C library's own function of this name.
macro_rules! original {
    ($name:literal, $kind:ty) => {{
        static FOUND: OnceLock<usize> = OnceLock::new();
        // SAFETY: the name is that of a C library function with this signature.
        let found = *FOUND.get_or_init(|| unsafe {
            libc::dlsym(libc::RTLD_NEXT, concat!($name, "\0").as_ptr().cast::<c_char>()) as usize
        });
        // SAFETY: as above; the C library has it, or nothing here would have been linked.
        unsafe { std::mem::transmute::<usize, $kind>(found) }
    }};
}

type Send = unsafe extern "C" fn(c_int, *const c_void, size_t, c_int) -> ssize_t;
type Receive = unsafe extern "C" fn(c_int, *mut c_void, size_t, c_int) -> ssize_t;
type WriteVectored = unsafe extern "C" fn(c_int, *const iovec, c_int) -> ssize_t;
type Accept = unsafe extern "C" fn(c_int, *mut sockaddr, *mut socklen_t, c_int) -> c_int;
type Socket = unsafe extern "C" fn(c_int, c_int, c_int) -> c_int;
type Connect = unsafe extern "C" fn(c_int, *const sockaddr, socklen_t) -> c_int;
type Wait = unsafe extern "C" fn(c_int, *mut libc::epoll_event, c_int, c_int) -> c_int;
type Open = unsafe extern "C" fn(*const c_char, c_int, mode_t) -> c_int;
type Time = unsafe extern "C" fn(libc::clockid_t, *mut timespec) -> c_int;

#[no_mangle]
pub unsafe extern "C" fn send(fd: c_int, bytes: *const c_void, length: size_t, flags: c_int) -> ssize_t {
    if happens(plan().interrupt) {
        set_error(libc::EINTR);
        return -1;
    }
    let cut = length > 1 && happens(plan().short);
    let length = if cut { part_of(length) } else { length };
    ended_otherwise(original!("send", Send)(fd, bytes, length, flags))
}

#[no_mangle]
pub unsafe extern "C" fn recv(fd: c_int, bytes: *mut c_void, length: size_t, flags: c_int) -> ssize_t {
    if happens(plan().interrupt) {
        set_error(libc::EINTR);
        return -1;
    }
    // As lines are short, a cut of the buffer alone would cut few of them.
    const SHORT_READ: size_t = 16;
    let cut = length > SHORT_READ && happens(plan().short);
    let length = if cut { part_of(SHORT_READ) } else { length };
    ended_otherwise(original!("recv", Receive)(fd, bytes, length, flags))
}

#[no_mangle]
pub unsafe extern "C" fn writev(fd: c_int, parts: *const iovec, count: c_int) -> ssize_t {
    if happens(plan().interrupt) {
        set_error(libc::EINTR);
        return -1;
    }
    let first = if count > 0 { Some(*parts) } else { None };
    let outcome = match first.filter(|part| part.iov_len > 1 && happens(plan().short)) {
        Some(part) => {
            let cut = iovec { iov_base: part.iov_base, iov_len: part_of(part.iov_len) };
            original!("writev", WriteVectored)(fd, &cut, 1)
        }
        None => original!("writev", WriteVectored)(fd, parts, count),
    };
    ended_otherwise(outcome)
}

#[no_mangle]
pub unsafe extern "C" fn accept4(
    fd: c_int,
    address: *mut sockaddr,
    length: *mut socklen_t,
    flags: c_int,
) -> c_int {
    if happens(plan().accept) {
        set_error(one_of(ACCEPT_ERRORS));
        return -1;
    }
    original!("accept4", Accept)(fd, address, length, flags)
}

#[no_mangle]
pub unsafe extern "C" fn socket(domain: c_int, kind: c_int, protocol: c_int) -> c_int {
    if domain == libc::AF_INET && happens(plan().socket) {
        set_error(one_of(SOCKET_ERRORS));
        return -1;
    }
    original!("socket", Socket)(domain, kind, protocol)
}

#[no_mangle]
pub unsafe extern "C" fn connect(fd: c_int, address: *const sockaddr, length: socklen_t) -> c_int {
    let is_ipv4 = !address.is_null() && c_int::from((*address).sa_family) == libc::AF_INET;
    if !is_ipv4 || !happens(plan().connect) {
        return original!("connect", Connect)(fd, address, length);
    }
    let error = one_of(CONNECT_ERRORS);
    if error == libc::EINTR {
        // An interrupted connect goes on by itself.
        original!("connect", Connect)(fd, address, length);
    }
    set_error(error);
    -1
}

#[no_mangle]
pub unsafe extern "C" fn epoll_wait(
    fd: c_int,
    events: *mut libc::epoll_event,
    most: c_int,
    timeout: c_int,
) -> c_int {
    if happens(plan().interrupt) {
        set_error(libc::EINTR);
        return -1;
    }
    original!("epoll_wait", Wait)(fd, events, most, timeout)
}

/// `open64` takes its mode only where a file may be made; reading it where none was passed is harmless on Linux.
#[no_mangle]
pub unsafe extern "C" fn open64(path: *const c_char, flags: c_int, mode: mode_t) -> c_int {
    let reads = flags & libc::O_ACCMODE == libc::O_RDONLY;
    if reads && happens(plan().open) {
        set_error(libc::EIO);
        return -1;
    }
    original!("open64", Open)(path, flags, mode)
}

#[no_mangle]
pub unsafe extern "C" fn clock_gettime(clock: libc::clockid_t, now: *mut timespec) -> c_int {
    let outcome = original!("clock_gettime", Time)(clock, now);
    let step = plan().step;
    if outcome == 0 && clock == libc::CLOCK_REALTIME && step.by != 0.0 {
        let seconds = (*now).tv_sec as f64 + (*now).tv_nsec as f64 / NANOSECONDS;
        if seconds >= step.from {
            (*now).tv_sec += step.by as libc::time_t;
        }
    }
    outcome
}
