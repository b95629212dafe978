//! What a gateway believes of engines and of other gateways, beyond what the store tells.

use super::recent_news::RecentNews;
use crate::process::{EndedIncarnation, EngineView, LeadView, PeerMessage, ReportedSuspect};
use sorrellock_core::process::membership::rendezvous_several;
use sorrellock_platform::Kind;
use sorrellock_routing::process::{FailureEvidence, Incarnation, Revision, probers_before};
use std::collections::HashMap;
use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::Instant;

/// A gateway that wasn't heard for so long is taken to be gone: ten lost messages in a row.
const PEER_LAPSE: Duration = Duration::from_millis(1_500);
/// A gateway that wasn't heard for so long spends none of the retry budget: its window is over.
const BUDGET_SHARER_LAPSE: Duration = Duration::from_secs(15);
/// A successor that wasn't heard for so long doesn't come.
const SUCCESSOR_LAPSE: Duration = Duration::from_secs(15);
/// Expected time until a successor is ready that is overdue.
const SUCCESSOR_OVERDUE: Duration = Duration::from_millis(500);
/// What the lead told last is used for so long; after that the list of endpoints is fresher.
pub(crate) const LEAD_VIEW_LAPSE: Duration = Duration::from_secs(4);
/// For how long an endpoint that failed an attempt gets no new work, if the lead doesn't say more.
pub(crate) const SUSPECT_FOR: Duration = Duration::from_millis(1_000);

/// How many gateways ask an endpoint on behalf of all: one of them may not reach it, or may not know yet that its entry is gone.
const ASKERS: usize = 2;
/// For how long it is believed that an endpoint leaves that said so itself: its entry says so by
/// then, but for an outage of the store.
pub(crate) const LEAVING_FOR: Duration = Duration::from_secs(10);

/// Another gateway.
pub(crate) struct Peer {
    /// Where it listens for messages.
    pub(crate) addr: SocketAddr,
    /// Its newest message.
    pub(crate) message: PeerMessage,
    /// When that came.
    pub(crate) heard: Instant,
}

impl Peer {
    /// How long ago the store told it itself all that it had of a kind.
    pub(crate) fn store_contact(&self, kind: Kind, now: Instant) -> Option<Duration> {
        let told_ms = match kind {
            Kind::Configuration => self.message.configuration_heard_ms,
            Kind::Endpoints => self.message.endpoints_heard_ms,
            Kind::Gateways | Kind::Leads => None,
        };
        Some(Duration::from_millis(told_ms?.into()) + (now - self.heard))
    }

    /// Time until it, or the successor that it told of, is expected to be ready; nothing for one that
    /// is gone without a word.
    fn ready_in(&self, now: Instant) -> Option<Duration> {
        let silent = now - self.heard;
        let told = Duration::from_millis(self.message.ready_in_ms.into());
        if told.is_zero() {
            return (silent < PEER_LAPSE).then_some(Duration::ZERO);
        }
        (silent < SUCCESSOR_LAPSE).then(|| told.saturating_sub(silent).max(SUCCESSOR_OVERDUE))
    }
}

/// An endpoint that told that it takes nothing more.
struct Leaving {
    until: Instant,
    /// It told this gateway itself.
    is_own: bool,
}

/// Who found that an endpoint failed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum SuspicionSource {
    /// This gateway.
    Own,
    /// Another gateway, by instance.
    Gateway(String),
}

impl fmt::Display for SuspicionSource {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            SuspicionSource::Own => f.write_str("this gateway"),
            SuspicionSource::Gateway(instance) => f.write_str(instance),
        }
    }
}

/// An endpoint that failed.
#[derive(Clone, Debug)]
pub(crate) struct Suspicion {
    pub(crate) since: Instant,
    /// It gets nothing new until then.
    until: Instant,
    pub(crate) source: SuspicionSource,
    evidence: FailureEvidence,
    /// The endpoint has answered since.
    is_refuted: bool,
}

impl Suspicion {
    fn new(
        source: SuspicionSource,
        evidence: FailureEvidence,
        now: Instant,
        lasts: Duration,
    ) -> Suspicion {
        Suspicion { since: now, until: now + lasts, source, evidence, is_refuted: false }
    }

    fn is_own(&self) -> bool {
        self.source == SuspicionSource::Own
    }
}

/// What a gateway believes beyond what the store tells.
#[derive(Default)]
pub(crate) struct Beliefs {
    /// By instance.
    pub(crate) peers: HashMap<String, Peer>,
    /// Gateways that the store tells of, this one included.
    pub(crate) registered: usize,
    /// Endpoints that failed.
    suspects: HashMap<Incarnation, Suspicion>,
    /// Endpoints that told themselves that they take nothing more, and until when that is believed
    /// without an entry that says so.
    leaving: HashMap<Incarnation, Leaving>,
    /// Ends of incarnations that this gateway found.
    ended: RecentNews<EndedIncarnation>,
    /// Endpoints without an entry that told this gateway that they leave.
    left: RecentNews<Incarnation>,
    lead: Option<(LeadView, Instant)>,
    /// Where each engine stands in what the lead told.
    lead_index: HashMap<Incarnation, usize>,
}

impl Beliefs {
    /// Gateways heard of late, this one aside.
    pub(crate) fn live_peers(&self, now: Instant) -> impl Iterator<Item = &Peer> {
        self.peers.values().filter(move |peer| now - peer.heard < PEER_LAPSE)
    }

    /// Gateways that share the retry budget, this one included: those that can't be heard may
    /// still spend it.
    pub(crate) fn gateways(&self, now: Instant) -> usize {
        let heard = self.peers.values().filter(|peer| now - peer.heard < BUDGET_SHARER_LAPSE);
        (heard.count() + 1).max(self.registered)
    }

    /// When each of the other gateways is expected to be ready: those of a data centre, and the others.
    pub(crate) fn ready_in(
        &self,
        data_centre: &str,
        now: Instant,
    ) -> (Vec<Duration>, Vec<Duration>) {
        let (mut near, mut others) = (Vec::new(), Vec::new());
        for peer in self.peers.values() {
            let Some(ready_in) = peer.ready_in(now) else { continue };
            let is_near = peer.message.data_centre == data_centre;
            if is_near { near.push(ready_in) } else { others.push(ready_in) }
        }
        (near, others)
    }

    /// How many live gateways come before `instance`, by name.
    pub(crate) fn rank(&self, instance: &str, now: Instant) -> u32 {
        self.live_peers(now).filter(|peer| peer.message.instance.as_str() < instance).count() as u32
    }

    /// How many live gateways with streams that begin at an engine go before this one, by its `incarnation`, in probing their
    /// path. The order is that of the data centre: the same gateways probe its engines each time, over connections that they
    /// have.
    pub(crate) fn probers_before(
        &self,
        head: &Incarnation,
        data_centre: &str,
        incarnation: u64,
        now: Instant,
    ) -> usize {
        let has_streams = |peer: &&Peer| {
            peer.message.loads.iter().any(|load| load.streams > 0 && load.head == *head)
        };
        let others = self.live_peers(now).filter(has_streams);
        probers_before(data_centre, incarnation, others.map(|peer| peer.message.incarnation))
    }

    /// The engines that failed other gateways, by their newest messages, each with the gateway that reports it.
    pub(crate) fn reported_suspects(
        &self,
        now: Instant,
    ) -> impl Iterator<Item = (&ReportedSuspect, &str)> {
        self.live_peers(now).flat_map(|peer| {
            let instance = peer.message.instance.as_str();
            peer.message.suspects.iter().map(move |report| (report, instance))
        })
    }

    /// How many live gateways were told of the endpoints by the store within `age`.
    pub(crate) fn watchers(&self, age: Duration, now: Instant) -> usize {
        let heard = |peer: &&Peer| {
            peer.store_contact(Kind::Endpoints, now).is_some_and(|heard| heard < age)
        };
        self.live_peers(now).filter(heard).count()
    }

    /// An endpoint failed: it gets nothing new for a while. Tells whether that is news.
    pub(crate) fn suspect(
        &mut self,
        incarnation: &Incarnation,
        evidence: FailureEvidence,
        now: Instant,
        lasts: Duration,
    ) -> bool {
        let is_news = !self
            .suspects
            .get(incarnation)
            .is_some_and(|suspect| suspect.is_own() && suspect.until > now);
        match self.suspects.get_mut(incarnation).filter(|_| !is_news) {
            Some(known) => {
                known.until = now + lasts;
                known.evidence = evidence;
            }
            None => {
                let suspicion = Suspicion::new(SuspicionSource::Own, evidence, now, lasts);
                self.suspects.insert(incarnation.clone(), suspicion);
            }
        }
        is_news
    }

    /// An endpoint failed another gateway, and does not serve this one either. Tells whether that is news.
    pub(crate) fn hear_suspect(
        &mut self,
        report: &ReportedSuspect,
        instance: &str,
        now: Instant,
        lasts: Duration,
    ) -> bool {
        let is_news = !self.is_suspect(&report.incarnation, now);
        if is_news {
            let source = SuspicionSource::Gateway(instance.to_owned());
            let suspicion = Suspicion::new(source, report.evidence, now, lasts);
            self.suspects.insert(report.incarnation.clone(), suspicion);
        }
        is_news
    }

    /// The suspicion of an endpoint, if any holds.
    pub(crate) fn suspicion(&self, incarnation: &Incarnation, now: Instant) -> Option<&Suspicion> {
        self.suspects.get(incarnation).filter(|suspicion| suspicion.until > now)
    }

    /// A suspected endpoint gave a sign of life. The suspicion, if that is the first sign since.
    pub(crate) fn refute(&mut self, incarnation: &Incarnation, now: Instant) -> Option<Suspicion> {
        let suspicion =
            self.suspects.get_mut(incarnation).filter(|suspicion| suspicion.until > now)?;
        let is_first = !std::mem::replace(&mut suspicion.is_refuted, true);
        is_first.then(|| suspicion.clone())
    }

    /// A suspicion was wrong, or is out of date.
    pub(crate) fn withdraw(&mut self, incarnation: &Incarnation, now: Instant) {
        if let Some(suspicion) = self.suspects.get_mut(incarnation) {
            suspicion.until = suspicion.until.min(now);
        }
    }

    /// An endpoint told this gateway that it takes nothing more. Tells whether that is news.
    pub(crate) fn believe_leaving(&mut self, incarnation: &Incarnation, now: Instant) -> bool {
        let is_news = !self.is_leaving(incarnation, now);
        let leaving = Leaving { until: now + LEAVING_FOR, is_own: true };
        self.leaving.insert(incarnation.clone(), leaving);
        is_news
    }

    /// Another gateway heard that from an endpoint.
    pub(crate) fn hear_leaving(&mut self, incarnation: &Incarnation, now: Instant) {
        let leaving = Leaving { until: now + LEAVING_FOR, is_own: false };
        self.leaving.insert(incarnation.clone(), leaving);
    }

    /// Whether an endpoint told that it takes nothing more.
    pub(crate) fn is_leaving(&self, incarnation: &Incarnation, now: Instant) -> bool {
        self.leaving.get(incarnation).is_some_and(|leaving| leaving.until > now)
    }

    /// Endpoints that told this gateway that they take nothing more. What others heard is theirs
    /// to pass on, so that it ends.
    pub(crate) fn leaving_own(&mut self, now: Instant) -> Vec<Incarnation> {
        self.leaving.retain(|_, leaving| leaving.until > now);
        let own = self.leaving.iter().filter(|(_, leaving)| leaving.is_own);
        own.map(|(incarnation, _)| incarnation.clone()).collect()
    }

    /// Whether an endpoint is suspected.
    pub(crate) fn is_suspect(&self, incarnation: &Incarnation, now: Instant) -> bool {
        self.suspicion(incarnation, now).is_some()
    }

    /// The endpoints that failed this gateway itself: what others heard is theirs to pass on. Drops
    /// what is over.
    pub(crate) fn suspects_own(&mut self, now: Instant) -> Vec<ReportedSuspect> {
        self.suspects.retain(|_, suspect| suspect.until > now);
        let own = self.suspects.iter().filter(|(_, suspect)| suspect.is_own());
        let report = |(incarnation, suspect): (&Incarnation, &Suspicion)| ReportedSuspect {
            incarnation: incarnation.clone(),
            evidence: suspect.evidence,
        };
        own.map(report).collect()
    }

    /// An answer told this gateway the end of an incarnation.
    pub(crate) fn note_end(&mut self, ended: EndedIncarnation, now: Instant) {
        self.ended.note(ended, now);
    }

    /// The ends that this gateway found of late.
    pub(crate) fn ended_own(&mut self, now: Instant) -> Vec<EndedIncarnation> {
        self.ended.current(now)
    }

    /// An endpoint without an entry told this gateway that it leaves.
    pub(crate) fn note_left(&mut self, incarnation: Incarnation, now: Instant) {
        self.left.note(incarnation, now);
    }

    /// The endpoints without an entry that told this gateway of late that they leave.
    pub(crate) fn left_own(&mut self, now: Instant) -> Vec<Incarnation> {
        self.left.current(now)
    }

    /// Whether this gateway, by its `incarnation`, is one of those that ask an endpoint on behalf of all.
    pub(crate) fn asks_for_all(&self, id: &str, incarnation: u64, now: Instant) -> bool {
        let others = self.live_peers(now).map(|peer| peer.message.incarnation);
        let all = others.chain([incarnation]);
        rendezvous_several(id.as_bytes(), all, ASKERS).contains(&incarnation)
    }

    /// Takes what a lead tells, unless a newer lead was heard. Tells whether it was taken.
    pub(crate) fn apply_lead(&mut self, view: LeadView, now: Instant) -> bool {
        let newer = |(known, heard): &(LeadView, Instant)| {
            known.term > view.term && now - *heard < LEAD_VIEW_LAPSE
        };
        if self.lead.as_ref().is_some_and(newer) {
            return false;
        }
        let incarnations = view.engines.iter().map(|engine| engine.incarnation.clone());
        self.lead_index = incarnations.zip(0..).collect();
        self.lead = Some((view, now));
        true
    }

    /// The lead whose word was taken last still leads.
    pub(crate) fn hear_lead(&mut self, term: Revision, now: Instant) {
        if let Some((view, heard)) = &mut self.lead
            && view.term == term
        {
            *heard = now;
        }
    }

    /// What the lead told last, if that is fresh, and when.
    pub(crate) fn lead(&self, now: Instant) -> Option<(&LeadView, Instant)> {
        let (view, heard) = self.lead.as_ref()?;
        (now - *heard < LEAD_VIEW_LAPSE).then_some((view, *heard))
    }

    /// What the lead told of an engine, if that is fresh.
    pub(crate) fn engine(&self, incarnation: &Incarnation, now: Instant) -> Option<&EngineView> {
        let (view, _) = self.lead(now)?;
        view.engines.get(*self.lead_index.get(incarnation)?)
    }
}
