//! HTTP bodies: buffered up to a size and streamed beyond it.

use std::{error, future::Future, io, pin, task, time};

use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt, Full, combinators};
use hyper::body;

use super::memory;

/// Body of a request to a backend server or of a response to a client.
pub type Body = combinators::UnsyncBoxBody<Bytes, Box<dyn error::Error + Send + Sync>>;

/// Size up to which a body is buffered; only a request with a buffered body can be retried.
pub(super) const MAX_BUFFERED_BYTES: usize = 256 << 10;

/// A body that was read up to the buffer size.
pub(super) enum ReadBody {
    /// The whole body.
    Complete(Bytes),
    /// The buffered start and the unread rest of a larger body.
    Partial(Bytes, body::Incoming),
}

/// Body with the given bytes.
pub(super) fn full(bytes: Bytes) -> Body {
    Full::new(bytes).map_err(|e| match e {}).boxed_unsync()
}

/// Reads a body until its end, until it exceeds the buffer size, or until `may_keep`, which gets the
/// size of each part and of all so far, allows no more.
pub(super) async fn read_buffered(
    mut incoming: body::Incoming,
    mut may_keep: impl FnMut(usize, usize) -> bool,
) -> Result<ReadBody, hyper::Error> {
    let mut read = BytesMut::new();
    while let Some(frame) = incoming.frame().await {
        let Ok(data) = frame?.into_data() else {
            continue;
        };
        read.extend_from_slice(&data);
        if !may_keep(data.len(), read.len()) || read.len() > MAX_BUFFERED_BYTES {
            return Ok(ReadBody::Partial(read.freeze(), incoming));
        }
    }
    Ok(ReadBody::Complete(read.freeze()))
}

/// Body made of `start` and the unread `rest`, with the memory for it.
pub(super) fn prefixed(
    start: Bytes,
    rest: body::Incoming,
    transfer: Option<memory::Transfer>,
) -> Body {
    PrefixedBody {
        start: Some(start),
        rest,
        end: None,
        on_break: None,
        _guard: (),
    }
    .map_frame(move |frame| {
        if let (Some(data), Some(transfer)) = (frame.data_ref(), &transfer) {
            transfer.record(data.len());
        }
        frame
    })
    .boxed_unsync()
}

/// Body made of `start` and the unread `rest`; `guard` is dropped with it.  It is broken off after
/// `left`: a backend server that sends bytes without end must not hold a connection and its client
/// for longer than the client waits.  `on_break` is called if the backend server breaks it off.
pub(super) fn prefixed_until<T: Send + Unpin + 'static>(
    start: Bytes,
    rest: body::Incoming,
    guard: T,
    left: time::Duration,
    on_break: impl FnOnce() + Send + 'static,
) -> Body {
    PrefixedBody {
        start: Some(start),
        rest,
        end: Some(Box::pin(tokio::time::sleep(left))),
        on_break: Some(Box::new(on_break)),
        _guard: guard,
    }
    .boxed_unsync()
}

struct PrefixedBody<T> {
    start: Option<Bytes>,
    rest: body::Incoming,
    /// Time at which the body is broken off.
    end: Option<pin::Pin<Box<tokio::time::Sleep>>>,
    /// Called if the rest can't be read.
    on_break: Option<Box<dyn FnOnce() + Send>>,
    _guard: T,
}

impl<T: Unpin> body::Body for PrefixedBody<T> {
    type Data = Bytes;
    type Error = Box<dyn error::Error + Send + Sync>;

    fn poll_frame(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
    ) -> task::Poll<Option<Result<body::Frame<Bytes>, Self::Error>>> {
        if let Some(start) = self.start.take() {
            return task::Poll::Ready(Some(Ok(body::Frame::data(start))));
        }
        if let Some(end) = &mut self.end
            && end.as_mut().poll(cx).is_ready()
        {
            log::warn!("a backend server's body did not end before the deadline; broken off");
            let e = io::Error::new(io::ErrorKind::TimedOut, "no end of the body in time");
            return task::Poll::Ready(Some(Err(e.into())));
        }
        let polled = pin::Pin::new(&mut self.rest).poll_frame(cx);
        if matches!(polled, task::Poll::Ready(Some(Err(_))))
            && let Some(on_break) = self.on_break.take()
        {
            on_break();
        }
        polled.map_err(Into::into)
    }
}
