//! Bounds what a peer may send before the head of its answer is complete.
//!
//! hyper bounds one head. It reads interim answers and drops them, however many come before the final one.

use std::cell::Cell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Bytes up to the end of an answer's head, interim answers included. Far more than any head, and than one read buffer, in
/// which the beginning of the body may come as well.
const MAX_BYTES: usize = 128 << 10;

/// The bytes that the peer of a connection may still send until the head of its answer is complete.
#[derive(Clone, Debug, Default)]
pub struct HeadBudget {
    /// `None` while no head is due.
    left: Rc<Cell<Option<usize>>>,
}

impl HeadBudget {
    /// Begins to count, as a request is sent.
    pub fn begin(&self) {
        self.left.set(Some(MAX_BYTES));
    }

    /// Ends the count, as the head is complete.
    pub fn end(&self) {
        self.left.set(None);
    }

    fn is_spent(&self) -> bool {
        self.left.get() == Some(0)
    }

    fn on_read(&self, bytes: usize) {
        self.left.set(self.left.get().map(|left| left.saturating_sub(bytes)));
    }
}

/// A connection to a peer that fails once the budget of a head is spent.
#[derive(Debug)]
pub struct BudgetedStream {
    inner: TcpStream,
    budget: HeadBudget,
}

impl BudgetedStream {
    /// Bounds the heads that come on `stream`.
    pub fn new(stream: TcpStream, budget: HeadBudget) -> BudgetedStream {
        BudgetedStream { inner: stream, budget }
    }
}

impl AsyncRead for BudgetedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.budget.is_spent() {
            let text = format!("no head of an answer within {MAX_BYTES} bytes");
            return Poll::Ready(Err(io::Error::new(io::ErrorKind::InvalidData, text)));
        }
        let before = buf.filled().len();
        let res = Pin::new(&mut self.inner).poll_read(cx, buf);
        if let Poll::Ready(Ok(())) = res {
            self.budget.on_read(buf.filled().len() - before);
        }
        res
    }
}

impl AsyncWrite for BudgetedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.inner).poll_write(cx, buf)
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
        Pin::new(&mut self.inner).poll_write_vectored(cx, bufs)
    }
}
