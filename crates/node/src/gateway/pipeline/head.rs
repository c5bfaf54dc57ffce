//! Finds where the head of a request ends.

use http::{header, request};

/// Most header lines of a request, as in the HTTP library.
const MAX_HEADER_LINES: usize = 100;

/// Finds the end of a head in bytes that grow at their end.
#[derive(Debug, Default)]
pub struct HeadFinder {
    /// Bytes that are known not to hold the end of the head.
    searched: usize,
}

/// Result of a search.
#[derive(Debug, PartialEq, Eq)]
pub enum Found {
    /// The end has not arrived.
    Incomplete,
    /// A head whose length, with its body, is known.
    Head(Head),
    /// The head is malformed, or only a reader of its body can tell where the request ends.
    Unknown,
}

/// The framing of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Head {
    /// Length of the head in bytes.
    pub length: usize,
    /// Length of the body in bytes.
    pub body_length: u64,
    /// Whether what follows must wait for its answer: it has a body, expects an interim response, or
    /// ends the connection.
    pub is_barrier: bool,
}

impl HeadFinder {
    /// Searches `bytes`, which begin with a request, for the end of its head.  A later call may add
    /// bytes to those of an earlier one.
    pub fn find(&mut self, bytes: &[u8]) -> Found {
        // An empty line may begin up to three bytes before the new ones.
        if !has_empty_line(&bytes[self.searched.saturating_sub(3)..]) {
            self.searched = bytes.len();
            return Found::Incomplete;
        }
        let mut headers = [httparse::EMPTY_HEADER; MAX_HEADER_LINES];
        let mut req = httparse::Request::new(&mut headers);
        match req.parse(bytes) {
            Ok(httparse::Status::Complete(length)) => framing(&req, length),
            Ok(httparse::Status::Partial) => {
                self.searched = bytes.len();
                Found::Incomplete
            }
            Err(_) => Found::Unknown,
        }
    }
}

fn has_empty_line(bytes: &[u8]) -> bool {
    bytes
        .iter()
        .enumerate()
        .filter(|(_, byte)| **byte == b'\n')
        .any(|(i, _)| bytes[i + 1..].starts_with(b"\n") || bytes[i + 1..].starts_with(b"\r\n"))
}

fn framing(req: &httparse::Request<'_, '_>, length: usize) -> Found {
    let mut head = Head {
        length,
        body_length: 0,
        is_barrier: req.version != Some(1),
    };
    let mut has_length = false;
    if req.method == Some("CONNECT") {
        return Found::Unknown;
    }
    for line in req.headers.iter() {
        let is = |name: header::HeaderName| line.name.eq_ignore_ascii_case(name.as_str());
        if is(header::TRANSFER_ENCODING) || is(header::UPGRADE) {
            return Found::Unknown;
        }
        if is(header::CONTENT_LENGTH) {
            let Some(bytes) = content_length(line.value).filter(|_| !has_length) else {
                return Found::Unknown;
            };
            has_length = true;
            head.body_length = bytes;
            head.is_barrier |= bytes > 0;
        }
        head.is_barrier |= is(header::EXPECT) || is(header::CONNECTION) && names_close(line.value);
    }
    Found::Head(head)
}

fn content_length(value: &[u8]) -> Option<u64> {
    let is_number = !value.is_empty() && value.iter().all(u8::is_ascii_digit);
    let text = std::str::from_utf8(value).ok().filter(|_| is_number)?;
    text.parse().ok()
}

fn names_close(value: &[u8]) -> bool {
    value
        .split(|byte| *byte == b',')
        .any(|token| token.trim_ascii().eq_ignore_ascii_case(b"close"))
}

/// Parses a head; `None` if it isn't valid.
pub fn request_parts(bytes: &[u8]) -> Option<request::Parts> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADER_LINES];
    let mut req = httparse::Request::new(&mut headers);
    if !req.parse(bytes).ok()?.is_complete() {
        return None;
    }
    let builder = http::Request::builder()
        .method(req.method?)
        .uri(req.path?)
        .version(http::Version::HTTP_11);
    let req = req
        .headers
        .iter()
        .fold(builder, |builder, line| {
            builder.header(line.name, line.value)
        })
        .body(());
    Some(req.ok()?.into_parts().0)
}
