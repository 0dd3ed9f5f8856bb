//! The ways in which a request for the watch, or the watch itself, can fail.

use crate::wire::http::ResponseError;
use std::fmt;

/// Why a watch, or a request for one, has failed.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum WatchFailure {
    /// The connection was not established, was reset or was closed.
    ConnectionLost,
    /// No complete line arrived in time.
    LineOverdue,
    /// The response is complete, but a watch must not end.
    ResponseEnded,
    /// The response is not what the protocol allows.
    InvalidResponse(ResponseError),
    /// A line is not JSON.
    InvalidJson,
    /// A line is JSON, but no valid version of the list.
    InvalidList,
}

impl WatchFailure {
    /// The name in counters.
    pub fn name(self) -> &'static str {
        match self {
            WatchFailure::ConnectionLost => "connection_lost",
            WatchFailure::LineOverdue => "line_overdue",
            WatchFailure::ResponseEnded => "response_ended",
            WatchFailure::InvalidResponse(ResponseError::StatusNotOk) => "status_not_200",
            WatchFailure::InvalidResponse(ResponseError::LineTooLong) => "line_too_long",
            WatchFailure::InvalidResponse(_) => "invalid_response",
            WatchFailure::InvalidJson => "invalid_json",
            WatchFailure::InvalidList => "invalid_list",
        }
    }

    /// Whether discovery is to be asked rarely after this: it is overloaded, or would write a long list over and over.
    pub fn is_overload(self) -> bool {
        matches!(self, WatchFailure::InvalidResponse(ResponseError::StatusNotOk | ResponseError::LineTooLong))
    }
}

impl fmt::Display for WatchFailure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            WatchFailure::ConnectionLost => "the connection was lost or not established",
            WatchFailure::LineOverdue => "no complete line received in time",
            WatchFailure::ResponseEnded => "the response ended",
            WatchFailure::InvalidResponse(error) => return error.fmt(f),
            WatchFailure::InvalidJson => "a line is not JSON",
            WatchFailure::InvalidList => "invalid list",
        })
    }
}
