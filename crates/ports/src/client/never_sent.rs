//! Tells errors of connecting from those that come later.

use std::fmt;
use std::io;
use std::net::SocketAddr;
use ureq::Error;
use ureq::config::Config;
use ureq::http::Uri;
use ureq::unversioned::resolver::{ResolvedSocketAddrs, Resolver};
use ureq::unversioned::transport::{ConnectionDetails, Connector, NextTimeout, TcpConnector};

/// Marks an error that arose before a byte of the call was sent.
#[derive(Debug)]
struct NeverSent {
    detail: String,
}

impl fmt::Display for NeverSent {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.detail)
    }
}

impl std::error::Error for NeverSent {}

/// Connects by TCP, and marks its errors: the same kinds of error can come later, too.
#[derive(Debug, Default)]
pub(crate) struct MarkingConnector {
    tcp: TcpConnector,
}

impl Connector<()> for MarkingConnector {
    type Out = <TcpConnector as Connector<()>>::Out;

    fn connect(
        &self,
        details: &ConnectionDetails,
        chained: Option<()>,
    ) -> Result<Option<Self::Out>, Error> {
        self.tcp.connect(details, chained).map_err(|err| {
            let detail = format!("connect: {err}");
            Error::Io(io::Error::other(NeverSent { detail }))
        })
    }
}

/// Gives the one address of a client. ureq's own resolver starts a thread for each call that has
/// a deadline, even where the host is an IP number.
#[derive(Debug)]
pub(crate) struct FixedResolver {
    addr: SocketAddr,
}

impl FixedResolver {
    pub(crate) fn new(addr: SocketAddr) -> FixedResolver {
        FixedResolver { addr }
    }
}

impl Resolver for FixedResolver {
    fn resolve(&self, _: &Uri, _: &Config, _: NextTimeout) -> Result<ResolvedSocketAddrs, Error> {
        let mut addrs = self.empty();
        addrs.push(self.addr);
        Ok(addrs)
    }
}

/// Whether the call that ended in `err` was surely never sent.
pub(crate) fn was_never_sent(err: &Error) -> bool {
    match err {
        Error::Io(err) => err.get_ref().is_some_and(|inner| inner.is::<NeverSent>()),
        // ureq gives these while it builds the call, before it connects.
        Error::BadUri(_) | Error::Http(_) | Error::HostNotFound => true,
        _ => false,
    }
}
