//! The body of an answer, followed until the client has read it.

use std::{pin, sync, task};

use bytes::Bytes;
use hyper::body::{self, Body as _};
use yuccatide_steering::clients;

use super::{client_connections, holder};
use crate::gateway::body as bodies;

/// Returns the body of an answer and records how fast the client reads it.
pub(in super::super) fn answer(
    body: bodies::Body,
    client: &sync::Arc<client_connections::ClientConnection>,
) -> bodies::Body {
    let is_small = body
        .size_hint()
        .upper()
        .is_some_and(|bytes| bytes <= holder::SMALL_BODY_BYTES as u64);
    if is_small {
        client.enter(clients::Phase::Silent);
        return body;
    }
    client.enter(clients::Phase::Answering);
    let unread = sync::Arc::new(Unread(sync::Arc::clone(client)));
    bodies::Body::new(AnswerBody { body, unread })
}

/// An answer that the client has not read; dropped when all of it is written.
struct Unread(sync::Arc<client_connections::ClientConnection>);

impl Drop for Unread {
    fn drop(&mut self) {
        self.0
            .leave(clients::Phase::Answering, clients::Phase::Silent);
    }
}

struct AnswerBody {
    body: bodies::Body,
    unread: sync::Arc<Unread>,
}

/// A part of an answer; dropped when it is written.
struct Part {
    bytes: Bytes,
    unread: sync::Arc<Unread>,
}

impl AsRef<[u8]> for Part {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl Drop for Part {
    fn drop(&mut self) {
        self.unread.0.record(self.bytes.len());
    }
}

impl body::Body for AnswerBody {
    type Data = Bytes;
    type Error = <bodies::Body as body::Body>::Error;

    fn poll_frame(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
    ) -> task::Poll<Option<Result<body::Frame<Bytes>, Self::Error>>> {
        let frame = task::ready!(pin::Pin::new(&mut self.body).poll_frame(cx));
        let part = |bytes| {
            Bytes::from_owner(Part {
                bytes,
                unread: sync::Arc::clone(&self.unread),
            })
        };
        task::Poll::Ready(frame.map(|frame| frame.map(|frame| frame.map_data(part))))
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> body::SizeHint {
        self.body.size_hint()
    }
}
