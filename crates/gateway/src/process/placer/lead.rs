//! Which gateway places layers: an object in the store, written under a condition.
//!
//! Two leads at once do no harm beyond needless orders: each order names the count of orders that
//! its sender has seen the engine begin, and the engine refuses it if there were others.
//!
//! Once the store has come back from a copy, a lead gives no orders until it has taken the object again.

use crate::process::{Count, Gateway};
use sorrellock_platform::{Kind, Store, StoreError, StoredObject};
use sorrellock_routing::process::{LeadRecord, LeadTerm, Revision};
use spdlog::{info, warn};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::task::yield_now;
use tokio::time::{Instant, sleep};

/// How often it is looked at who leads.
const LOOK_INTERVAL: Duration = Duration::from_millis(100);
/// How often a lead confirms its object: a lead that lost it gives orders for no longer.
const CONFIRM_INTERVAL: Duration = Duration::from_secs(4);
/// Silence of the lead after which the first gateway takes over: ten of its messages.
const SILENCE: Duration = Duration::from_millis(1_000);
/// What each further gateway, in order of name, waits on top.
const SILENCE_PER_RANK: Duration = Duration::from_millis(300);
/// Turns of the event loop in which the messages that have come are read.
const TURNS_TO_READ: u32 = 4;
/// Silence after which the first gateway leads without the store, while that can't be reached.
const SILENCE_WITHOUT_STORE: Duration = Duration::from_secs(3);
/// A failed call of the store within this time, with no other gateway heard, means a cut: calls
/// are repeated within a second.
const ISOLATION_DOUBT: Duration = Duration::from_secs(3);
/// Name of the lead's object.
const LEAD_NAME: &str = "placement";

/// One gateway's part in the election.
pub(crate) struct Lead {
    gateway: Rc<Gateway>,
    store: Store,
    /// While this gateway leads.
    term: Option<LeadTerm>,
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
            Some(term) if term.must_be_taken_again(self.gateway.eras.known()) => {
                self.keep(term).await;
            }
            Some(term) => self.confirm(term),
            None => {
                sleep(LOOK_INTERVAL).await;
                self.try_to_lead().await;
            }
        }
        self.term.map(LeadTerm::revision)
    }

    fn confirm(&mut self, term: LeadTerm) {
        if let Some(other) = self.heard_term().filter(|other| term.gives_way_to(*other)) {
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
    async fn keep(&mut self, term: LeadTerm) {
        if let Some(other) = self.heard_term().filter(|other| term.gives_way_to(*other)) {
            return self.step_down(&format!("a gateway leads with term {other}"));
        }
        self.confirming = None;
        match self.take().await {
            Ok(kept) => {
                self.term = Some(kept);
                self.confirmed = Instant::now();
                self.gateway.note_rewritten(Kind::Leads, LEAD_NAME);
                let Revision { era, count } = kept.revision();
                let before_era = term.revision().era;
                info!("lead kept", kv: { term = count, era, before_era });
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

    fn on_confirmed(&mut self, term: LeadTerm, end: Result<Option<LeadRecord>, StoreError>) {
        match end {
            Ok(Some(record))
                if record.names(&self.gateway.settings.instance, self.gateway.incarnation) => {}
            Ok(_) => self.step_down("the lead's object names another gateway"),
            Err(err) => {
                // Without the store nobody else can take over in order, so it leads on.
                self.gateway.on_store_failed(&err);
                let text = err.to_string();
                let Revision { era, count } = term.revision();
                warn!("lead not confirmed", kv: { term = count, era, err = text.as_str() });
            }
        }
    }

    /// Cut off from the store and from all other gateways, of which there are some: another one
    /// leads by now.
    fn is_isolated(&self) -> bool {
        let fleet_state = self.gateway.fleet_state.borrow();
        let is_alone = fleet_state.live_peers(Instant::now()).next().is_none();
        let failed = self.gateway.store_failed.get();
        let is_cut = failed.is_some_and(|failed| failed.elapsed() < ISOLATION_DOUBT);
        is_alone && is_cut && fleet_state.registered > 1
    }

    fn step_down(&mut self, why: &str) {
        let term = self.term.take().map(LeadTerm::revision);
        let Revision { era, count } = term.unwrap_or_default();
        self.confirming = None;
        self.heard = Instant::now();
        info!("lead lost", kv: { term = count, era, why });
    }

    async fn try_to_lead(&mut self) {
        if !self.may_take_over() {
            return;
        }
        // After a pause of this process the lead's messages may be there, unread.
        for _ in 0..TURNS_TO_READ {
            yield_now().await;
        }
        if !self.may_take_over() {
            return;
        }
        let now = Instant::now();
        let (silence, rank) = (now - self.heard, self.rank(now));
        self.try_after = now + SILENCE;
        match self.take().await {
            Ok(term) => self.begin(term, "the object in the store names it"),
            Err(StoreError::Conflict) => self.heard = Instant::now(),
            Err(err) if rank == 0 && silence > SILENCE_WITHOUT_STORE => {
                let term = LeadTerm::without_store(self.heard_term(), self.gateway.eras.known());
                self.begin(term, &format!("no lead was heard, and {err}"));
            }
            Err(err) => {
                self.gateway.on_store_failed(&err);
                let text = err.to_string();
                warn!("lead not taken", kv: { err = text.as_str() });
            }
        }
    }

    fn begin(&mut self, term: LeadTerm, why: &str) {
        self.term = Some(term);
        self.confirmed = Instant::now();
        let Revision { era, count } = term.revision();
        info!("lead taken", kv: { term = count, era, why });
    }

    /// Writes this gateway into the lead's object. The write changes it also where it names this one: of two gateways that read the
    /// same object, one that it names and one that it doesn't, one alone takes it.
    async fn take(&self) -> Result<LeadTerm, StoreError> {
        self.gateway.counters.add(Count::StoreCalls);
        let Gateway { settings, incarnation, .. } = &*self.gateway;
        let take = |before| LeadRecord::taken(before, &settings.instance, *incarnation);
        let written = match self.store.get(Kind::Leads, LEAD_NAME).await {
            Ok(object) => {
                let record = take(self.read_record(&object).as_ref());
                self.store.replace(Kind::Leads, LEAD_NAME, object.revision, &record).await
            }
            Err(StoreError::NotFound) => {
                self.store.create(Kind::Leads, LEAD_NAME, &take(None)).await
            }
            Err(err) => Err(err),
        };
        written.map(LeadTerm::new)
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

    /// Whether the lead has been silent for so long that this gateway takes over.
    fn may_take_over(&mut self) -> bool {
        let now = Instant::now();
        if let Some(heard) = self.lead_heard() {
            self.heard = self.heard.max(heard);
        }
        let silence = now - self.heard;
        let is_silent = silence >= SILENCE + SILENCE_PER_RANK * self.rank(now);
        is_silent && now >= self.try_after && !self.is_isolated()
    }

    fn heard_term(&self) -> Option<Revision> {
        let fleet_state = self.gateway.fleet_state.borrow();
        fleet_state.lead(Instant::now()).map(|(view, _)| view.term)
    }

    fn lead_heard(&self) -> Option<Instant> {
        let fleet_state = self.gateway.fleet_state.borrow();
        fleet_state.lead(Instant::now()).map(|(_, heard)| heard)
    }

    /// How many live gateways come before this one, by name.
    fn rank(&self, now: Instant) -> u32 {
        self.gateway.fleet_state.borrow().rank(&self.gateway.settings.instance, now)
    }
}
