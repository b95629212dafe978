//! What gateways report to each other of requests that crash endpoints.

use super::crash_guard::{CrashEvent, CrashGuard, HeldSource};
use super::crash_suspects::SuspectRecord;
use super::held_request::{HeldRequest, UnixMillis};
use crate::process::Incarnation;
use crate::request::ContentId;
use serde::{Deserialize, Serialize};
use std::time::{Duration, Instant};

/// How long a finding is reported to the other gateways: several messages, of which some are lost. Gateways that were
/// out of reach read the records of another one.
const REPORT_FOR: Duration = Duration::from_millis(1_500);
/// Maximum number of contents in a message, 16 bytes each.
pub(super) const MAX_REPORTED: usize = 1_024;

/// An endpoint that ended, and the requests that ran on it.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct CrashReport {
    /// The endpoint.
    pub endpoint: Incarnation,
    /// The contents of the requests.
    pub contents: Vec<ContentId>,
}

/// What a gateway found recently.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashReports {
    /// Endpoints that ended.
    pub crashes: Vec<CrashReport>,
    /// Suspects that ran without harm.
    pub harmless: Vec<ContentId>,
    /// Requests one crash short of being held back that the gateway runs now.
    pub running: Vec<ContentId>,
}

/// What a gateway knows of requests that crash endpoints.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashRecords {
    /// Requests that are held back, or were until they were released.
    pub held: Vec<HeldRequest>,
    /// Requests under which fewer endpoints ended.
    pub suspects: Vec<SuspectRecord>,
}

/// Summary of a gateway's [`CrashRecords`]. Gateways with the same summary know the same.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashDigest {
    held: u64,
    suspects: u64,
}

impl CrashGuard {
    /// Returns what this gateway found recently, for the others.
    pub fn reports(&mut self, now: Instant) -> CrashReports {
        self.crashes.retain(|(_, at)| now.duration_since(*at) < REPORT_FOR);
        self.harmless.retain(|(_, at)| now.duration_since(*at) < REPORT_FOR);
        let mut left = MAX_REPORTED;
        let mut crashes = Vec::new();
        // The latest first, where there are too many for a message.
        for (report, _) in self.crashes.iter().rev() {
            if report.contents.len() > left {
                break;
            }
            left -= report.contents.len();
            crashes.push(report.clone());
        }
        let harmless = self.harmless.iter().rev().take(left);
        let harmless = harmless.map(|(content, _)| *content).collect();
        CrashReports { crashes, harmless, running: self.running_at_last_chance(now) }
    }

    fn running_at_last_chance(&self, now: Instant) -> Vec<ContentId> {
        if self.suspects.is_empty() {
            return Vec::new();
        }
        let mut running: Vec<ContentId> =
            self.runs.undecided(now).filter(|one| self.suspects.is_last_chance(*one)).collect();
        running.sort();
        running.dedup();
        running.truncate(MAX_REPORTED);
        running
    }

    /// Applies what another gateway found. Reports may come several times, late and in any order.
    pub fn on_reports(&mut self, reports: &CrashReports, now: Instant, unix: UnixMillis) {
        for content in &reports.harmless {
            self.suspects.excuse_all(*content, &[]);
            self.running_elsewhere.remove(content);
        }
        for content in &reports.running {
            self.running_elsewhere.insert(*content, now);
        }
        for report in &reports.crashes {
            for content in &report.contents {
                self.count(*content, &report.endpoint, None, now);
            }
        }
        if !reports.crashes.is_empty() {
            self.hold_convicted(now, unix);
        }
    }

    /// Returns what this gateway has, for another one.
    pub fn records(&self, now: Instant) -> CrashRecords {
        let held = self.held.iter().cloned().collect();
        CrashRecords { held, suspects: self.suspects.records(now) }
    }

    /// Returns the summary of what this gateway has.
    pub fn digest(&self) -> CrashDigest {
        CrashDigest { held: self.held.hash(), suspects: self.suspects.hash() }
    }

    /// Merges what another gateway has.
    pub fn merge_records(&mut self, records: CrashRecords, now: Instant, unix: UnixMillis) {
        self.merge(records.held, HeldSource::Gateway, unix);
        for record in records.suspects {
            if !self.held.get(record.content).is_some_and(HeldRequest::is_held) {
                self.suspects.merge(record, now);
            }
        }
        self.hold_convicted(now, unix);
    }

    /// Merges records of held requests that another gateway or the store has.
    pub fn merge(&mut self, records: Vec<HeldRequest>, source: HeldSource, unix: UnixMillis) {
        for record in records {
            let Some(held) = self.held.merge(record, unix) else { continue };
            match held.is_held() {
                true => {
                    self.suspects.excuse_all(held.content, &[]);
                    self.events.push(CrashEvent::Held { held: held.clone(), source });
                }
                false => {
                    let content = held.content;
                    self.on_released(content, source);
                }
            }
        }
    }
}
