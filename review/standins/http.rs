//! As much of HTTP/1.1 as the stand-ins need, over blocking sockets.

use std::{
    io::{self, Read, Write},
    net::TcpStream,
};

/// Head and body of a request or a response.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// Request line or status line.
    pub start: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    /// Value of a header; names are compared without case.
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    /// Status code of a response.
    pub fn status(&self) -> u16 {
        let code = self.start.split(' ').nth(1);
        code.and_then(|code| code.parse().ok()).unwrap_or(0)
    }

    /// Method of a request.
    pub fn method(&self) -> &str {
        self.start.split(' ').next().unwrap_or("")
    }

    /// Path and query of a request.
    pub fn target(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or("")
    }

    pub fn body_text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// A connection, with the bytes that were read beyond the last message.
pub struct Connection {
    pub stream: TcpStream,
    buf: Vec<u8>,
}

impl Connection {
    pub fn new(stream: TcpStream) -> Connection {
        let _ = stream.set_nodelay(true);
        Connection { stream, buf: Vec::new() }
    }

    /// Reads a message; `None` if the connection ended before its first byte.
    pub fn read(&mut self) -> io::Result<Option<Message>> {
        let end = loop {
            if let Some(at) = self.buf.windows(4).position(|w| w == b"\r\n\r\n") {
                break at + 4;
            }
            if self.fill()? == 0 {
                return match self.buf.is_empty() {
                    true => Ok(None),
                    false => Err(io::ErrorKind::UnexpectedEof.into()),
                };
            }
        };
        let head = String::from_utf8_lossy(&self.buf[..end]).into_owned();
        self.buf.drain(..end);
        let mut lines = head.split("\r\n").filter(|line| !line.is_empty());
        let mut message = Message {
            start: lines.next().unwrap_or("").to_string(),
            ..Message::default()
        };
        message.headers = lines
            .filter_map(|line| line.split_once(':'))
            .map(|(name, value)| (name.to_string(), value.trim().to_string()))
            .collect();
        let is_chunked = message
            .header("Transfer-Encoding")
            .is_some_and(|value| value.eq_ignore_ascii_case("chunked"));
        message.body = match is_chunked {
            true => self.read_chunks()?,
            false => {
                let length = message.header("Content-Length").and_then(|l| l.parse().ok());
                self.read_exact(length.unwrap_or(0))?
            }
        };
        Ok(Some(message))
    }

    fn fill(&mut self) -> io::Result<usize> {
        let mut chunk = [0; 16384];
        let n = self.stream.read(&mut chunk)?;
        self.buf.extend_from_slice(&chunk[..n]);
        Ok(n)
    }

    fn read_exact(&mut self, length: usize) -> io::Result<Vec<u8>> {
        while self.buf.len() < length {
            if self.fill()? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
        Ok(self.buf.drain(..length).collect())
    }

    fn read_line(&mut self) -> io::Result<String> {
        loop {
            if let Some(at) = self.buf.windows(2).position(|w| w == b"\r\n") {
                let line: Vec<u8> = self.buf.drain(..at + 2).collect();
                return Ok(String::from_utf8_lossy(&line[..at]).into_owned());
            }
            if self.fill()? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
    }

    fn read_chunks(&mut self) -> io::Result<Vec<u8>> {
        let mut body = Vec::new();
        loop {
            let line = self.read_line()?;
            let size = line.split(';').next().unwrap_or("").trim();
            let size = usize::from_str_radix(size, 16).map_err(|_| io::ErrorKind::InvalidData)?;
            if size == 0 {
                while !self.read_line()?.is_empty() {}
                return Ok(body);
            }
            body.extend(self.read_exact(size)?);
            self.read_line()?;
        }
    }

    /// Writes a message with its length.
    pub fn write(&mut self, start: &str, headers: &[(&str, &str)], body: &[u8]) -> io::Result<()> {
        let mut bytes = head(start, headers, body.len());
        bytes.extend_from_slice(body);
        self.stream.write_all(&bytes)
    }
}

fn head(start: &str, headers: &[(&str, &str)], length: usize) -> Vec<u8> {
    let mut text = format!("{start}\r\n");
    for (name, value) in headers {
        text += &format!("{name}: {value}\r\n");
    }
    text += &format!("Content-Length: {length}\r\n\r\n");
    text.into_bytes()
}

/// Value of a parameter in a request target.
pub fn parameter<'a>(target: &'a str, name: &str) -> Option<&'a str> {
    let (_, query) = target.split_once('?')?;
    query
        .split('&')
        .filter_map(|part| part.split_once('='))
        .find(|(n, _)| *n == name)
        .map(|(_, value)| value)
}
