//! The first gateways of the data centre in the store: written by the first relay, read at a start.

use super::peers::Peers;
use crate::process::Count;
use sorrellock_platform::{Kind, Store, StoreError};
use sorrellock_routing::process::relays::{FirstGateways, FirstGatewaysWriter};
use spdlog::{info, warn};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// Interval at which a relay checks whether they have changed.
const WRITE_CHECK_INTERVAL: Duration = Duration::from_millis(1_000);
/// Delay after a failed write.
const WRITE_RETRY_DELAY: Duration = Duration::from_secs(10);
/// Interval at which a gateway that has read them checks whether it needs the list.
const LIST_CHECK_INTERVAL: Duration = Duration::from_millis(250);

impl Peers {
    /// Writes the first gateways of the data centre while this gateway is its first relay, indefinitely.
    pub(crate) async fn write_first_gateways(self: Rc<Self>, store: Store) {
        let mut writer = FirstGatewaysWriter::default();
        loop {
            sleep(WRITE_CHECK_INTERVAL).await;
            let now = Instant::now();
            let first = self.gateway.fleet_state.borrow().first_gateways(self.own_addr(), now);
            let Some(first) = first else {
                writer.reset();
                continue;
            };
            let era = self.gateway.eras.known();
            if !writer.is_due(&first, era, now.into_std()) {
                continue;
            }
            match self.write_first(&store, &first).await {
                Ok(()) => writer.on_written(first, era),
                Err(err) => {
                    let err = err.to_string();
                    warn!("first gateways not written", kv: { err = err.as_str() });
                    sleep(WRITE_RETRY_DELAY).await;
                }
            }
        }
    }

    async fn write_first(&self, store: &Store, first: &FirstGateways) -> Result<(), StoreError> {
        let name = &self.gateway.settings.data_centre;
        let written = match store.get(Kind::FirstGateways, name).await {
            Ok(object) if object.read().is_ok_and(|known| first.is_like(&known)) => return Ok(()),
            Ok(object) => store.replace(Kind::FirstGateways, name, object.revision, first).await,
            Err(StoreError::NotFound) => store.create(Kind::FirstGateways, name, first).await,
            Err(err) => Err(err),
        };
        written?;
        let names: Vec<&str> = first.first.iter().map(|first| first.name.as_str()).collect();
        let names = names.join(" ");
        info!("first gateways written", kv: { names = names.as_str(), gateways = first.gateways });
        Ok(())
    }

    /// Reads the first gateways in place of the list of all. Returns whether they suffice.
    pub(super) async fn read_first_gateways(&self, store: &Store) -> Result<bool, StoreError> {
        let name = &self.gateway.settings.data_centre;
        let object = match store.get(Kind::FirstGateways, name).await {
            Ok(object) => object,
            Err(StoreError::NotFound) => return Ok(false),
            Err(err) => return Err(err),
        };
        match object.read::<FirstGateways>() {
            Ok(first) => Ok(self.start_from(&first)),
            Err(fault) => {
                let count = Count::RegistrationsRefused;
                self.gateway.refuse_own_object(count, "first gateways refused", name, &fault);
                Ok(false)
            }
        }
    }

    fn start_from(&self, first: &FirstGateways) -> bool {
        let mut fleet_state = self.gateway.fleet_state.borrow_mut();
        let gateways = first.gateways;
        if !fleet_state.uses_relays_at(gateways) || !fleet_state.directory.on_first(first) {
            return false;
        }
        fleet_state.sharers.on_list(gateways, Instant::now().into_std());
        info!("starts from the first gateways of the data centre", kv: { gateways });
        true
    }

    /// Waits until the list of all gateways is needed, where only the first ones have been read.
    pub(super) async fn needs_list(&self) {
        let needs_list = || {
            let fleet_state = self.gateway.fleet_state.borrow();
            fleet_state.directory.needs_list(Instant::now().into_std())
        };
        while !needs_list() {
            sleep(LIST_CHECK_INTERVAL).await;
        }
    }
}
