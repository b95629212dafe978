//! Which gateway places layers: an object in the store, written under a condition.
//!
//! Two leads at once do no harm beyond needless orders: each order names the count of orders that
//! its sender has seen the engine begin, and the engine refuses it if there were others.
//!
//! A term is the revision of the write that took the object; each take changes the object, so that no two have the same. Once the store
//! has come back from a copy, a lead has no term in the new era until it has taken the object again: the copy may lack its write,
//! or name a gateway that led before.

use crate::process::{Count, Gateway};
use serde::{Deserialize, Serialize};
use sorrellock_platform::{Kind, Store, StoreError, StoredObject};
use sorrellock_routing::process::Revision;
use spdlog::{info, warn};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::{Instant, sleep};

/// How often it is looked at who leads.
const LOOK_INTERVAL: Duration = Duration::from_millis(100);
/// How often a lead confirms its object: a lead that lost it gives orders for no longer.
const CONFIRM_INTERVAL: Duration = Duration::from_secs(4);
/// Silence of the lead after which the first gateway takes over: ten of its messages.
const SILENCE: Duration = Duration::from_millis(1_000);
/// What each further gateway, in order of name, waits on top.
const SILENCE_PER_RANK: Duration = Duration::from_millis(300);
/// Silence after which the first gateway leads without the store, while that can't be reached.
const SILENCE_WITHOUT_STORE: Duration = Duration::from_secs(3);
/// A failed call of the store within this time, with no other gateway heard, means a cut: calls
/// are repeated within a second.
const ISOLATION_DOUBT: Duration = Duration::from_secs(3);
/// Name of the lead's object.
const LEAD_NAME: &str = "placement";

/// The lead's object.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct LeadRecord {
    instance: String,
    incarnation: u64,
    /// How often the object was taken: a take by the gateway that it names changes it, too.
    #[serde(default)]
    takes: u64,
}

/// One gateway's part in the election.
pub(crate) struct Lead {
    gateway: Rc<Gateway>,
    store: Store,
    /// Revision of the object while this gateway leads.
    term: Option<Revision>,
    confirmed: Instant,
    /// The call under way that confirms it: orders don't wait for a store that is silent.
    confirming: Option<oneshot::Receiver<Result<Option<LeadRecord>, StoreError>>>,
    /// When a lead was last heard, or nobody was yet.
    heard: Instant,
    try_after: Instant,
}

impl Lead {
    pub(crate) fn new(gateway: Rc<Gateway>, store: Store) -> Lead {
        let now = Instant::now();
        Lead {
            gateway,
            store,
            term: None,
            confirmed: now,
            confirming: None,
            heard: now,
            try_after: now,
        }
    }

    /// Looks anew who leads, after a little while unless this gateway does. The term, while it does.
    pub(crate) async fn look(&mut self) -> Option<Revision> {
        match self.term {
            Some(term) if term.era < self.gateway.eras.known() => self.keep(term).await,
            Some(term) => self.confirm(term),
            None => {
                sleep(LOOK_INTERVAL).await;
                self.try_to_lead().await;
            }
        }
        self.term
    }

    fn confirm(&mut self, term: Revision) {
        if let Some(other) = self.heard_term().filter(|other| *other > term) {
            return self.step_down(&format!("a gateway leads with term {other}"));
        }
        if self.is_isolated() {
            return self.step_down("neither the store nor another gateway is heard");
        }
        if let Some(end) = self.confirming.as_mut().and_then(|end| end.try_recv().ok()) {
            self.confirming = None;
            self.on_confirmed(term, end);
        } else if self.confirming.is_none() && self.confirmed.elapsed() >= CONFIRM_INTERVAL {
            self.confirmed = Instant::now();
            self.start_to_confirm();
        }
    }

    /// Takes the object again, in a new era of the store. Orders wait for it.
    async fn keep(&mut self, term: Revision) {
        if let Some(other) = self.heard_term().filter(|other| *other > term) {
            return self.step_down(&format!("a gateway leads with term {other}"));
        }
        self.confirming = None;
        match self.take().await {
            Ok(kept) => {
                self.term = Some(kept);
                self.confirmed = Instant::now();
                self.gateway.note_rewritten(Kind::Leads, LEAD_NAME);
                let Revision { era, count } = kept;
                info!("lead kept", kv: { term = count, era, before_era = term.era });
            }
            // The next era is there already.
            Err(StoreError::HistoryGone | StoreError::Outdated { .. }) => {}
            Err(err) => {
                self.gateway.on_store_failed(&err);
                self.step_down(&format!("its object is not taken in the store's new era: {err}"));
            }
        }
    }

    /// Reads the lead's object without waiting for it.
    fn start_to_confirm(&mut self) {
        self.gateway.counters.add(Count::StoreCalls);
        let (tx, rx) = oneshot::channel();
        self.confirming = Some(rx);
        let store = self.store.clone();
        tokio::task::spawn_local(async move {
            let object = store.get(Kind::Leads, LEAD_NAME).await;
            // An object that can't be read doesn't name this gateway.
            let record = object.map(|object| object.read::<LeadRecord>().ok());
            // A gateway that leads no more needs no answer.
            let _ = tx.send(record);
        });
    }

    fn on_confirmed(&mut self, term: Revision, end: Result<Option<LeadRecord>, StoreError>) {
        match end {
            Ok(Some(record)) if self.is_own(&record) => {}
            Ok(_) => self.step_down("the lead's object names another gateway"),
            Err(err) => {
                // Without the store nobody else can take over in order, so it leads on.
                self.gateway.on_store_failed(&err);
                let text = err.to_string();
                let Revision { era, count } = term;
                warn!("lead not confirmed", kv: { term = count, era, err = text.as_str() });
            }
        }
    }

    /// Cut off from the store and from all other gateways, of which there are some: another one
    /// leads by now.
    fn is_isolated(&self) -> bool {
        let beliefs = self.gateway.beliefs.borrow();
        let is_alone = beliefs.live_peers(Instant::now()).next().is_none();
        let failed = self.gateway.store_failed.get();
        let is_cut = failed.is_some_and(|failed| failed.elapsed() < ISOLATION_DOUBT);
        is_alone && is_cut && beliefs.registered > 1
    }

    fn step_down(&mut self, why: &str) {
        let Revision { era, count } = self.term.take().unwrap_or_default();
        self.confirming = None;
        self.heard = Instant::now();
        info!("lead lost", kv: { term = count, era, why });
    }

    async fn try_to_lead(&mut self) {
        let now = Instant::now();
        if let Some(heard) = self.lead_heard() {
            self.heard = self.heard.max(heard);
        }
        let silence = now - self.heard;
        let rank = self.rank(now);
        if self.is_isolated() {
            return;
        }
        if silence < SILENCE + SILENCE_PER_RANK * rank || now < self.try_after {
            return;
        }
        self.try_after = now + SILENCE;
        match self.take().await {
            Ok(term) => self.begin(term, "the object in the store names it"),
            Err(StoreError::Conflict) => self.heard = Instant::now(),
            Err(err) if rank == 0 && silence > SILENCE_WITHOUT_STORE => {
                // Above the terms of past eras, which nobody holds any more.
                let era = Revision::new(self.gateway.eras.known(), 0);
                let term = self.heard_term().unwrap_or_default().max(era);
                self.begin(term, &format!("no lead was heard, and {err}"));
            }
            Err(err) => {
                self.gateway.on_store_failed(&err);
                let text = err.to_string();
                warn!("lead not taken", kv: { err = text.as_str() });
            }
        }
    }

    fn begin(&mut self, term: Revision, why: &str) {
        self.term = Some(term);
        self.confirmed = Instant::now();
        let Revision { era, count } = term;
        info!("lead taken", kv: { term = count, era, why });
    }

    /// Writes this gateway into the lead's object. The write changes it also where it names this one: of two gateways that read the
    /// same object, one that it names and one that it doesn't, one alone takes it.
    async fn take(&self) -> Result<Revision, StoreError> {
        self.gateway.counters.add(Count::StoreCalls);
        let object = match self.store.get(Kind::Leads, LEAD_NAME).await {
            Ok(object) => object,
            Err(StoreError::NotFound) => {
                return self.store.create(Kind::Leads, LEAD_NAME, &self.record(1)).await;
            }
            Err(err) => return Err(err),
        };
        let takes = self.read_record(&object).map_or(0, |before| before.takes) + 1;
        let record = self.record(takes);
        self.store.replace(Kind::Leads, LEAD_NAME, object.revision, &record).await
    }

    /// What the lead's object tells. One that can't be read names nobody, and is written over.
    fn read_record(&self, object: &StoredObject) -> Option<LeadRecord> {
        let record = object.read();
        record
            .inspect_err(|fault| {
                let (count, what) = (Count::LeadRecordsRefused, "lead's object can't be read");
                self.gateway.refuse_own_object(count, what, &object.name, fault);
            })
            .ok()
    }

    fn record(&self, takes: u64) -> LeadRecord {
        let instance = self.gateway.settings.instance.clone();
        LeadRecord { instance, incarnation: self.gateway.incarnation, takes }
    }

    fn is_own(&self, record: &LeadRecord) -> bool {
        let gateway = &self.gateway;
        record.instance == gateway.settings.instance && record.incarnation == gateway.incarnation
    }

    fn heard_term(&self) -> Option<Revision> {
        let beliefs = self.gateway.beliefs.borrow();
        beliefs.lead(Instant::now()).map(|(view, _)| view.term)
    }

    fn lead_heard(&self) -> Option<Instant> {
        let beliefs = self.gateway.beliefs.borrow();
        beliefs.lead(Instant::now()).map(|(_, heard)| heard)
    }

    /// How many live gateways come before this one, by name.
    fn rank(&self, now: Instant) -> u32 {
        self.gateway.beliefs.borrow().rank(&self.gateway.settings.instance, now)
    }
}
