//! Reads a client's requests and starts those that need not wait for their turn.

use std::{collections, future::Future, io, mem, pin, sync, task, time};

use bytes::{Buf, BytesMut};
use http::{header, request};
use tokio::{
    io::{AsyncRead, Interest, ReadBuf},
    net::TcpStream,
};
use yuccatide_steering::gateway as decisions;

use super::{ahead_limit, head_finder, started_request};
use crate::gateway::{gateway, memory};

/// Most bytes of requests that are held until it is their turn.
const MAX_HELD_BYTES: usize = 16 << 10;

/// Bytes that are read at a time.
const CHUNK_BYTES: usize = 4 << 10;

/// Time between checks whether a client has closed that sends more than may be held.
const CLOSE_CHECK_INTERVAL: time::Duration = time::Duration::from_millis(200);

/// Bounds on what a connection may have started ahead.
const LIMIT: ahead_limit::AheadLimit = ahead_limit::AheadLimit {
    requests: 16,
    bytes: 4 << 20,
};

/// Hands the HTTP library one request at a time.
#[derive(Default)]
pub(super) struct Reader {
    /// Bytes that were read and not handed out; they begin with a request once `unread_rest` is 0.
    held: BytesMut,
    /// Memory for them, unless they are few.
    reservation: Option<memory::Reservation>,
    /// Bytes of the current request that are to be handed out.
    unread_rest: u64,
    /// Whether the current request is not answered.
    is_busy: bool,
    /// Whether the ends of requests aren't looked for any more: one of them is not known.
    is_opaque: bool,
    /// Whether no further request may be started ahead.
    is_closing: bool,
    /// Requests at the start of `held` that are in progress.
    started: collections::VecDeque<started_request::StartedRequest>,
    /// Length of their heads.
    started_bytes: usize,
    /// Whether the request behind them must wait for its turn.
    is_blocked: bool,
    finder: head_finder::HeadFinder,
    /// The current request, if it was started ahead and is not yet begun.
    handed: Option<started_request::StartedRequest>,
    current: Current,
    waker: Option<task::Waker>,
    has_logged_limit: bool,
    /// Next check whether the client has closed, while no more bytes may be held.
    close_check: Option<pin::Pin<Box<tokio::time::Sleep>>>,
}

/// Whether requests behind the current one may be started.
#[derive(Default)]
enum Current {
    /// They may not.
    #[default]
    Blocks,
    /// They may.
    Allows,
    /// It was handed out and is not yet begun.
    Handed,
    /// It depends on its route.
    Unrouted {
        host: Option<header::HeaderValue>,
        uri: http::Uri,
    },
}

impl Reader {
    /// Reads for the HTTP library.  An end of the stream is passed on at once, whatever is held: a
    /// client that is gone gets no answer.
    pub(super) fn poll_read(
        &mut self,
        gateway: &sync::Arc<gateway::Gateway>,
        client: &sync::Arc<memory::ClientConnection>,
        stream: &mut TcpStream,
        cx: &mut task::Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> task::Poll<io::Result<()>> {
        loop {
            if self.unread_rest > 0 || self.is_opaque {
                return self.poll_rest(stream, cx, buf);
            }
            if self.is_busy {
                self.start_ahead(gateway, client);
                if task::ready!(self.poll_hold(gateway, stream, cx))? == 0 {
                    return task::Poll::Ready(Ok(()));
                }
            } else if self.held.is_empty() {
                let start = buf.filled().len();
                task::ready!(pin::Pin::new(&mut *stream).poll_read(cx, buf))?;
                if buf.filled().len() == start || self.pass_whole_request(&buf.filled()[start..]) {
                    return task::Poll::Ready(Ok(()));
                }
                self.held.extend_from_slice(&buf.filled()[start..]);
                buf.set_filled(start);
            } else if !self.hand_out_next() {
                // The end of the head can't come, or can't be waited for.
                self.is_opaque = self.room(gateway) == 0
                    || task::ready!(self.poll_hold(gateway, stream, cx))? == 0;
            }
        }
    }

    /// Hands out the rest of the current request, or all bytes if its end is not known.
    fn poll_rest(
        &mut self,
        stream: &mut TcpStream,
        cx: &mut task::Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> task::Poll<io::Result<()>> {
        let rest = match self.is_opaque {
            true => usize::MAX,
            false => usize::try_from(self.unread_rest).unwrap_or(usize::MAX),
        };
        if !self.held.is_empty() {
            let length = rest.min(self.held.len()).min(buf.remaining());
            buf.put_slice(&self.held[..length]);
            self.release(length);
            self.unread_rest = self.unread_rest.saturating_sub(length as u64);
            return task::Poll::Ready(Ok(()));
        }
        let start = buf.filled().len();
        task::ready!(pin::Pin::new(stream).poll_read(cx, buf))?;
        let end = buf.filled().len().min(start.saturating_add(rest));
        self.held.extend_from_slice(&buf.filled()[end..]);
        buf.set_filled(end);
        self.unread_rest = self.unread_rest.saturating_sub((end - start) as u64);
        task::Poll::Ready(Ok(()))
    }

    /// Bytes that may be read and held now.
    fn room(&mut self, gateway: &gateway::Gateway) -> usize {
        if self.held.is_empty() {
            return CHUNK_BYTES;
        }
        if self.reservation.is_none() {
            self.reservation = gateway.memory.try_reserve_kept(MAX_HELD_BYTES);
        }
        match self.reservation {
            Some(_) => MAX_HELD_BYTES.saturating_sub(self.held.len()),
            None => 0,
        }
    }

    /// Reads bytes to hold.  Returns their number; waits while no more may be held.
    fn poll_hold(
        &mut self,
        gateway: &gateway::Gateway,
        stream: &mut TcpStream,
        cx: &mut task::Context<'_>,
    ) -> task::Poll<io::Result<usize>> {
        let room = self.room(gateway);
        let mut chunk = [mem::MaybeUninit::uninit(); CHUNK_BYTES];
        let mut chunk = ReadBuf::uninit(&mut chunk[..room.min(CHUNK_BYTES)]);
        let read = match room {
            0 => self.poll_closed(stream, cx),
            _ => pin::Pin::new(stream).poll_read(cx, &mut chunk),
        };
        if read?.is_pending() {
            self.waker = Some(cx.waker().clone());
            return task::Poll::Pending;
        }
        self.held.extend_from_slice(chunk.filled());
        task::Poll::Ready(Ok(chunk.filled().len()))
    }

    /// Waits until the client has closed its side, behind bytes that are not read.
    fn poll_closed(
        &mut self,
        stream: &mut TcpStream,
        cx: &mut task::Context<'_>,
    ) -> task::Poll<io::Result<()>> {
        loop {
            let ready = pin::pin!(stream.ready(Interest::READABLE));
            if let task::Poll::Ready(ready) = ready.poll(cx)
                && ready?.is_read_closed()
            {
                return task::Poll::Ready(Ok(()));
            }
            let new_check = || Box::pin(tokio::time::sleep(CLOSE_CHECK_INTERVAL));
            let check = self.close_check.get_or_insert_with(new_check);
            task::ready!(check.as_mut().poll(cx));
            self.close_check = None;
        }
    }

    /// Makes a request that is the whole of `bytes`, or of which they are the whole head, the current
    /// one; returns whether it did.
    fn pass_whole_request(&mut self, bytes: &[u8]) -> bool {
        match head_finder::HeadFinder::default().find(bytes) {
            head_finder::Found::Head(head) => {
                let length = head.body_length.saturating_add(head.length as u64);
                let has_surplus = length < bytes.len() as u64;
                if !has_surplus {
                    self.set_current(&head);
                    self.unread_rest = length - bytes.len() as u64;
                }
                !has_surplus
            }
            head_finder::Found::Incomplete => false,
            head_finder::Found::Unknown => {
                self.is_opaque = true;
                true
            }
        }
    }

    /// Makes the request at the start of the held bytes the current one; returns whether there is
    /// something to hand out.
    fn hand_out_next(&mut self) -> bool {
        if let Some(started) = self.started.pop_front() {
            self.started_bytes -= started.length;
            self.unread_rest = started.length as u64;
            self.handed = Some(started);
            self.current = Current::Allows;
            self.is_busy = true;
            return true;
        }
        let found = self.finder.find(&self.held);
        match found {
            head_finder::Found::Incomplete => return false,
            head_finder::Found::Unknown => self.is_opaque = true,
            head_finder::Found::Head(head) => {
                self.finder = head_finder::HeadFinder::default();
                self.is_blocked = false;
                self.set_current(&head);
                self.unread_rest = head.body_length.saturating_add(head.length as u64);
            }
        }
        true
    }

    fn set_current(&mut self, head: &head_finder::Head) {
        self.is_busy = true;
        self.current = match head.is_barrier {
            true => Current::Blocks,
            false => Current::Handed,
        };
    }

    /// Removes bytes that were handed out.
    fn release(&mut self, length: usize) {
        self.held.advance(length);
        if self.held.is_empty() {
            self.held = BytesMut::new();
            self.reservation = None;
        }
    }

    /// Starts the requests among the held bytes that need not wait for their turn.
    fn start_ahead(
        &mut self,
        gateway: &sync::Arc<gateway::Gateway>,
        client: &sync::Arc<memory::ClientConnection>,
    ) {
        while self.may_start_next(gateway)
            && let Some((head, length)) = self.next_idempotent(gateway)
        {
            let reserved = started_request::StartedRequest::RESERVED_BYTES;
            let Some(reservation) = gateway.memory.try_reserve_kept(reserved) else {
                self.log_limit(gateway, client, "memory of the host");
                return;
            };
            self.finder = head_finder::HeadFinder::default();
            self.started_bytes += length;
            let started =
                started_request::StartedRequest::new(gateway, head, length, client, reservation);
            self.started.push_back(started);
            if !self.has_room() {
                self.log_limit(gateway, client, "limit of the connection");
            }
        }
    }

    fn may_start_next(&mut self, gateway: &gateway::Gateway) -> bool {
        self.started_bytes < self.held.len()
            && !self.is_blocked
            && !self.is_closing
            && self.has_room()
            && self.current_allows(gateway)
            && !gateway.is_stopping()
    }

    fn has_room(&self) -> bool {
        let held = self
            .started
            .iter()
            .map(started_request::StartedRequest::held_bytes);
        LIMIT.admits(held, started_request::StartedRequest::RESERVED_BYTES)
    }

    /// The first held request that is not started, with its length, if it has arrived and need not
    /// wait for its turn.
    fn next_idempotent(&mut self, gateway: &gateway::Gateway) -> Option<(request::Parts, usize)> {
        let bytes = &self.held[self.started_bytes..];
        let found = self.finder.find(bytes);
        if found == head_finder::Found::Incomplete {
            return None;
        }
        let next = match found {
            head_finder::Found::Head(head) if !head.is_barrier => {
                head_finder::request_parts(&bytes[..head.length]).map(|parts| (parts, head.length))
            }
            _ => None,
        };
        let next = next.filter(|(parts, _)| {
            is_idempotent(gateway, parts.headers.get(header::HOST), &parts.uri)
        });
        self.is_blocked = next.is_none();
        next
    }

    /// Logs once for each connection that requests wait for their turn.
    fn log_limit(
        &mut self,
        gateway: &gateway::Gateway,
        client: &sync::Arc<memory::ClientConnection>,
        limit: &str,
    ) {
        if self.has_logged_limit {
            return;
        }
        self.has_logged_limit = true;
        if let Some(omitted) = gateway.admit_log_line("pipelining") {
            log::info!(
                client:% = client.address(), limit, started = self.started.len(), omitted;
                "no further request of a connection is started ahead"
            );
        }
    }

    fn current_allows(&mut self, gateway: &gateway::Gateway) -> bool {
        if let Current::Unrouted { host, uri } = &self.current {
            self.current = match is_idempotent(gateway, host.as_ref(), uri) {
                true => Current::Allows,
                false => Current::Blocks,
            };
        }
        matches!(self.current, Current::Allows)
    }

    /// Begins the current request; returns it if it was started ahead.
    pub(super) fn begin_request(
        &mut self,
        head: &request::Parts,
    ) -> Option<started_request::StartedRequest> {
        if matches!(self.current, Current::Handed) {
            self.current = Current::Unrouted {
                host: head.headers.get(header::HOST).cloned(),
                uri: head.uri.clone(),
            };
        }
        self.handed.take()
    }

    /// Ends the current request: its answer was written.
    pub(super) fn end_request(&mut self) {
        self.is_busy = false;
        self.current = Current::Blocks;
        if let Some(waker) = self.waker.take() {
            waker.wake();
        }
    }

    /// Whether bytes behind the current request were read.
    pub(super) fn has_read_ahead(&self) -> bool {
        !self.held.is_empty()
    }

    /// Whether the answer to the current request is the last one of the connection.
    pub(super) fn ends_after_answer(&self, is_stopping: bool) -> bool {
        (is_stopping || self.is_closing) && self.started.is_empty()
    }

    /// Starts no further request ahead; returns whether none is in progress.
    pub(super) fn begin_close(&mut self) -> bool {
        self.is_closing = true;
        self.started.is_empty() && self.handed.is_none()
    }
}

/// Whether a request may run more than once.
fn is_idempotent(
    gateway: &gateway::Gateway,
    host: Option<&header::HeaderValue>,
    uri: &http::Uri,
) -> bool {
    let host = host.and_then(|host| host.to_str().ok()).or(uri.host());
    host.is_some_and(|host| match gateway.find_route(host, uri.path()).0 {
        decisions::RouteMatch::Route(route) => route.is_idempotent,
        decisions::RouteMatch::NoRoute | decisions::RouteMatch::NoPolicy => false,
    })
}
