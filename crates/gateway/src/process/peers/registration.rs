//! Registration of gateways in the store, by which they discover each other.

use super::peers::Peers;
use crate::process::Count;
use serde::{Deserialize, Serialize};
use sorrellock_platform::{Kind, Listing, Store, StoreError, StoredObject};
use sorrellock_routing::process::StoreEra;
use sorrellock_routing::process::relays::Placing;
use spdlog::warn;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// Interval at which the gateways of a small fleet list each other from the store. New gateways contact the others by
/// themselves, so that the lists only drop those that are gone.
const LIST_INTERVAL: Duration = Duration::from_secs(10);
/// Number of gateways that list so often. In larger fleets each lists less often, as a list grows with the fleet as well.
const FREQUENT_LISTERS: u32 = 12;
/// The same after this gateway's first list, which lacks those that began with it.
const SECOND_LIST_DELAY: Duration = Duration::from_secs(3);
/// Time after which, in a new era of the store, all gateways that reach it have written their objects again.
const ALL_REGISTERED_WITHIN: Duration = Duration::from_secs(15);
/// Delay after a failed write or list of gateways.
const REGISTER_RETRY_DELAY: Duration = Duration::from_millis(1_000);

/// The object of a gateway in the store.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct Registration {
    addr: SocketAddr,
    /// The process that wrote it; a later one at the same address leaves it as it is.
    incarnation: u64,
    /// Where the gateway runs; builds without relays don't write it.
    #[serde(default)]
    placing: Option<Placing>,
}

impl Peers {
    /// Writes this gateway's object and lists those of the others, indefinitely. Writes it again in each new era of
    /// the store, whose older copy of the data may lack it.
    pub(crate) async fn register(self: Rc<Self>, store: Store) {
        let mut written_in = None;
        let mut is_first = true;
        loop {
            match self.register_once(&store, &mut written_in, is_first).await {
                Ok(()) => {
                    let next_list =
                        if is_first { self.second_list_delay() } else { self.list_interval() };
                    is_first = false;
                    let era = written_in.unwrap_or_else(|| self.gateway.eras.known());
                    self.wait_for_next_list(next_list, era).await;
                }
                Err(err) => {
                    self.gateway.on_store_failed(&err);
                    let text = err.to_string();
                    warn!("gateways not read from the store", kv: { err = text.as_str() });
                    sleep(REGISTER_RETRY_DELAY).await;
                }
            }
        }
    }

    /// Waits until the next list is due: after `interval`, or at this gateway's turn once an era after `era` has begun or the first
    /// gateways that it read no longer suffice.
    async fn wait_for_next_list(&self, interval: Duration, era: StoreEra) {
        tokio::select! {
            () = sleep(interval) => {}
            () = self.gateway.newer_era(era) => sleep(self.gateway.list_turn()).await,
            () = self.needs_list() => sleep(self.gateway.list_turn()).await,
        }
    }

    /// Returns the time from the first list to the second one, which has those that began with this gateway. Where there are relays,
    /// they report these.
    fn second_list_delay(&self) -> Duration {
        let fleet_state = self.gateway.fleet_state.borrow();
        if fleet_state.uses_relays_at(fleet_state.sharers.listed()) {
            return self.list_interval();
        }
        SECOND_LIST_DELAY
    }

    /// Returns the interval between two lists. The lists of all gateways come at the same rate in any fleet.
    fn list_interval(&self) -> Duration {
        let gateways = self.gateway.fleet_state.borrow().gateways(Instant::now()) as u32;
        LIST_INTERVAL * gateways.max(FREQUENT_LISTERS) / FREQUENT_LISTERS
    }

    /// Writes this gateway's object if needed and lists the others. `written_in` is the era of the store in which
    /// the object was last written. A process that begins and has an object already reads the first gateways in place of the list, where
    /// these suffice; its next list checks the object.
    async fn register_once(
        &self,
        store: &Store,
        written_in: &mut Option<StoreEra>,
        is_first: bool,
    ) -> Result<(), StoreError> {
        let must_write = *written_in != Some(self.gateway.eras.known());
        let is_rewrite = written_in.is_some();
        // Written before the list: of two gateways that begin together, at least one lists the other.
        let created = if must_write { self.create_own(store).await? } else { None };
        self.gateway.is_registered.set(true);
        if is_first && created.is_none() && self.read_first_gateways(store).await? {
            self.gateway.gateways_listed.notify_waiters();
            return Ok(());
        }
        let listing = store.list(Kind::Gateways).await?;
        if must_write {
            let era = match created {
                Some(era) => era,
                None => self.update_own(store, &listing).await?,
            };
            if is_rewrite {
                self.gateway.note_rewritten(Kind::Gateways, &self.gateway.settings.instance);
            }
            *written_in = Some(era);
        }
        self.gateway.refuse_nameless(&listing.nameless, "Gateways");
        let registered: Vec<(String, Registration)> =
            listing.objects.iter().filter_map(|object| self.registered(object)).collect();
        self.note_placings(&registered);
        let mut addrs: HashSet<SocketAddr> =
            registered.into_iter().map(|(_, registration)| registration.addr).collect();
        if self.gateway.is_era_new(ALL_REGISTERED_WITHIN) {
            // Others may not have written their objects again yet, but still share the retry budget.
            addrs.extend(self.registered.borrow().iter());
        }
        *self.registered.borrow_mut() = addrs;
        let listed = self.registered.borrow().len();
        self.gateway.fleet_state.borrow_mut().sharers.on_list(listed, Instant::now().into_std());
        self.gateway.gateways_listed.notify_waiters();
        Ok(())
    }

    /// Creates this gateway's object. Returns its era; `None` if there is one already.
    async fn create_own(&self, store: &Store) -> Result<Option<StoreEra>, StoreError> {
        let name = &self.gateway.settings.instance;
        match store.create(Kind::Gateways, name, &self.registration()).await {
            Ok(written) => Ok(Some(written.era)),
            Err(StoreError::Conflict) => Ok(None),
            Err(err) => Err(err),
        }
    }

    /// Replaces this gateway's listed object unless it has the same address, as after a restart. Returns its era.
    async fn update_own(&self, store: &Store, listing: &Listing) -> Result<StoreEra, StoreError> {
        let name = &self.gateway.settings.instance;
        let listed = listing.objects.iter().find(|object| object.name == *name);
        // It was removed since; the next round creates it.
        let listed = listed.ok_or(StoreError::Conflict)?;
        let own = self.registration();
        let is_same =
            |listed: Registration| listed.addr == own.addr && listed.placing == own.placing;
        if listed.read::<Registration>().is_ok_and(is_same) {
            return Ok(listed.revision.era);
        }
        let written = store.replace(Kind::Gateways, name, listed.revision, &own).await?;
        Ok(written.era)
    }

    fn registration(&self) -> Registration {
        let settings = &self.gateway.settings;
        let (data_centre, processor) = (settings.data_centre.clone(), settings.processor);
        Registration {
            addr: self.own_addr(),
            incarnation: self.gateway.incarnation,
            placing: Some(Placing { data_centre, processor }),
        }
    }

    /// Records where the registered gateways run.
    fn note_placings(&self, registered: &[(String, Registration)]) {
        let unplaced = registered.iter().filter(|(_, registration)| registration.placing.is_none());
        *self.unplaced.borrow_mut() = unplaced.map(|(_, registration)| registration.addr).collect();
        let placed = registered.iter().filter_map(|(name, registration)| {
            Some((name.clone(), registration.placing.clone()?, registration.addr))
        });
        let now = Instant::now().into_std();
        self.gateway.fleet_state.borrow_mut().directory.on_list(placed, now);
    }

    /// Returns a gateway's registration. One that can't be read is skipped.
    fn registered(&self, object: &StoredObject) -> Option<(String, Registration)> {
        match object.read::<Registration>() {
            Ok(registration) => Some((object.name.clone(), registration)),
            Err(fault) => {
                let what = "registration of a gateway refused";
                let count = Count::RegistrationsRefused;
                self.gateway.refuse_own_object(count, what, &object.name, &fault);
                None
            }
        }
    }
}
