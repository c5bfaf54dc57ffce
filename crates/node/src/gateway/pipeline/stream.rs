//! The stream that the HTTP library reads a client's requests from.

use std::{io, pin, sync, task};

use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
};

use super::connection;

/// A client's stream that hands out one request at a time and reads on meanwhile.
pub(in crate::gateway) struct PipelinedStream {
    stream: TcpStream,
    connection: sync::Arc<connection::Connection>,
}

impl PipelinedStream {
    /// Puts `connection` before a stream.
    pub(in crate::gateway) fn new(
        stream: TcpStream,
        connection: sync::Arc<connection::Connection>,
    ) -> PipelinedStream {
        PipelinedStream { stream, connection }
    }
}

impl AsyncRead for PipelinedStream {
    fn poll_read(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> task::Poll<io::Result<()>> {
        let this = &mut *self;
        this.connection.poll_read(&mut this.stream, cx, buf)
    }
}

impl AsyncWrite for PipelinedStream {
    fn poll_write(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
        buf: &[u8],
    ) -> task::Poll<io::Result<usize>> {
        pin::Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_flush(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
    ) -> task::Poll<io::Result<()>> {
        pin::Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
    ) -> task::Poll<io::Result<()>> {
        pin::Pin::new(&mut self.stream).poll_shutdown(cx)
    }

    fn poll_write_vectored(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> task::Poll<io::Result<usize>> {
        pin::Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
