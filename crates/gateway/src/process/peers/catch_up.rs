//! Has another gateway hand over what it knows and this one doesn't.

use super::peers::{Peers, TELL_INTERVAL};
use http::Method;
use sorrellock_platform::{Client, Kind};
use sorrellock_routing::process::knowledge::Handover;
use sorrellock_routing::process::{Known, Revision};
use spdlog::{info, warn};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// How long another gateway may know more before it is asked: a watch brings it sooner.
const BEHIND_PATIENCE: Duration = Duration::from_millis(300);
/// Time for a handover: a large configuration takes a fifth of a core some 100 ms.
const HANDOVER_LIMIT: Duration = Duration::from_millis(1_500);
/// Where a gateway is asked for its handover, before the configuration that the asker has and the
/// revision up to which it knows the endpoints.
pub(crate) const HANDOVER_PATH: &str = "/handover/";

impl Peers {
    /// Asks another gateway for what it knows and this one doesn't, for ever.
    pub(crate) async fn catch_up(self: Rc<Self>) {
        let mut behind_since: Option<Instant> = None;
        loop {
            sleep(TELL_INTERVAL).await;
            let Some((instance, addr)) = self.ahead() else {
                behind_since = None;
                continue;
            };
            let since = *behind_since.get_or_insert_with(Instant::now);
            if since.elapsed() < BEHIND_PATIENCE {
                continue;
            }
            behind_since = None;
            self.fetch(&instance, addr).await;
        }
    }

    /// A live gateway that knows a newer configuration, or more of the endpoints.
    fn ahead(&self) -> Option<(String, SocketAddr)> {
        let now = Instant::now();
        let own = self.gateway.knowledge.borrow().known();
        let beliefs = self.gateway.beliefs.borrow();
        let heard = beliefs.live_peers(now);
        let heard = heard.map(|peer| (peer.message.instance.as_str(), peer.message.known));
        let instance = self.sources.borrow_mut().choose(own, heard, now.into_std())?;
        Some((instance.to_owned(), beliefs.peers.get(instance)?.addr))
    }

    async fn fetch(&self, instance: &str, addr: SocketAddr) {
        let client = Client::new(addr);
        let Known { config, endpoints_at } = self.gateway.knowledge.borrow().known();
        let path = format!("{HANDOVER_PATH}{config}/{endpoints_at}");
        let answer = client.call(Method::GET, &path, None, HANDOVER_LIMIT).await;
        let answered = Instant::now();
        let read =
            |body: &[u8]| serde_json::from_slice::<Handover>(body).map_err(|e| e.to_string());
        match answer.map_err(|err| err.to_string()).and_then(|answer| read(&answer.body)) {
            Ok(handover) => {
                let parsing = answered.elapsed();
                if handover.configuration.is_some() {
                    // A watch that lives would have brought it sooner.
                    self.gateway.store_contact.suspect_watch(Kind::Configuration);
                }
                let version = handover.configuration.as_ref().map_or(0, |cfg| cfg.version);
                let Revision { era, count } = handover.endpoints_at;
                info!("caught up from a gateway", kv: { instance, version, era, at = count });
                self.gateway.apply_handover(handover, instance, parsing);
            }
            Err(err) => {
                warn!("not caught up from a gateway", kv: { instance, err = err.as_str() });
                self.sources.borrow_mut().on_failure(instance, Instant::now().into_std());
                // What the other one knows, the store can tell.
                self.gateway.store_contact.suspect_watches();
            }
        }
    }
}
