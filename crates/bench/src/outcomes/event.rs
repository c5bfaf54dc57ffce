//! What happens in virtual time.

use yuccatide_steering::{dedup, matching, model};

use super::{backend, fault};

/// Operation that a caller wants to happen once; also the fingerprint of its requests.
pub(super) type Operation = u64;

/// A process: its host and start.
pub(super) type ProcessId = model::Process;

/// Something that happens.
#[derive(Clone, Debug)]
pub(super) enum Event {
    /// A caller begins an operation.
    Begin(Operation),
    /// A caller repeats an operation that has no outcome yet.
    Repeat(Operation, model::IdempotencyKey),
    /// An answer of a process reaches a caller.
    Answered(model::RequestId, dedup::Response, ProcessId),
    /// A caller learns that its connection broke.
    Reset(model::RequestId),
    /// Something reaches whatever process runs at a host.
    ToHost(model::HostId, Input),
    /// Something reaches one process, if it still exists.
    ToProcess(ProcessId, Input),
    /// A request reaches the backend.
    ToBackend(backend::Arrival),
    /// Host times are due everywhere.
    Tick,
    /// A fault begins.
    Fault(fault::Fault),
    /// A paused process is resumed.
    Resume(ProcessId),
    /// A process starts.
    Start(model::HostId),
    /// A cut heals.
    Heal(u64),
}

/// Something that reaches a process.
#[derive(Clone, Debug)]
pub(super) enum Input {
    /// A request.
    Request(Request, Origin),
    /// A message of another host.
    Message(model::HostId, dedup::Message),
    /// The time to write a request to the backend.
    Send(model::RequestId),
    /// The deadline of a request that was written to the backend.
    Expire(model::RequestId),
    /// An answer of the backend.
    Answer(matching::ReceivedResponse, backend::Reply),
    /// A connection to the backend broke.
    Broken(matching::ConnectionId),
    /// An answer of a home to a forwarded request.
    Forwarded(matching::ReceivedResponse, dedup::Response),
    /// A connection to a home broke.
    ForwardBroken(matching::ConnectionId),
    /// The list of live entry hosts.
    Members(Vec<dedup::Peer>),
    /// The order to stop.
    Leave,
}

/// A request as it travels.
#[derive(Clone, Debug)]
pub(super) struct Request {
    pub(super) meta: model::RequestMeta,
    pub(super) operation: Operation,
}

/// Where the answer to a request goes.
#[derive(Clone, Debug)]
pub(super) enum Origin {
    /// To its caller.
    Caller,
    /// To the host that forwarded it.
    Peer(ProcessId, matching::ConnectionId),
}
