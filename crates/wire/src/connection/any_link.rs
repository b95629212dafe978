//! A link of the kind that the settings name.

use crate::connection::{
    ClosedLinks, Link, LinkConfig, LinkCounters, LinkError, LinkHandler, NngLink, TcpLink,
};
use crate::message::Message;
use sorrellock_core::request::Peer;
use std::net::SocketAddr;
use std::str::FromStr;
use std::sync::Arc;
use std::time::Duration;

/// What carries the messages between processes. All processes of a fleet use the same.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LinkKind {
    /// nng's push and pull sockets.
    Nng,
    /// Plain TCP; also measures the transit to each peer.
    #[default]
    Tcp,
}

impl FromStr for LinkKind {
    type Err = String;

    fn from_str(text: &str) -> Result<LinkKind, String> {
        match text {
            "nng" => Ok(LinkKind::Nng),
            "tcp" => Ok(LinkKind::Tcp),
            other => Err(format!("`{other}` is no kind of link; take nng or tcp")),
        }
    }
}

/// A link of either kind.
pub enum AnyLink {
    /// Over nng.
    Nng(Arc<NngLink>),
    /// Over TCP.
    Tcp(Arc<TcpLink>),
}

impl AnyLink {
    /// Listens; nothing is handled before [`AnyLink::serve`].
    pub fn listen(cfg: LinkConfig) -> Result<(Arc<AnyLink>, ClosedLinks), LinkError> {
        let (link, closed) = match cfg.kind {
            LinkKind::Nng => {
                let (link, closed) = NngLink::listen(cfg)?;
                (AnyLink::Nng(link), closed)
            }
            LinkKind::Tcp => {
                let (link, closed) = TcpLink::listen(cfg)?;
                (AnyLink::Tcp(link), closed)
            }
        };
        Ok((Arc::new(link), closed))
    }

    /// Starts the threads that hand what comes to `handler`.
    pub fn serve<H: LinkHandler>(&self, closed: ClosedLinks, handler: Arc<H>) {
        match self {
            AnyLink::Nng(link) => link.serve(closed, handler),
            AnyLink::Tcp(link) => link.serve(closed, handler),
        }
    }

    /// The counters.
    pub fn counters(&self) -> &LinkCounters {
        match self {
            AnyLink::Nng(link) => link.counters(),
            AnyLink::Tcp(link) => link.counters(),
        }
    }

    /// Whether something that was taken for sending has not been written to its connection yet: the end of the process would lose it.
    pub fn has_unsent(&self) -> bool {
        match self {
            AnyLink::Nng(link) => link.has_unsent(),
            AnyLink::Tcp(link) => link.has_unsent(),
        }
    }

    /// Closes the listener and all links, as a process that ends does.
    pub fn close(&self) {
        match self {
            AnyLink::Nng(link) => link.close(),
            AnyLink::Tcp(link) => link.close(),
        }
    }
}

impl Link for AnyLink {
    fn send_all(&self, to: Peer, messages: Vec<Message>) -> Result<(), LinkError> {
        match self {
            AnyLink::Nng(link) => link.send_all(to, messages),
            AnyLink::Tcp(link) => link.send_all(to, messages),
        }
    }

    fn transits(&self) -> Vec<(SocketAddr, Duration)> {
        match self {
            AnyLink::Nng(link) => link.transits(),
            AnyLink::Tcp(link) => link.transits(),
        }
    }
}
