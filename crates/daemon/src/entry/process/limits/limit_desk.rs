//! Checks requests against the limits of their rows, and acts as keeper of the limits assigned to this entry.

use super::{Asking, Checked, KnownEntries, Parked};
use crate::entry::process::Work;
use crate::process::{ConfigAgent, Count, Counters, FleetAgent, Journal};
use serde_json::{Value, json};
use sorrellock_core::clock::{Clock, SystemClock};
use sorrellock_core::id::{Incarnation, Sequence};
use sorrellock_core::process::admission::{Ended, Mean};
use sorrellock_core::process::grants::{
    Grant, GrantAsk, Keeper, KeeperView, LimitKey, LimitTable, Limits, Spend, StartLevel,
};
use sorrellock_core::process::membership::MembershipView;
use sorrellock_core::request::{NotRun, Peer, Refusal};
use sorrellock_wire::connection::Link;
use sorrellock_wire::message::{GrantMessage, Message};
use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Retry delay sent to callers when too many requests wait for the keeper's grant.
const RETRY_AFTER_CROWD: Duration = Duration::from_secs(1);

/// Checks requests against the limits of their rows, and acts as keeper of the limits assigned to this entry.
pub struct LimitDesk<L> {
    me: Peer,
    link: Arc<L>,
    agent: Arc<FleetAgent>,
    config: Arc<ConfigAgent>,
    counters: Arc<Counters>,
    journal: Arc<Journal>,
    state: Mutex<State>,
}

struct State {
    table: LimitTable<SystemClock>,
    keeper: Keeper<SystemClock>,
    parked: Parked,
    /// Amount spent for each request in progress.
    spent: HashMap<Sequence, Spent>,
    /// Mean number of tokens generated per request.
    made: Mean,
    entries: KnownEntries,
    /// Membership view that `entries` was derived from.
    followed: Option<Arc<MembershipView>>,
}

struct Spent {
    key: LimitKey,
    prompt: f64,
    tokens: f64,
}

impl<L: Link> LimitDesk<L> {
    /// Creates a desk without grants that knows no other entry.
    pub fn new(
        me: Peer,
        link: Arc<L>,
        agent: Arc<FleetAgent>,
        config: Arc<ConfigAgent>,
        counters: Arc<Counters>,
        journal: Arc<Journal>,
    ) -> LimitDesk<L> {
        let state = State {
            table: LimitTable::new(SystemClock),
            keeper: Keeper::new(SystemClock, StartLevel::Full),
            parked: Parked::default(),
            spent: HashMap::new(),
            made: Mean::default(),
            entries: KnownEntries::only(me),
            followed: None,
        };
        LimitDesk { me, link, agent, config, counters, journal, state: Mutex::new(state) }
    }

    /// Checks a new request. It is not among the results while it waits for a keeper's grant.
    pub fn check(&self, asking: Asking) -> Vec<Checked> {
        let key = LimitKey::of(&asking.row);
        let mut state = self.state.lock().unwrap();
        self.follow_entries(&mut state);
        let by = state.keeping(&key);
        let tokens = state.expected_tokens(&asking.work);
        let verdict = state.table.arrive(&key, Limits::of(&asking.row), tokens, by);
        let mut checked = Vec::new();
        match verdict {
            Spend::Allowed => checked.push(state.pass(&key, asking, tokens)),
            Spend::Refused(wait) => checked.push(refused(asking, wait)),
            Spend::Asked => {
                self.counters.count(Count::LimitWaits);
                let crowded = state.parked.push(&key, asking, tokens);
                checked.extend(crowded.map(|asking| refused(asking, RETRY_AFTER_CROWD)));
            }
        }
        checked.extend(self.ask(&mut state, &key));
        checked
    }

    /// Settles what a passed request spent, after it ended or turned out not to run.
    pub fn ended(&self, sequence: Sequence, ended: Ended) {
        let mut state = self.state.lock().unwrap();
        let Some(Spent { key, prompt, tokens }) = state.spent.remove(&sequence) else { return };
        match ended {
            Ended::Ran { work } => {
                state.made.add((work - prompt).max(0.0));
                state.table.end(&key, tokens, work);
            }
            Ended::RanFor => state.table.end(&key, tokens, tokens),
            Ended::NoCapacity | Ended::NotRun => state.table.undo(&key, tokens),
        }
    }

    /// Answers another entry's grant request.
    pub fn on_ask(&self, from: Peer, ask: &GrantAsk) {
        let mut state = self.state.lock().unwrap();
        self.follow_entries(&mut state);
        let grant = self.answer(&mut state, from.incarnation, ask);
        drop(state);
        if let Some(grant) = grant {
            self.send(from, GrantMessage::Grant(grant));
        }
    }

    /// Applies a keeper's grant and returns the requests that it decides.
    pub fn on_grant(&self, from: Incarnation, grant: &Grant) -> Vec<Checked> {
        let mut state = self.state.lock().unwrap();
        if !state.table.take(from, grant) {
            self.counters.count(Count::GrantsLate);
            return Vec::new();
        }
        let mut checked = state.resolve(&grant.key);
        checked.extend(self.ask(&mut state, &grant.key));
        checked
    }

    /// Updates the entries from membership, renews grants and returns unused shares.
    pub fn refresh(&self) -> Vec<Checked> {
        let mut state = self.state.lock().unwrap();
        self.follow_entries(&mut state);
        let mut checked = Vec::new();
        for key in state.table.keys() {
            checked.extend(state.resolve(&key));
            checked.extend(self.ask(&mut state, &key));
        }
        checked
    }

    /// Updates the entries from the current membership view. An entry that does so later than the others takes itself
    /// for the keeper of all limits and grants each of them a second time.
    fn follow_entries(&self, state: &mut State) {
        let view = self.agent.view();
        if state.followed.as_ref().is_some_and(|followed| Arc::ptr_eq(followed, &view)) {
            return;
        }
        let entries = KnownEntries::of(&view);
        state.followed = Some(view);
        if state.entries != entries {
            self.journal.note("limit keepers changed", None, "members", entries.to_string());
            state.entries = entries;
            state.keeper.members_changed();
        }
    }

    /// Returns the state as JSON.
    pub fn dump(&self) -> Value {
        let mut state = self.state.lock().unwrap();
        self.follow_entries(&mut state);
        json!({
            "shares": state.table.len(),
            "accounts_kept": state.keeper.accounts(),
            "waiting": state.parked.len(),
            "entries": state.entries.to_string(),
        })
    }

    /// Sends the grant request of a key, if one is due. Where this entry is itself the keeper, the grant applies at
    /// once and the requests that it decides are returned.
    fn ask(&self, state: &mut State, key: &LimitKey) -> Vec<Checked> {
        let (by, waiting) = (state.keeping(key), state.parked.of_key(key));
        let Some(ask) = state.table.ask(key, waiting, by) else { return Vec::new() };
        let Some(keeper) = state.entries.find(by.keeper) else { return Vec::new() };
        self.counters.count(Count::GrantsAsked);
        if keeper != self.me {
            self.send(keeper, GrantMessage::Ask(ask));
            return Vec::new();
        }
        if let Some(grant) = self.answer(state, self.me.incarnation, &ask) {
            state.table.take(self.me.incarnation, &grant);
        }
        state.resolve(key)
    }

    fn answer(&self, state: &mut State, from: Incarnation, ask: &GrantAsk) -> Option<Grant> {
        let row = self.config.view().row(&ask.key.workspace, &ask.key.kind);
        state.keeper.answer(from, ask, Limits::of(&row))
    }

    fn send(&self, to: Peer, message: GrantMessage) {
        if self.link.send(to, Message::Grant(message)).is_err() {
            self.counters.count(Count::SendsRefused);
        }
    }
}

impl State {
    fn keeping(&self, key: &LimitKey) -> KeeperView {
        self.entries.keeping(key)
    }

    fn expected_tokens(&self, work: &Work) -> f64 {
        let Work::Pipeline(new) = work else { return 0.0 };
        let most = f64::from(new.asked.max_tokens);
        work.prompt_tokens() + self.made.get().unwrap_or(most).min(most)
    }

    fn pass(&mut self, key: &LimitKey, asking: Asking, tokens: f64) -> Checked {
        let prompt = asking.work.prompt_tokens();
        let spent = Spent { key: key.clone(), prompt, tokens };
        self.spent.insert(asking.work.sequence(), spent);
        Checked::Passed(asking)
    }

    /// Rechecks the requests that wait for a grant of a key, in order.
    fn resolve(&mut self, key: &LimitKey) -> Vec<Checked> {
        let by = self.keeping(key);
        let now = SystemClock.now();
        let mut checked = Vec::new();
        while let Some((asking, tokens)) = self.parked.pop(key) {
            if asking.work.deadline() <= now || asking.responder.is_gone() {
                checked.push(late(asking));
                continue;
            }
            match self.table.spend(key, tokens, by) {
                Spend::Allowed => checked.push(self.pass(key, asking, tokens)),
                Spend::Refused(wait) => checked.push(refused(asking, wait)),
                Spend::Asked => {
                    self.parked.put_back(key, (asking, tokens));
                    break;
                }
            }
        }
        checked
    }
}

fn refused(asking: Asking, wait: Duration) -> Checked {
    let row = &asking.row;
    let detail = format!(
        "workspace {} is at its limit for {}: {} requests and {} tokens a second, {} in flight",
        row.workspace, row.kind, row.requests_per_s, row.tokens_per_s, row.in_flight
    );
    let not_run = NotRun::never_sent(Refusal::Limit, detail).with_retry_after(wait);
    Checked::Refused(asking, not_run)
}

fn late(asking: Asking) -> Checked {
    let refusal = if asking.responder.is_gone() { Refusal::Cancelled } else { Refusal::Deadline };
    let detail = "it waited for a grant of its workspace's limit";
    Checked::Refused(asking, NotRun::never_sent(refusal, detail))
}
