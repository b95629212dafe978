//! Fetches configurations and endpoints that another gateway has and this one lacks.

use super::peers::Peers;
use crate::process::{Count, FirstData, UpdateCount, fetch_first_held};
use http::Method;
use rand::RngExt;
use sorrellock_platform::{Client, Kind};
use sorrellock_routing::process::knowledge::{Handover, HandoverError};
use sorrellock_routing::process::{Known, Revision, UpdateSource};
use spdlog::{debug, info, warn};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// Interval at which this gateway checks whether others are ahead.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// How long another gateway may be ahead before its data is fetched: a working watch delivers it sooner.
const BEHIND_TIMEOUT: Duration = Duration::from_millis(300);
/// Time within which the gateways that watch nothing themselves fetch a change, so that those that have it first are not asked by
/// all at once.
const FETCH_SPREAD: Duration = Duration::from_millis(200);
/// Timeout of a handover request: a large configuration takes some 100 ms on a fifth of a core.
const HANDOVER_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Timeout of such a request at the start: another gateway may answer sooner.
const FIRST_FETCH_TIMEOUT: Duration = Duration::from_millis(400);
/// Interval between such requests.
const FIRST_FETCH_INTERVAL: Duration = Duration::from_millis(100);
/// Path prefix of handover requests. The requester's configuration version and the revision up to which it knows
/// the endpoints follow.
pub(crate) const HANDOVER_PATH: &str = "/handover/";
/// Begin of the query of a handover request, followed by the digest of the requester's configuration in hexadecimal. With it the
/// answer may hold changes of that configuration in place of a whole one.
pub(crate) const DIGEST_QUERY: &str = "digest=";

impl Peers {
    /// Fetches what this gateway lacks from gateways that are ahead of it, indefinitely.
    pub(crate) async fn catch_up(self: Rc<Self>) {
        self.fetch_first_data().await;
        let mut fetch_at: Option<Instant> = None;
        loop {
            sleep(CHECK_INTERVAL).await;
            let Some((instance, addr)) = self.ahead() else {
                fetch_at = None;
                continue;
            };
            let due = *fetch_at.get_or_insert_with(|| Instant::now() + self.fetch_delay());
            if Instant::now() < due {
                continue;
            }
            fetch_at = None;
            self.fetch(&instance, addr).await;
        }
    }

    /// Returns how long another gateway may be ahead before this one fetches what it has.
    fn fetch_delay(&self) -> Duration {
        let contact = &self.gateway.store_contact;
        let watches = |kind| !contact.is_left_to_others(kind);
        if watches(Kind::Configuration) || watches(Kind::Endpoints) {
            return BEHIND_TIMEOUT;
        }
        FETCH_SPREAD.mul_f64(rand::rng().random_range(0.0..1.0))
    }

    /// Returns a live gateway that has a newer configuration or newer endpoints.
    fn ahead(&self) -> Option<(String, SocketAddr)> {
        let now = Instant::now();
        let own = self.gateway.knowledge.borrow().known();
        let fleet_state = self.gateway.fleet_state.borrow();
        let peers = fleet_state.live_peers(now);
        let own_data_centre = &self.gateway.settings.data_centre;
        let peers = peers.map(|peer| UpdateSource {
            name: peer.message.instance.as_str(),
            known: peer.message.known,
            is_near: peer.message.data_centre == *own_data_centre,
        });
        let instance = self.sources.borrow_mut().choose(own, peers, now.into_std())?;
        Some((instance.to_owned(), fleet_state.peers.get(instance)?.addr))
    }

    /// Fetches what a gateway needs at its start from the relays of its data centre, where the store lists so many gateways that all
    /// of them at once would keep the store busy for seconds.
    async fn fetch_first_data(&self) {
        let first_data = FirstData::new(&self.gateway).await;
        let mut turn = self.gateway.incarnation as usize;
        while first_data.is_awaited(None) {
            let candidates = self.gateway.fleet_state.borrow().directory.first_candidates();
            let Some(addr) = candidates.get(turn % candidates.len().max(1)) else { return };
            turn = turn.wrapping_add(1);
            // Before the configuration, with which requests are taken.
            if !self.gateway.held_sync.borrow().has_listed() {
                fetch_first_held(&self.gateway, *addr, FIRST_FETCH_TIMEOUT).await;
            }
            let requested = Instant::now();
            match self.handover(*addr, FIRST_FETCH_TIMEOUT).await {
                Ok((handover, parsing)) => {
                    let from = addr.to_string();
                    let updated = self.gateway.apply_handover(handover, &from, requested, parsing);
                    let UpdateCount { joined, changed } = updated;
                    info!("first data from a gateway", kv: { from = from.as_str(), joined, changed });
                }
                // It may start as well, and the next one is asked.
                Err(err) => debug!("no first data from a gateway", kv: { err = err.as_str() }),
            }
            if first_data.is_awaited(None) {
                sleep(FIRST_FETCH_INTERVAL).await;
            }
        }
    }

    /// Requests what this gateway lacks from another one. Returns it with the time that parsing took.
    async fn handover(
        &self,
        addr: SocketAddr,
        limit: Duration,
    ) -> Result<(Handover, Duration), String> {
        let digest = self.gateway.knowledge.borrow().routes().map(|routes| routes.mark().digest);
        let query = digest.map(|digest| format!("?{DIGEST_QUERY}{digest:x}")).unwrap_or_default();
        let (handover, parsing) = self.request_handover(addr, &query, limit).await?;
        let applied = Instant::now();
        let resolved = self.gateway.knowledge.borrow().resolve(handover);
        match resolved {
            Ok(handover) => Ok((handover, parsing + applied.elapsed())),
            Err(err) => {
                self.on_unresolved(addr, err);
                self.request_handover(addr, "", limit).await
            }
        }
    }

    fn on_unresolved(&self, addr: SocketAddr, err: HandoverError) {
        let counters = &self.gateway.counters;
        counters.add(Count::HandoversAgain);
        if let HandoverError::Configuration(err) = err {
            counters.add(Count::ConfigurationChangesBad);
            let (from, err) = (addr.to_string(), err.to_string());
            warn!("changes of a configuration can't be applied, the whole is requested", kv: {
                from = from.as_str(), err = err.as_str()
            });
        }
    }

    async fn request_handover(
        &self,
        addr: SocketAddr,
        query: &str,
        limit: Duration,
    ) -> Result<(Handover, Duration), String> {
        let Known { config, endpoints_at } = self.gateway.knowledge.borrow().known();
        let path = format!("{HANDOVER_PATH}{config}/{endpoints_at}{query}");
        let answer = Client::new(addr).call(Method::GET, &path, None, limit).await;
        let answer = answer.map_err(|err| err.to_string())?;
        let answered = Instant::now();
        let handover = serde_json::from_slice(&answer.body).map_err(|err| err.to_string())?;
        Ok((handover, answered.elapsed()))
    }

    async fn fetch(&self, instance: &str, addr: SocketAddr) {
        let requested = Instant::now();
        match self.handover(addr, HANDOVER_TIMEOUT).await {
            Ok((handover, parsing)) => {
                if handover.configuration.is_some() {
                    // A working watch would have delivered it sooner.
                    self.gateway.store_contact.suspect_watch(Kind::Configuration);
                }
                let version = handover.configuration.as_ref().map_or(0, |cfg| cfg.version);
                let Revision { era, count } = handover.endpoints_at;
                let updated = self.gateway.apply_handover(handover, instance, requested, parsing);
                let UpdateCount { joined, changed } = updated;
                info!("caught up from a gateway", kv: {
                    instance, version, era, at = count, joined, changed
                });
            }
            Err(err) => {
                warn!("failed to catch up from a gateway", kv: { instance, err = err.as_str() });
                self.sources.borrow_mut().on_failure(instance, Instant::now().into_std());
                // The store has what the other gateway has.
                self.gateway.store_contact.suspect_watches();
            }
        }
    }
}
