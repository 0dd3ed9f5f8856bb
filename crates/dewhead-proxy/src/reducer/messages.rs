//! What enters and leaves the state machine: its events, its effects, and the connections that both name.

pub use crate::state::sessions::CloseKind;
use std::net::SocketAddr;
use std::ops::Range;

/// One of a session's connections.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Endpoint {
    /// A client's connection, by the session's slot.
    Client(usize),
    /// A connection to a server, by the leg's slot.
    Server(usize),
}

/// An input of the state machine. In a variant with a `usize` alone, that is a leg's slot.
#[derive(Debug)]
pub enum Event<'a> {
    /// A client has connected.
    Accepted,
    /// Bytes were read from the endpoint.
    Bytes(Endpoint, &'a [u8]),
    /// Bytes were read from the endpoint, a client that waits for its answer, which then closed the connection in this way.
    LastBytes(Endpoint, &'a [u8], CloseKind),
    /// The endpoint sends nothing more: its peer closed the connection, or the connection failed.
    Closed(Endpoint, CloseKind),
    /// The leg's connection is established.
    Connected(usize),
    /// The leg's connection could not be established.
    ConnectFailed(usize),
    /// The leg's connection attempt could not be started because this machine lacked a resource.
    ConnectNotStarted(usize),
    /// The last byte of the first line is written to the leg.
    HeadWritten(usize),
    /// The connection to discovery is established.
    WatchOpened,
    /// Bytes were read from discovery.
    WatchBytes(&'a [u8]),
    /// The connection to discovery ended or was not established.
    WatchLost,
    /// Nobody listens at discovery's address.
    WatchRefused,
    /// Bytes were read from the hedged request in this slot.
    HedgeBytes(usize, &'a [u8]),
    /// The connection of the hedged request in this slot ended or was not established.
    HedgeLost(usize),
    /// Time has passed: handles the timers that are due.
    Tick,
    /// Stop gracefully.
    Stop,
    /// Move all clients away over this many seconds and leave `PING` unanswered, but keep running.
    Drain(f64),
    /// Cancel the drain and serve again.
    Undrain,
    /// Another process serves from now on: move all clients away over this many seconds, then exit.
    Retire(f64),
    /// A new configuration is in force, with this address of discovery and this descriptor limit.
    Reconfigured(SocketAddr, usize),
}

/// An operation that the reducer's host has to carry out.
#[derive(Debug, PartialEq)]
pub enum Effect {
    /// The client that has just connected belongs to the session in this slot.
    AssignSession(usize),
    /// Connect the leg to this address.
    Connect(usize, SocketAddr),
    /// Write the session's first line to the leg, with `timeout_ms` in place of the bytes in `timeout_range`.
    SendHead {
        /// The leg's slot.
        leg: usize,
        /// The session's slot.
        session: usize,
        /// Where the client's waiting time is in the first line; empty to send the line unchanged.
        timeout_range: Range<usize>,
        /// The time left for the server's answer, in milliseconds.
        timeout_ms: u64,
    },
    /// Write this range of the event's bytes to the endpoint.
    Forward(Endpoint, Range<usize>),
    /// Write these bytes to the endpoint.
    Write(Endpoint, Vec<u8>),
    /// Shut the endpoint down for writing once all pending bytes are written.
    ShutdownWrite(Endpoint),
    /// Close the endpoint's connection.
    Close(Endpoint, CloseKind),
    /// Whether to accept further clients.
    SetAccepting(bool),
    /// Request the changes since this version from discovery at this address.
    OpenWatch(SocketAddr, u64),
    /// Close the connection to discovery.
    CloseWatch,
    /// Make a hedged request beside the watch, in this slot, with the arguments of `OpenWatch`. One that is in the slot is
    /// closed.
    OpenHedge(usize, SocketAddr, u64),
    /// Close the connection of the hedged request in this slot.
    CloseHedge(usize),
    /// The hedged request in this slot becomes the watch, whose own connection is closed.
    PromoteHedge(usize),
    /// The connection of the watch becomes that of the hedged request in this slot. One that is in the slot is closed.
    DemoteWatch(usize),
    /// End the process, after the clients that are still in the listener's queue are served.
    Exit,
}
