//! Checks whether an endpoint has ended after a connection to it broke.

use crate::process::Gateway;
use sorrellock_routing::process::{FailureEvidence, Incarnation};
use std::collections::HashMap;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::OnceCell;
use tokio::time::{Instant, timeout};

/// Time limit of a check: some ten round trips within a region. The host of an ended process refuses at once.
const CHECK_TIMEOUT: Duration = Duration::from_millis(50);
/// How long the result of a check is used for other runs on the same endpoint, which broke with it.
const CHECK_REUSE: Duration = Duration::from_millis(300);
/// How long before a break a check may have begun that found the endpoint alive.
const ALIVE_REUSE: Duration = Duration::from_millis(20);

/// A check of one endpoint.
struct EndCheck {
    began: Instant,
    has_ended: OnceCell<bool>,
}

/// Recent checks by endpoint.
#[derive(Default)]
pub(crate) struct EndChecks {
    checks: HashMap<Incarnation, Rc<EndCheck>>,
}

impl EndChecks {
    /// Returns the check for a connection that broke `now`.
    fn check(&mut self, incarnation: &Incarnation, now: Instant) -> Rc<EndCheck> {
        self.checks.retain(|_, check| {
            let age = now - check.began;
            age < CHECK_REUSE && (age < ALIVE_REUSE || check.has_ended.get() != Some(&false))
        });
        let new = || Rc::new(EndCheck { began: now, has_ended: OnceCell::new() });
        Rc::clone(self.checks.entry(incarnation.clone()).or_insert_with(new))
    }
}

impl Gateway {
    /// Finds out whether an endpoint has ended, after a connection to it broke in a run, so that the run's request can
    /// be judged before it is sent to another one.
    pub(crate) async fn check_ended(&self, incarnation: &Incarnation, addr: SocketAddr) {
        if self.incarnations.borrow().is_confirmed_ended(incarnation) {
            self.on_endpoint_crashed(incarnation);
            return;
        }
        let check = self.end_checks.borrow_mut().check(incarnation, Instant::now());
        check.has_ended.get_or_init(|| self.refuses_connections(incarnation, addr)).await;
    }

    /// Returns whether the host of an endpoint refuses connections, as nothing listens there any more. Otherwise the
    /// endpoint lives, or can't be reached.
    async fn refuses_connections(&self, incarnation: &Incarnation, addr: SocketAddr) -> bool {
        match timeout(CHECK_TIMEOUT, TcpStream::connect(addr)).await {
            Ok(Err(err)) if err.kind() == ErrorKind::ConnectionRefused => {
                self.suspect(incarnation, FailureEvidence::Refused, &err.to_string());
                self.on_endpoint_crashed(incarnation);
                true
            }
            Ok(_) | Err(_) => false,
        }
    }
}
