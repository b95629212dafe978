//! A socket that tells of its reads and writes.

use crate::connection::Activity;
use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// A socket that tells the connection's [`Activity`] of its reads and writes.
#[derive(Debug)]
pub struct WatchedStream {
    inner: TcpStream,
    activity: Arc<Activity>,
}

impl WatchedStream {
    /// Watches `stream`.
    pub fn new(stream: TcpStream, activity: Arc<Activity>) -> WatchedStream {
        WatchedStream { inner: stream, activity }
    }

    fn watch_write(&self, res: Poll<io::Result<usize>>) -> Poll<io::Result<usize>> {
        match &res {
            Poll::Ready(Ok(bytes)) => self.activity.on_write(*bytes),
            Poll::Pending => self.activity.on_blocked(),
            // The connection ends.
            Poll::Ready(Err(_)) => {}
        }
        res
    }
}

impl AsyncRead for WatchedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let res = Pin::new(&mut self.inner).poll_read(cx, buf);
        if let Poll::Ready(Ok(())) = res {
            self.activity.on_read(buf.filled().len() - before);
        }
        res
    }
}

impl AsyncWrite for WatchedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let res = Pin::new(&mut self.inner).poll_write(cx, buf);
        self.watch_write(res)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(cx)
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let res = Pin::new(&mut self.inner).poll_write_vectored(cx, bufs);
        self.watch_write(res)
    }
}
