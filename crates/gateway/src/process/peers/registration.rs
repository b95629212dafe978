//! The gateways' objects in the store: how they find each other.

use super::peers::Peers;
use crate::process::Count;
use serde::{Deserialize, Serialize};
use sorrellock_platform::{Kind, Store, StoreError, StoredObject};
use spdlog::warn;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::sleep;

/// How often the list of gateways is read from the store: newcomers tell the others by themselves.
const LIST_INTERVAL: Duration = Duration::from_secs(10);
/// The wait after a failed write or list of gateways.
const REGISTER_RETRY: Duration = Duration::from_millis(1_000);

/// A gateway's object in the store.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct Registration {
    addr: SocketAddr,
    incarnation: u64,
}

impl Peers {
    /// Writes this gateway's object and reads those of the others, for ever.
    pub(crate) async fn register(self: Rc<Self>, store: Store) {
        let mut is_written = false;
        loop {
            self.gateway.counters.add(Count::StoreCalls);
            let res = self.register_once(&store, &mut is_written).await;
            if let Err(err) = &res {
                self.gateway.on_store_failed(err);
                let text = err.to_string();
                warn!("gateways not read from the store", kv: { err = text.as_str() });
            }
            sleep(if res.is_ok() { LIST_INTERVAL } else { REGISTER_RETRY }).await;
        }
    }

    async fn register_once(&self, store: &Store, is_written: &mut bool) -> Result<(), StoreError> {
        let name = &self.gateway.settings.instance;
        let own = Registration { addr: self.own_addr(), incarnation: self.gateway.incarnation };
        if !*is_written {
            match store.create(Kind::Gateways, name, &own).await {
                Err(StoreError::Conflict) => {
                    let object = store.get(Kind::Gateways, name).await?;
                    if object.read::<Registration>().ok().as_ref() != Some(&own) {
                        store.replace(Kind::Gateways, name, object.revision, &own).await?;
                    }
                }
                other => {
                    other?;
                }
            }
            *is_written = true;
        }
        let listing = store.list(Kind::Gateways).await?;
        self.gateway.refuse_nameless(&listing.nameless, "Gateways");
        let addrs = listing.objects.iter().filter_map(|object| self.registered_addr(object));
        *self.registered.borrow_mut() = addrs.collect();
        self.gateway.beliefs.borrow_mut().registered = self.registered.borrow().len();
        Ok(())
    }

    /// Where a registered gateway listens. One that can't be read costs no other.
    fn registered_addr(&self, object: &StoredObject) -> Option<SocketAddr> {
        match object.read::<Registration>() {
            Ok(registration) => Some(registration.addr),
            Err(fault) => {
                let what = "registration of a gateway refused";
                let count = Count::RegistrationsRefused;
                self.gateway.refuse_own_object(count, what, &object.name, &fault);
                None
            }
        }
    }
}
