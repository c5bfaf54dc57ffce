//! Bodies, read whole up to a size and streamed beyond it.

use std::{error, pin, task};

use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt, Full, combinators};
use hyper::body;

/// Body of a request to a backend server or of an answer to a client.
pub type Body = combinators::UnsyncBoxBody<Bytes, Box<dyn error::Error + Send + Sync>>;

/// Size up to which a body is read whole, in bytes: one that is whole can be sent again.
const WHOLE_BYTES: usize = 256 << 10;

/// A body of which the start was read.
pub(super) enum Read {
    /// All of it.
    Whole(Bytes),
    /// More than is read whole.
    Partial(Bytes, body::Incoming),
}

/// Body that consists of these bytes.
pub(super) fn whole(bytes: Bytes) -> Body {
    Full::new(bytes).map_err(|e| match e {}).boxed_unsync()
}

/// Reads a body up to the size at which it is streamed.
pub(super) async fn read(mut incoming: body::Incoming) -> Result<Read, hyper::Error> {
    let mut read = BytesMut::new();
    while let Some(frame) = incoming.frame().await {
        if let Ok(data) = frame?.into_data() {
            read.extend_from_slice(&data);
        }
        if read.len() > WHOLE_BYTES {
            return Ok(Read::Partial(read.freeze(), incoming));
        }
    }
    Ok(Read::Whole(read.freeze()))
}

/// The rest of a body after its start; `held` lives as long as it.
pub(super) fn chained<T: Send + Unpin + 'static>(
    start: Bytes,
    rest: body::Incoming,
    held: T,
) -> Body {
    Chained {
        start: Some(start),
        rest,
        _held: held,
    }
    .boxed_unsync()
}

struct Chained<T> {
    start: Option<Bytes>,
    rest: body::Incoming,
    _held: T,
}

impl<T: Unpin> body::Body for Chained<T> {
    type Data = Bytes;
    type Error = Box<dyn error::Error + Send + Sync>;

    fn poll_frame(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
    ) -> task::Poll<Option<Result<body::Frame<Bytes>, Self::Error>>> {
        if let Some(start) = self.start.take() {
            return task::Poll::Ready(Some(Ok(body::Frame::data(start))));
        }
        pin::Pin::new(&mut self.rest)
            .poll_frame(cx)
            .map_err(Into::into)
    }
}
