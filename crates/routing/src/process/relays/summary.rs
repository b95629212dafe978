//! What the gateways of a data centre, or of all, report together.

use crate::process::crashes::CrashReports;
use crate::process::lead_view::ViewUpdate;
use crate::process::limits::LimitReport;
use crate::process::{EndedIncarnation, HeadLoad, Incarnation, Known, ReportedSuspect, Revision};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, HashSet};
use std::hash::Hash;
use std::time::Duration;

/// Maximum number of elements in each list of news in a summary: a message has to fit into a datagram.
pub const MAX_NEWS: usize = 256;

/// The lead, as gateways of a data centre know it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LeadReport {
    /// Its term.
    pub term: Revision,
    /// Milliseconds since its last message.
    pub heard_ms: u32,
    /// The latest changes of its view.
    pub view: Option<ViewUpdate>,
}

/// How many gateways there are, and when they are ready.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct GatewayCount {
    /// Number of live gateways.
    pub live: u32,
    /// Number of gateways that were heard within the windows that gateways share.
    pub sharers: u32,
    /// Milliseconds until half of them are ready; `None` without any.
    pub half_ready_in_ms: Option<u32>,
}

/// Age of the data that the store confirmed as complete, of those gateways that know the newest state.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoreAges {
    /// Milliseconds for the configuration; `None` if no gateway has it from the store.
    pub configuration_ms: Option<u32>,
    /// The same for the endpoints.
    pub endpoints_ms: Option<u32>,
}

/// What several gateways report together.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Summary {
    /// The gateways by data centre.
    pub gateways: BTreeMap<String, GatewayCount>,
    /// The newest state that any of them knows.
    pub known: Known,
    /// Age of that state.
    pub store_ages: StoreAges,
    /// Load of their streams.
    pub loads: Vec<HeadLoad>,
    /// Engines that any of them suspects.
    pub suspects: Vec<ReportedSuspect>,
    /// Endpoints that said to one of them that they accept no more requests.
    pub leaving: Vec<Incarnation>,
    /// Incarnations whose end one of them found.
    pub ended: Vec<EndedIncarnation>,
    /// Endpoints without an entry that said to one of them that they leave.
    pub left: Vec<Incarnation>,
    /// Endpoints that had left before the era of `known`.
    pub left_before_era: Vec<Incarnation>,
    /// The lead, if one of them is it or receives its messages.
    pub lead: Option<LeadReport>,
    /// What they found of requests that crash endpoints.
    pub crashes: CrashReports,
    /// Limits that endpoints named.
    pub limits: Vec<LimitReport>,
}

impl Summary {
    /// Returns what several summaries report together, each with the time since it was heard.
    pub fn merged<'a>(parts: impl IntoIterator<Item = (&'a Summary, Duration)>) -> Summary {
        let mut whole = Summary::default();
        for (part, since) in parts {
            whole.add(part, since);
        }
        whole
    }

    /// Adds a summary that was heard `since` ago.
    pub fn add(&mut self, part: &Summary, since: Duration) {
        let since_ms = u32::try_from(since.as_millis()).unwrap_or(u32::MAX);
        for (data_centre, count) in &part.gateways {
            self.gateways.entry(data_centre.clone()).or_default().add(count, since_ms);
        }
        self.add_known(part, since_ms);
        add_loads(&mut self.loads, &part.loads);
        for suspect in part.suspects.iter().take(MAX_NEWS) {
            if self.suspects.len() < MAX_NEWS && !self.suspects.contains(suspect) {
                self.suspects.push(suspect.clone());
            }
        }
        add_news(&mut self.leaving, &part.leaving);
        add_news(&mut self.ended, &part.ended);
        add_news(&mut self.left, &part.left);
        self.add_lead(part.lead.as_ref(), since_ms);
        add_news(&mut self.crashes.crashes, &part.crashes.crashes);
        add_news(&mut self.crashes.harmless, &part.crashes.harmless);
        add_news(&mut self.crashes.running, &part.crashes.running);
        add_limits(&mut self.limits, &part.limits, since_ms);
    }

    fn add_known(&mut self, part: &Summary, since_ms: u32) {
        let (own, other) = (self.known, part.known);
        let aged = |age: Option<u32>| age.map(|ms| ms.saturating_add(since_ms));
        let configuration_ms = aged(part.store_ages.configuration_ms);
        let endpoints_ms = aged(part.store_ages.endpoints_ms);
        let ages = &mut self.store_ages;
        ages.configuration_ms =
            of_newest(own.config, ages.configuration_ms, other.config, configuration_ms);
        ages.endpoints_ms =
            of_newest(own.endpoints_at, ages.endpoints_ms, other.endpoints_at, endpoints_ms);
        let (own_era, other_era) = (own.endpoints_at.era, other.endpoints_at.era);
        if other_era > own_era {
            self.left_before_era.clear();
        }
        if other_era >= own_era {
            add_news(&mut self.left_before_era, &part.left_before_era);
        }
        self.known = Known {
            config: own.config.max(other.config),
            endpoints_at: own.endpoints_at.max(other.endpoints_at),
        };
    }

    /// Takes over what a summary says of the lead if it is newer: of a later term, or heard later.
    fn add_lead(&mut self, lead: Option<&LeadReport>, since_ms: u32) {
        let Some(lead) = lead else { return };
        let lead = LeadReport { heard_ms: lead.heard_ms.saturating_add(since_ms), ..lead.clone() };
        let newness = |lead: &LeadReport| (lead.term, std::cmp::Reverse(lead.heard_ms));
        if self.lead.as_ref().is_none_or(|known| newness(known) < newness(&lead)) {
            self.lead = Some(lead);
        }
    }

    /// Returns the number of live gateways.
    pub fn live(&self) -> usize {
        self.gateways.values().map(|count| count.live as usize).sum()
    }

    /// Returns the number of gateways that were heard within the windows that gateways share.
    pub fn sharers(&self) -> usize {
        self.gateways.values().map(|count| count.sharers as usize).sum()
    }

    /// Returns whether it holds anything that gateways should learn at once.
    pub fn has_news(&self) -> bool {
        let is_quiet = self.suspects.is_empty()
            && self.leaving.is_empty()
            && self.ended.is_empty()
            && self.left.is_empty()
            && self.crashes == CrashReports::default();
        !is_quiet
    }

    /// Returns the loads without those that one gateway reported itself.
    pub fn loads_without(&self, own: &[HeadLoad]) -> Vec<HeadLoad> {
        let mut loads = self.loads.clone();
        for part in own {
            if let Some(load) = loads.iter_mut().find(|load| load.head == part.head) {
                load.tokens = load.tokens.saturating_sub(part.tokens);
                load.streams = load.streams.saturating_sub(part.streams);
            }
        }
        loads.retain(|load| load.streams > 0 || load.tokens > 0);
        loads
    }
}

impl GatewayCount {
    /// Returns the count of one gateway that is ready after `ready_in_ms`.
    pub fn one(ready_in_ms: u32) -> GatewayCount {
        GatewayCount { live: 1, sharers: 1, half_ready_in_ms: Some(ready_in_ms) }
    }

    /// Adds other gateways of the data centre. Half of them are ready when half of the larger group are.
    fn add(&mut self, other: &GatewayCount, since_ms: u32) {
        let left = |ms: u32| ms.saturating_sub(since_ms);
        let is_larger = other.live > self.live;
        if self.half_ready_in_ms.is_none() || is_larger {
            self.half_ready_in_ms = other.half_ready_in_ms.map(left);
        }
        self.live = self.live.saturating_add(other.live);
        self.sharers = self.sharers.saturating_add(other.sharers);
    }
}

/// Returns the age of the newer of two states; of the same state, the lower age.
fn of_newest<T: Ord>(
    own: T,
    own_age: Option<u32>,
    other: T,
    other_age: Option<u32>,
) -> Option<u32> {
    match own.cmp(&other) {
        std::cmp::Ordering::Greater => own_age,
        std::cmp::Ordering::Less => other_age,
        std::cmp::Ordering::Equal => own_age.into_iter().chain(other_age).min(),
    }
}

fn add_news<T: Clone + Eq + Hash>(whole: &mut Vec<T>, part: &[T]) {
    if part.is_empty() {
        return;
    }
    let known: HashSet<T> = whole.iter().cloned().collect();
    let new = part.iter().filter(|news| !known.contains(news));
    whole.extend(new.take(MAX_NEWS.saturating_sub(known.len())).cloned());
}

fn add_loads(whole: &mut Vec<HeadLoad>, part: &[HeadLoad]) {
    for load in part {
        match whole.iter_mut().find(|known| known.head == load.head) {
            Some(known) => {
                known.tokens = known.tokens.saturating_add(load.tokens);
                known.streams = known.streams.saturating_add(load.streams);
            }
            None => whole.push(load.clone()),
        }
    }
}

/// Keeps the latest report of each endpoint.
fn add_limits(whole: &mut Vec<LimitReport>, part: &[LimitReport], since_ms: u32) {
    for report in part {
        let report =
            LimitReport { age_ms: report.age_ms.saturating_add(since_ms), ..report.clone() };
        match whole.iter().position(|known| known.endpoint == report.endpoint) {
            Some(index) if whole[index].age_ms > report.age_ms => whole[index] = report,
            None if whole.len() < MAX_NEWS => whole.push(report),
            Some(_) | None => {}
        }
    }
}
