//! Election of the gateway that places layers, by a conditional write to an object in the store.
//!
//! Two leads at once only cause needless orders: each order carries the number of orders that its
//! sender has seen the engine begin, and the engine refuses it if it has begun others.
//!
//! After the store is restored from an older copy, a lead sends no orders until it has written the object again.

use crate::process::{Count, Gateway};
use sorrellock_platform::{Kind, Store, StoreError, StoredObject};
use sorrellock_routing::process::{LeadRecord, LeadTerm, Revision};
use spdlog::{info, warn};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::task::yield_now;
use tokio::time::{Instant, sleep};

/// How often a gateway that doesn't lead checks whether to take over.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// How often a lead rereads its object, which bounds how long one that lost it goes on sending orders.
const CONFIRM_INTERVAL: Duration = Duration::from_secs(4);
/// Silence of the lead after which the first gateway takes over: ten of the lead's messages.
const LEAD_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Additional silence for each further gateway, in order of name.
const LEAD_TIMEOUT_PER_RANK: Duration = Duration::from_millis(300);
/// Turns of the event loop that are left for reading messages that have already arrived.
const TURNS_TO_READ: u32 = 4;
/// Silence after which the first gateway leads without the store, while the store is unreachable.
const LEAD_TIMEOUT_WITHOUT_STORE: Duration = Duration::from_secs(3);
/// A failed store call within this time, while no other gateway is reachable, means that this gateway
/// is isolated: failed calls are repeated within a second.
const ISOLATION_WINDOW: Duration = Duration::from_secs(3);
/// Name of the lead's object.
const LEAD_NAME: &str = "placement";

/// One gateway's state in the election.
pub(crate) struct Lead {
    gateway: Rc<Gateway>,
    store: Store,
    /// The term of this gateway; `None` unless it leads.
    term: Option<LeadTerm>,
    /// When the object was last taken, or a reread of it was last started.
    confirmed_at: Instant,
    /// Result of the pending reread of the object. Orders don't wait for an unresponsive store.
    confirming: Option<oneshot::Receiver<Result<Option<LeadRecord>, StoreError>>>,
    /// When a lead last sent a message. Without one: when this gateway started, lost the lead or lost a write conflict.
    last_contact: Instant,
    /// The earliest time for the next attempt to take over.
    try_after: Instant,
}

impl Lead {
    pub(crate) fn new(gateway: Rc<Gateway>, store: Store) -> Lead {
        let now = Instant::now();
        Lead {
            gateway,
            store,
            term: None,
            confirmed_at: now,
            confirming: None,
            last_contact: now,
            try_after: now,
        }
    }

    /// Checks who leads, after a short sleep unless this gateway does. Returns its term while it leads.
    pub(crate) async fn check(&mut self) -> Option<Revision> {
        match self.term {
            Some(term) if term.must_be_taken_again(self.gateway.eras.known()) => {
                self.retake(term).await;
            }
            Some(term) => self.confirm(term),
            None => {
                sleep(CHECK_INTERVAL).await;
                self.try_to_lead().await;
            }
        }
        self.term.map(LeadTerm::revision)
    }

    fn confirm(&mut self, term: LeadTerm) {
        if let Some(other) = self.announced_term().filter(|other| term.gives_way_to(*other)) {
            return self.step_down(&format!("a gateway leads with term {other}"));
        }
        if self.is_isolated() {
            return self.step_down("neither the store nor another gateway is reachable");
        }
        if let Some(end) = self.confirming.as_mut().and_then(|end| end.try_recv().ok()) {
            self.confirming = None;
            self.on_confirmed(term, end);
        } else if self.confirming.is_none() && self.confirmed_at.elapsed() >= CONFIRM_INTERVAL {
            self.confirmed_at = Instant::now();
            self.start_to_confirm();
        }
    }

    /// Writes the object again in a new era of the store. Orders wait for it.
    async fn retake(&mut self, term: LeadTerm) {
        if let Some(other) = self.announced_term().filter(|other| term.gives_way_to(*other)) {
            return self.step_down(&format!("a gateway leads with term {other}"));
        }
        self.confirming = None;
        match self.take().await {
            Ok(kept) => {
                self.term = Some(kept);
                self.confirmed_at = Instant::now();
                self.gateway.note_rewritten(Kind::Leads, LEAD_NAME);
                let Revision { era, count } = kept.revision();
                let before_era = term.revision().era;
                info!("lead kept", kv: { term = count, era, before_era });
            }
            // Another era has begun meanwhile; the next round tries again.
            Err(StoreError::HistoryGone | StoreError::Outdated { .. }) => {}
            Err(err) => {
                self.gateway.on_store_failed(&err);
                self.step_down(&format!("can't write its object in the store's new era: {err}"));
            }
        }
    }

    /// Starts to read the lead's object, without waiting for the result.
    fn start_to_confirm(&mut self) {
        let (tx, rx) = oneshot::channel();
        self.confirming = Some(rx);
        let store = self.store.clone();
        tokio::task::spawn_local(async move {
            let object = store.get(Kind::Leads, LEAD_NAME).await;
            // An unreadable object doesn't name this gateway.
            let record = object.map(|object| object.read::<LeadRecord>().ok());
            // The receiver is gone once this gateway has stepped down.
            let _ = tx.send(record);
        });
    }

    fn on_confirmed(&mut self, term: LeadTerm, end: Result<Option<LeadRecord>, StoreError>) {
        match end {
            Ok(Some(record))
                if record.names(&self.gateway.settings.instance, self.gateway.incarnation) => {}
            Ok(_) => self.step_down("the lead's object names another gateway"),
            Err(err) => {
                // Without the store no other gateway can be elected, so this one goes on.
                self.gateway.on_store_failed(&err);
                let text = err.to_string();
                let Revision { era, count } = term.revision();
                warn!("lead not confirmed", kv: { term = count, era, err = text.as_str() });
            }
        }
    }

    /// Returns whether this gateway reaches neither the store nor any of the other registered gateways:
    /// another one may lead by now.
    fn is_isolated(&self) -> bool {
        let fleet_state = self.gateway.fleet_state.borrow();
        let has_no_peers = fleet_state.live_peers(Instant::now()).next().is_none();
        let failed = self.gateway.store_failed.get();
        let store_fails = failed.is_some_and(|failed| failed.elapsed() < ISOLATION_WINDOW);
        has_no_peers && store_fails && fleet_state.sharers.listed() > 1
    }

    fn step_down(&mut self, why: &str) {
        let term = self.term.take().map(LeadTerm::revision);
        let Revision { era, count } = term.unwrap_or_default();
        self.confirming = None;
        self.last_contact = Instant::now();
        info!("lead lost", kv: { term = count, era, why });
    }

    async fn try_to_lead(&mut self) {
        if !self.may_take_over() {
            return;
        }
        // After a pause of this process the lead's messages may have arrived, but be unread.
        for _ in 0..TURNS_TO_READ {
            yield_now().await;
        }
        if !self.may_take_over() {
            return;
        }
        let now = Instant::now();
        let (silence, rank) = (now - self.last_contact, self.rank(now));
        self.try_after = now + LEAD_TIMEOUT;
        match self.take().await {
            Ok(term) => self.begin(term, "the object in the store names it"),
            Err(StoreError::Conflict) => self.last_contact = Instant::now(),
            Err(err) if rank == 0 && silence > LEAD_TIMEOUT_WITHOUT_STORE => {
                let term =
                    LeadTerm::without_store(self.announced_term(), self.gateway.eras.known());
                self.begin(term, &format!("no message of a lead arrived, and {err}"));
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
        self.confirmed_at = Instant::now();
        let Revision { era, count } = term.revision();
        info!("lead taken", kv: { term = count, era, why });
    }

    /// Writes this gateway into the lead's object. The write changes the object even if it names this gateway already: of two
    /// gateways that read the same object, one of which it names, only one succeeds.
    async fn take(&self) -> Result<LeadTerm, StoreError> {
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

    /// Decodes the lead's object. An unreadable one counts as naming nobody, and is overwritten.
    fn read_record(&self, object: &StoredObject) -> Option<LeadRecord> {
        let record = object.read();
        record
            .inspect_err(|fault| {
                let (count, what) = (Count::LeadRecordsRefused, "lead's object can't be read");
                self.gateway.refuse_own_object(count, what, &object.name, fault);
            })
            .ok()
    }

    /// Returns whether the lead has been silent for so long that this gateway takes over.
    fn may_take_over(&mut self) -> bool {
        let now = Instant::now();
        if let Some(last_contact) = self.lead_last_contact() {
            self.last_contact = self.last_contact.max(last_contact);
        }
        let silence = now - self.last_contact;
        let is_silent = silence >= LEAD_TIMEOUT + LEAD_TIMEOUT_PER_RANK * self.rank(now);
        is_silent && now >= self.try_after && !self.is_isolated()
    }

    fn announced_term(&self) -> Option<Revision> {
        let fleet_state = self.gateway.fleet_state.borrow();
        fleet_state.views.lead(Instant::now().into_std()).map(|(term, _)| term)
    }

    fn lead_last_contact(&self) -> Option<Instant> {
        let fleet_state = self.gateway.fleet_state.borrow();
        let lead = fleet_state.views.lead(Instant::now().into_std());
        lead.map(|(_, last_contact)| last_contact.into())
    }

    /// Returns how many live gateways precede this one in order of name.
    fn rank(&self, now: Instant) -> u32 {
        self.gateway.fleet_state.borrow().rank(&self.gateway.settings.instance, now)
    }
}
