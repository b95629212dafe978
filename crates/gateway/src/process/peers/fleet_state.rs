//! Live state of engines and other gateways that the store doesn't hold: own observations, other gateways'
//! reports and the lead's view.

use super::recent_updates::RecentUpdates;
use super::relay_part::{Coordinator, HeardSummary, Report, SentLoads};
use super::roles::{Role, counted_ready_in};
use super::suspicion::{Leaving, Suspicion, SuspicionSource};
use crate::process::PeerMessage;
use sorrellock_core::process::membership::rendezvous_several;
use sorrellock_platform::Kind;
use sorrellock_routing::process::lead_view::{EngineView, EngineViews};
use sorrellock_routing::process::notices::LeavingNotices;
use sorrellock_routing::process::relays::{Placing, RelayDirectory, SILENCE_TIMEOUT};
use sorrellock_routing::process::retries::Sharers;
use sorrellock_routing::process::{
    EndedIncarnation, FailureEvidence, Incarnation, ReportedSuspect, probers_before,
    probers_before_among,
};
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::Instant;

/// Time without a message after which a gateway counts as gone, whether it is heard itself or through relays.
pub(super) const PEER_TIMEOUT: Duration = SILENCE_TIMEOUT;
/// Time without a message after which a leaving gateway's successor is no longer expected.
const SUCCESSOR_TIMEOUT: Duration = Duration::from_secs(15);
/// Expected time until an overdue successor is ready.
const SUCCESSOR_OVERDUE: Duration = Duration::from_millis(500);
/// How long an endpoint that failed an attempt gets no new work, unless the lead reports more about it.
pub(crate) const SUSPICION_DURATION: Duration = Duration::from_millis(1_000);

/// Number of gateways that probe an endpoint on behalf of all: one of them may not reach it, or may not know yet
/// that its entry is gone.
const PROBERS_PER_ENDPOINT: usize = 2;
/// How long an endpoint's own report that it is leaving counts. By then its entry says the same, except during an
/// outage of the store.
pub(crate) const LEAVING_REPORT_TIMEOUT: Duration = Duration::from_secs(10);
/// Maximum number of endpoints in a message that said in an answer that they leave.
const MAX_REPORTED_LEAVING: usize = 64;

/// Another gateway.
pub(crate) struct Peer {
    /// Address for messages to it.
    pub(crate) addr: SocketAddr,
    /// Its latest message.
    pub(crate) message: PeerMessage,
    /// When the latest message arrived.
    pub(crate) last_contact: Instant,
}

impl Peer {
    /// Returns the number of the last grant of `keeper` that its loads include.
    pub(crate) fn taken_of(&self, keeper: u64) -> Option<u64> {
        let mut taken = self.message.capacity.taken.iter();
        taken.find(|taken| taken.keeper == keeper).map(|taken| taken.number)
    }

    /// Returns the time since its own data of a kind was last confirmed complete by the store.
    pub(crate) fn store_contact(&self, kind: Kind, now: Instant) -> Option<Duration> {
        let age_ms = match kind {
            Kind::Configuration => self.message.configuration_heard_ms,
            Kind::Endpoints => self.message.endpoints_heard_ms,
            Kind::Gateways | Kind::Leads | Kind::HeldRequests | Kind::FirstGateways => None,
        };
        Some(Duration::from_millis(age_ms?.into()) + (now - self.last_contact))
    }

    pub(super) fn coordinator(&self) -> Coordinator {
        Coordinator { incarnation: self.message.incarnation, addr: self.addr }
    }

    /// Returns the time until it, or the successor that it announced, is expected to be ready; `None` if it went
    /// silent without announcing one.
    pub(super) fn ready_in(&self, now: Instant) -> Option<Duration> {
        let silent = now - self.last_contact;
        let announced = Duration::from_millis(self.message.ready_in_ms.into());
        if announced.is_zero() {
            return (silent < PEER_TIMEOUT).then_some(Duration::ZERO);
        }
        (silent < SUCCESSOR_TIMEOUT)
            .then(|| announced.saturating_sub(silent).max(SUCCESSOR_OVERDUE))
    }
}

/// Live state of engines and other gateways, beyond what the store holds.
pub(crate) struct FleetState {
    /// The other gateways, by instance name.
    pub(crate) peers: HashMap<String, Peer>,
    /// The gateways that share the fleet's bounds with this one.
    pub(crate) sharers: Sharers,
    /// All known gateways, and which of them are relays.
    pub(crate) directory: RelayDirectory,
    /// The latest summary of each relay, by instance name.
    pub(super) summaries: HashMap<String, HeardSummary>,
    /// Loads in the latest messages of this gateway.
    pub(crate) sent_loads: SentLoads,
    /// How this gateway takes part in the exchange of messages.
    pub(super) role: Role,
    /// Number of gateways from which a fleet uses relays.
    pub(super) relays_from: usize,
    /// This gateway's data centre.
    pub(super) data_centre: String,
    /// Suspected endpoints.
    suspects: HashMap<Incarnation, Suspicion>,
    /// Endpoints that reported that they accept no more requests, and until when that counts without an entry that
    /// says so.
    leaving: HashMap<Incarnation, Leaving>,
    /// Endpoints that said in an answer to this gateway that they leave.
    pub(crate) leaving_notices: LeavingNotices,
    /// Ended incarnations that this gateway found.
    ended: RecentUpdates<EndedIncarnation>,
    /// Endpoints without an entry that reported to this gateway that they are leaving.
    left: RecentUpdates<Incarnation>,
    /// The lead's view of the engines.
    pub(crate) views: EngineViews,
}

impl FleetState {
    /// Returns the state of a process of `instance` that began at `began` and knows nothing yet.
    pub(crate) fn new(
        instance: &str,
        placing: Placing,
        relays_from: usize,
        began: Instant,
    ) -> FleetState {
        FleetState {
            peers: HashMap::new(),
            sharers: Sharers::new(instance, began.into_std()),
            data_centre: placing.data_centre.clone(),
            directory: RelayDirectory::new(instance, placing, began.into_std()),
            summaries: HashMap::new(),
            sent_loads: SentLoads::default(),
            role: Role::AllToAll,
            relays_from,
            suspects: HashMap::new(),
            leaving: HashMap::new(),
            leaving_notices: LeavingNotices::default(),
            ended: RecentUpdates::default(),
            left: RecentUpdates::default(),
            views: EngineViews::default(),
        }
    }

    /// Returns the other gateways that sent a message recently.
    pub(crate) fn live_peers(&self, now: Instant) -> impl Iterator<Item = &Peer> {
        self.peers.values().filter(move |peer| now - peer.last_contact < PEER_TIMEOUT)
    }

    /// Returns the number of gateways that share the fleet's bounds, this one included.
    pub(crate) fn gateways(&self, now: Instant) -> usize {
        self.sharers.count(now.into_std())
    }

    /// Returns the share of the gateways that this one reaches, itself included.
    pub(crate) fn reachable_share(&self, now: Instant) -> f64 {
        self.sharers.reachable_share(self.live(now), now.into_std())
    }

    /// Returns the time until each other gateway is expected to be ready: first those of the data centre, then the
    /// others.
    pub(crate) fn ready_in(
        &self,
        data_centre: &str,
        now: Instant,
    ) -> (Vec<Duration>, Vec<Duration>) {
        if let Some(heard) = self.summary_of_fleet(now).filter(|_| self.uses_relays()) {
            return counted_ready_in(data_centre, &heard.summary, now - heard.heard);
        }
        let (mut near, mut others) = (Vec::new(), Vec::new());
        for peer in self.peers.values() {
            let Some(ready_in) = peer.ready_in(now) else { continue };
            let is_near = peer.message.data_centre == data_centre;
            if is_near { near.push(ready_in) } else { others.push(ready_in) }
        }
        (near, others)
    }

    /// Returns how many live gateways go before `instance`, which is this one, in duties that one does for all: by name, or relays
    /// first in a large fleet.
    pub(crate) fn rank(&self, instance: &str, now: Instant) -> u32 {
        if self.uses_relays() {
            return self.directory.rank(now.into_std()) as u32;
        }
        self.live_peers(now).filter(|peer| peer.message.instance.as_str() < instance).count() as u32
    }

    /// Returns how many live gateways with streams that begin at an engine go before this one, given by its
    /// `incarnation`, in probing their path. The order is fixed per data centre, so that the same gateways probe its
    /// engines each time, over connections that they have open.
    pub(crate) fn probers_before(
        &self,
        head: &Incarnation,
        data_centre: &str,
        incarnation: u64,
        now: Instant,
    ) -> usize {
        if self.uses_relays() {
            // Each gateway has few streams, so that as many others have streams there as there are streams.
            let others = self.streams_of_others(head, now);
            return probers_before_among(head.id.as_bytes(), incarnation, others);
        }
        let has_streams = |peer: &&Peer| {
            peer.message.loads.iter().any(|load| load.streams > 0 && load.head == *head)
        };
        let others = self.live_peers(now).filter(has_streams);
        probers_before(data_centre, incarnation, others.map(|peer| peer.message.incarnation))
    }

    /// Returns the engines that other gateways suspect, by their latest messages, each with the reporting gateway.
    pub(crate) fn reported_suspects(
        &self,
        now: Instant,
    ) -> impl Iterator<Item = (&ReportedSuspect, &str)> {
        self.reports(now).into_iter().flat_map(|report| {
            let source = report.source();
            report.suspects().iter().map(move |suspect| (suspect, source))
        })
    }

    /// Returns the number of streams of other gateways that begin at an engine.
    fn streams_of_others(&self, head: &Incarnation, now: Instant) -> u32 {
        let of = |report: Report<'_>| {
            let loads = report.loads();
            loads.iter().filter(|load| load.head == *head).map(|load| load.streams).sum::<u32>()
        };
        self.reports(now).into_iter().map(of).sum()
    }

    /// Returns how many live gateways had their data of a kind confirmed complete by the store within `age`, or heard so of others.
    pub(crate) fn watchers(&self, kind: Kind, age: Duration, now: Instant) -> usize {
        let is_fresh = |report: &Report<'_>| {
            report.store_contact(kind, now).is_some_and(|data_age| data_age < age)
        };
        let near = self.live_peers(now).map(Report::Peer);
        // Each relay passes on what the watchers report.
        let summaries = self.summaries.values().filter(|heard| heard.is_fresh(now));
        let summaries = summaries.map(|heard| Report::Summary(heard, &self.sent_loads));
        let sources = near.chain(summaries).filter(is_fresh).map(|report| report.source());
        sources.collect::<HashSet<&str>>().len()
    }

    /// Suspects an endpoint that failed, so that it gets no new work for a while. Returns whether this gateway
    /// didn't suspect it before.
    pub(crate) fn suspect(
        &mut self,
        incarnation: &Incarnation,
        evidence: FailureEvidence,
        now: Instant,
        lasts: Duration,
    ) -> bool {
        let is_new = !self
            .suspects
            .get(incarnation)
            .is_some_and(|suspect| suspect.is_own() && suspect.until > now);
        match self.suspects.get_mut(incarnation).filter(|_| !is_new) {
            Some(known) => {
                known.until = now + lasts;
                known.evidence = evidence;
            }
            None => {
                let suspicion = Suspicion::new(SuspicionSource::Own, evidence, now, lasts);
                self.suspects.insert(incarnation.clone(), suspicion);
            }
        }
        is_new
    }

    /// Suspects an endpoint that another gateway reports and that doesn't serve this one either. Returns whether it
    /// wasn't suspected before.
    pub(crate) fn add_reported_suspect(
        &mut self,
        report: &ReportedSuspect,
        instance: &str,
        now: Instant,
        lasts: Duration,
    ) -> bool {
        let is_new = !self.is_suspect(&report.incarnation, now);
        if is_new {
            let source = SuspicionSource::Gateway(instance.to_owned());
            let suspicion = Suspicion::new(source, report.evidence, now, lasts);
            self.suspects.insert(report.incarnation.clone(), suspicion);
        }
        is_new
    }

    /// Returns the current suspicion of an endpoint, if any.
    pub(crate) fn suspicion(&self, incarnation: &Incarnation, now: Instant) -> Option<&Suspicion> {
        self.suspects.get(incarnation).filter(|suspicion| suspicion.until > now)
    }

    /// Marks the suspicion of an endpoint as refuted by a sign of life. Returns it if that is the first such sign.
    pub(crate) fn refute(&mut self, incarnation: &Incarnation, now: Instant) -> Option<Suspicion> {
        let suspicion =
            self.suspects.get_mut(incarnation).filter(|suspicion| suspicion.until > now)?;
        let is_first = !std::mem::replace(&mut suspicion.is_refuted, true);
        is_first.then(|| suspicion.clone())
    }

    /// Ends a suspicion that was wrong or is out of date.
    pub(crate) fn withdraw(&mut self, incarnation: &Incarnation, now: Instant) {
        if let Some(suspicion) = self.suspects.get_mut(incarnation) {
            suspicion.until = suspicion.until.min(now);
        }
    }

    /// Records an endpoint's own report that it accepts no more requests. Returns whether that is new.
    pub(crate) fn mark_leaving(&mut self, incarnation: &Incarnation, now: Instant) -> bool {
        let is_new = !self.is_leaving(incarnation, now);
        let leaving = Leaving { until: now + LEAVING_REPORT_TIMEOUT, is_own: true };
        self.leaving.insert(incarnation.clone(), leaving);
        is_new
    }

    /// Records such a report that another gateway received.
    pub(crate) fn add_reported_leaving(&mut self, incarnation: &Incarnation, now: Instant) {
        let leaving = Leaving { until: now + LEAVING_REPORT_TIMEOUT, is_own: false };
        self.leaving.insert(incarnation.clone(), leaving);
    }

    /// Returns whether an endpoint reported that it accepts no more requests.
    pub(crate) fn is_leaving(&self, incarnation: &Incarnation, now: Instant) -> bool {
        self.leaving_notices.contains(incarnation)
            || self.leaving.get(incarnation).is_some_and(|leaving| leaving.until > now)
    }

    /// Returns the endpoints that reported to this gateway itself that they accept no more requests. Reports that
    /// others received aren't passed on: otherwise they would circulate indefinitely. What an endpoint said in an answer is
    /// reported for as long as its entry says otherwise.
    pub(crate) fn own_leaving(
        &mut self,
        is_listed_ready: impl Fn(&Incarnation) -> bool,
        now: Instant,
    ) -> Vec<Incarnation> {
        self.leaving.retain(|_, leaving| leaving.until > now);
        let own = self.leaving.iter().filter(|(_, leaving)| leaving.is_own);
        let mut all: Vec<Incarnation> = own.map(|(endpoint, _)| endpoint.clone()).collect();
        let said = self.leaving_notices.all().map(|(endpoint, _)| endpoint);
        let said = said.filter(|endpoint| is_listed_ready(endpoint) && !all.contains(endpoint));
        let said: Vec<Incarnation> = said.take(MAX_REPORTED_LEAVING).cloned().collect();
        all.extend(said);
        all
    }

    /// Returns whether an endpoint is suspected.
    pub(crate) fn is_suspect(&self, incarnation: &Incarnation, now: Instant) -> bool {
        self.suspicion(incarnation, now).is_some()
    }

    /// Returns the endpoints that this gateway suspects by its own evidence, as others send theirs themselves. Drops
    /// expired suspicions.
    pub(crate) fn own_suspects(&mut self, now: Instant) -> Vec<ReportedSuspect> {
        self.suspects.retain(|_, suspect| suspect.until > now);
        let own = self.suspects.iter().filter(|(_, suspect)| suspect.is_own());
        let report = |(incarnation, suspect): (&Incarnation, &Suspicion)| ReportedSuspect {
            incarnation: incarnation.clone(),
            evidence: suspect.evidence,
        };
        own.map(report).collect()
    }

    /// Records the end of an incarnation that this gateway learned from an answer.
    pub(crate) fn note_end(&mut self, ended: EndedIncarnation, now: Instant) {
        self.ended.add(ended, now);
    }

    /// Returns the ended incarnations that this gateway found recently.
    pub(crate) fn own_ended(&mut self, now: Instant) -> Vec<EndedIncarnation> {
        self.ended.current(now)
    }

    /// Records an endpoint without an entry that reported to this gateway that it is leaving.
    pub(crate) fn note_left(&mut self, incarnation: Incarnation, now: Instant) {
        self.left.add(incarnation, now);
    }

    /// Returns the endpoints without an entry that recently reported to this gateway that they are leaving.
    pub(crate) fn own_left(&mut self, now: Instant) -> Vec<Incarnation> {
        self.left.current(now)
    }

    /// Returns whether this gateway, given by its `incarnation`, is one of those that probe an endpoint on behalf of
    /// all.
    pub(crate) fn is_designated_prober(&self, id: &str, incarnation: u64, now: Instant) -> bool {
        let others = self.coordinators(now).into_iter().map(|other| other.incarnation);
        let all = others.chain(self.is_coordinator().then_some(incarnation));
        rendezvous_several(id.as_bytes(), all, PROBERS_PER_ENDPOINT).contains(&incarnation)
    }

    /// Returns the lead's view of an engine, if it is fresh.
    pub(crate) fn engine(&self, incarnation: &Incarnation, now: Instant) -> Option<&EngineView> {
        self.views.engine(incarnation, now.into_std())
    }
}
