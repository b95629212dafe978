//! Applies what other gateways found of endpoints, reported by themselves or through a relay.

use super::relay_part::{HeardSummary, Scope};
use crate::process::{Gateway, PeerMessage};
use sorrellock_routing::process::crashes::CrashReports;
use sorrellock_routing::process::lead_view::ViewChange;
use sorrellock_routing::process::limits::LimitReport;
use sorrellock_routing::process::relays::{LeadReport, StoreAges, Summary};
use sorrellock_routing::process::{EndedIncarnation, Incarnation, StoreEra};
use spdlog::info;
use std::time::Duration;
use tokio::time::Instant;

/// What gateways found of endpoints.
pub(super) struct News {
    leaving: Vec<Incarnation>,
    ended: Vec<EndedIncarnation>,
    left: Vec<Incarnation>,
    left_before_era: Vec<Incarnation>,
    /// The era of `left_before_era`.
    era: StoreEra,
    crashes: CrashReports,
    limits: Vec<LimitReport>,
}

impl News {
    /// Returns what the sender of a message found.
    pub(super) fn of(message: &PeerMessage) -> News {
        News {
            leaving: message.leaving.clone(),
            ended: message.ended.clone(),
            left: message.left.clone(),
            left_before_era: message.left_before_era.clone(),
            era: message.known.endpoints_at.era,
            crashes: message.extension.crashes.clone(),
            limits: message.extension.limits.clone(),
        }
    }

    /// Returns what the gateways of a summary found.
    fn of_summary(summary: &Summary) -> News {
        News {
            leaving: summary.leaving.clone(),
            ended: summary.ended.clone(),
            left: summary.left.clone(),
            left_before_era: summary.left_before_era.clone(),
            era: summary.known.endpoints_at.era,
            crashes: summary.crashes.clone(),
            limits: summary.limits.clone(),
        }
    }
}

/// What news changed here.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct Changes {
    /// The engines that paths may use.
    pub(super) engines: bool,
    /// The suspected ones.
    pub(super) suspects: bool,
}

/// What a summary brought.
pub(super) struct Received {
    pub(super) changes: Changes,
    /// Whether the gateways that rely on this one should learn of it at once.
    pub(super) is_news: bool,
}

impl PeerMessage {
    /// Returns whether a later message of the sender holds nothing that gateways should learn at once.
    pub(super) fn has_same_news(&self, later: &PeerMessage) -> bool {
        let view = |message: &PeerMessage| message.view.update.as_ref().map(|update| update.mark);
        self.suspects == later.suspects
            && self.leaving == later.leaving
            && self.ended == later.ended
            && self.left == later.left
            && self.extension.crashes == later.extension.crashes
            && self.lead_term == later.lead_term
            && view(self) == view(later)
    }
}

/// Returns whether a later summary holds nothing that gateways should learn at once.
fn has_same_news(before: &Summary, later: &Summary) -> bool {
    let lead = |summary: &Summary| {
        let lead = summary.lead.as_ref();
        lead.map(|lead| (lead.term, lead.view.as_ref().map(|update| update.mark)))
    };
    before.suspects == later.suspects
        && before.leaving == later.leaving
        && before.ended == later.ended
        && before.left == later.left
        && before.crashes == later.crashes
        && lead(before) == lead(later)
}

impl Gateway {
    /// Applies what other gateways found.
    pub(super) fn receive_news(&self, news: &News, source: &str) -> Changes {
        let mut is_changed = self.receive_leaving(&news.leaving, source);
        self.receive_crash_reports(&news.crashes);
        self.receive_limits(&news.limits, source);
        for end in &news.ended {
            self.receive_end(end, source);
        }
        for incarnation in &news.left {
            is_changed |= self.remove_missing(incarnation, source);
        }
        is_changed |= self.receive_left(&news.left_before_era, news.era, source);
        Changes { engines: is_changed, suspects: false }
    }

    /// Applies another gateway's reports of endpoints that leave. Returns whether any of it is new.
    fn receive_leaving(&self, leaving: &[Incarnation], source: &str) -> bool {
        let now = Instant::now();
        let mut fleet_state = self.fleet_state.borrow_mut();
        let mut is_changed = false;
        for incarnation in leaving {
            if fleet_state.is_leaving(incarnation, now) {
                continue;
            }
            fleet_state.add_reported_leaving(incarnation, now);
            info!("endpoint reported that it is leaving", kv: {
                endpoint = incarnation.id.as_str(), source
            });
            is_changed = true;
        }
        is_changed
    }

    /// Applies a summary, unless it isn't for this gateway: a relay receives messages of its own data centre, and another gateway learns of all others
    /// through its relays.
    pub(super) fn receive_summary(&self, heard: HeardSummary) -> Received {
        let now = heard.heard;
        let is_relay = self.fleet_state.borrow().is_relay();
        let expected = if is_relay { Scope::DataCentre } else { Scope::Fleet };
        let nothing = Received { changes: Changes::default(), is_news: false };
        if heard.scope != expected {
            return nothing;
        }
        let (source, summary) = (heard.relay.clone(), heard.summary.clone());
        self.note_confirmed(&heard);
        let before = self.fleet_state.borrow_mut().add_summary(heard);
        let before = before.map(|before| before.summary);
        let reported = before.as_ref().map_or(&[][..], |before| &before.suspects);
        let suspects = summary.suspects.iter().any(|report| !reported.contains(report));
        let is_viewed = summary.lead.as_ref().is_some_and(|lead| self.receive_lead(lead, now));
        let mut changes = self.receive_news(&News::of_summary(&summary), &source);
        changes.engines |= is_viewed;
        changes.suspects |= suspects;
        let is_news = before.is_none_or(|before| !has_same_news(&before, &summary));
        Received { changes, is_news }
    }

    /// Applies what a relay says of the lead. Returns whether the engines changed.
    fn receive_lead(&self, lead: &LeadReport, now: Instant) -> bool {
        let age = Duration::from_millis(lead.heard_ms.into());
        let Some(heard) = now.checked_sub(age) else { return false };
        let heard = heard.into_std();
        let mut fleet_state = self.fleet_state.borrow_mut();
        fleet_state.views.on_lead(lead.term, heard);
        let update = lead.view.as_ref();
        update
            .is_some_and(|update| fleet_state.views.on_update(update, heard) == ViewChange::Changed)
    }

    /// Records until when this gateway's data is complete, by the age of the data of gateways that know nothing newer.
    fn note_confirmed(&self, heard: &HeardSummary) {
        let own = self.knowledge.borrow().known();
        let (known, ages) = (heard.summary.known, heard.summary.store_ages);
        let ages = StoreAges {
            configuration_ms: ages.configuration_ms.filter(|_| known.config <= own.config),
            endpoints_ms: ages.endpoints_ms.filter(|_| known.endpoints_at <= own.endpoints_at),
        };
        self.confirm_ages(ages, heard.store_era, heard.heard);
    }
}
