//! A body that holds something until it was written.

use std::{pin, task};

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{self, Body};

use crate::gateway::body as bodies;

/// Body that drops `_guard` once it was written or given up.
struct GuardedBody<T> {
    inner: bodies::Body,
    _guard: T,
}

/// Binds `guard` to a body.
pub(super) fn guarded<T: Send + Unpin + 'static>(inner: bodies::Body, guard: T) -> bodies::Body {
    GuardedBody {
        inner,
        _guard: guard,
    }
    .boxed_unsync()
}

impl<T: Unpin> Body for GuardedBody<T> {
    type Data = Bytes;
    type Error = <bodies::Body as Body>::Error;

    fn poll_frame(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
    ) -> task::Poll<Option<Result<body::Frame<Bytes>, Self::Error>>> {
        pin::Pin::new(&mut self.inner).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.inner.is_end_stream()
    }

    fn size_hint(&self) -> body::SizeHint {
        self.inner.size_hint()
    }
}
