//! Checks requests against the limits of their rows, and acts as keeper of the limits assigned to this entry.

use super::{Checked, KnownEntries, Parked, PendingRequest};
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
    mean_generated: Mean,
    entries: KnownEntries,
    /// Membership view that `entries` was derived from.
    entries_view: Option<Arc<MembershipView>>,
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
            mean_generated: Mean::default(),
            entries: KnownEntries::only(me),
            entries_view: None,
        };
        LimitDesk { me, link, agent, config, counters, journal, state: Mutex::new(state) }
    }

    /// Checks a new request. It is not among the results while it waits for a keeper's grant.
    pub fn check(&self, pending: PendingRequest) -> Vec<Checked> {
        let key = LimitKey::of(&pending.row);
        let mut state = self.state.lock().unwrap();
        self.follow_entries(&mut state);
        let keeper_view = state.find_keeper(&key);
        let tokens = state.expected_tokens(&pending.work);
        let verdict = state.table.arrive(&key, Limits::of(&pending.row), tokens, keeper_view);
        let mut checked = Vec::new();
        match verdict {
            Spend::Allowed => checked.push(state.pass(&key, pending, tokens)),
            Spend::Refused(wait) => checked.push(refused(pending, wait)),
            Spend::Asked => {
                self.counters.count(Count::LimitWaits);
                let crowded = state.parked.push(&key, pending, tokens);
                checked.extend(crowded.map(|pending| refused(pending, RETRY_AFTER_CROWD)));
            }
        }
        checked.extend(self.request_grant(&mut state, &key));
        checked
    }

    /// Settles what a passed request spent, after it ended or turned out not to run.
    pub fn ended(&self, sequence: Sequence, ended: Ended) {
        let mut state = self.state.lock().unwrap();
        let Some(Spent { key, prompt, tokens }) = state.spent.remove(&sequence) else { return };
        match ended {
            Ended::Ran { work } => {
                state.mean_generated.add((work - prompt).max(0.0));
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
        checked.extend(self.request_grant(&mut state, &grant.key));
        checked
    }

    /// Updates the entries from membership, renews grants and returns unused shares.
    pub fn refresh(&self) -> Vec<Checked> {
        let mut state = self.state.lock().unwrap();
        self.follow_entries(&mut state);
        let mut checked = Vec::new();
        for key in state.table.keys() {
            checked.extend(state.resolve(&key));
            checked.extend(self.request_grant(&mut state, &key));
        }
        checked
    }

    /// Updates the entries from the current membership view. An entry that does so later than the others takes itself
    /// for the keeper of all limits and grants each of them a second time.
    fn follow_entries(&self, state: &mut State) {
        let view = self.agent.view();
        if state.entries_view.as_ref().is_some_and(|entries_view| Arc::ptr_eq(entries_view, &view))
        {
            return;
        }
        let entries = KnownEntries::of(&view);
        state.entries_view = Some(view);
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
    fn request_grant(&self, state: &mut State, key: &LimitKey) -> Vec<Checked> {
        let (keeper_view, waiting) = (state.find_keeper(key), state.parked.len_of_key(key));
        let Some(ask) = state.table.ask(key, waiting, keeper_view) else { return Vec::new() };
        let Some(keeper) = state.entries.find(keeper_view.keeper) else { return Vec::new() };
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
    fn find_keeper(&self, key: &LimitKey) -> KeeperView {
        self.entries.find_keeper(key)
    }

    fn expected_tokens(&self, work: &Work) -> f64 {
        let Work::Pipeline(new) = work else { return 0.0 };
        let max_generated = f64::from(new.asked.max_tokens);
        work.prompt_tokens() + self.mean_generated.get().unwrap_or(max_generated).min(max_generated)
    }

    fn pass(&mut self, key: &LimitKey, pending: PendingRequest, tokens: f64) -> Checked {
        let prompt = pending.work.prompt_tokens();
        let spent = Spent { key: key.clone(), prompt, tokens };
        self.spent.insert(pending.work.sequence(), spent);
        Checked::Passed(pending)
    }

    /// Rechecks the requests that wait for a grant of a key, in order.
    fn resolve(&mut self, key: &LimitKey) -> Vec<Checked> {
        let keeper_view = self.find_keeper(key);
        let now = SystemClock.now();
        let mut checked = Vec::new();
        while let Some((pending, tokens)) = self.parked.pop(key) {
            if pending.work.deadline() <= now || pending.responder.is_gone() {
                checked.push(expired(pending));
                continue;
            }
            match self.table.spend(key, tokens, keeper_view) {
                Spend::Allowed => checked.push(self.pass(key, pending, tokens)),
                Spend::Refused(wait) => checked.push(refused(pending, wait)),
                Spend::Asked => {
                    self.parked.put_back(key, (pending, tokens));
                    break;
                }
            }
        }
        checked
    }
}

fn refused(pending: PendingRequest, wait: Duration) -> Checked {
    let row = &pending.row;
    let detail = format!(
        "workspace {} is at its limit for {}: {} requests and {} tokens a second, {} in flight",
        row.workspace, row.kind, row.requests_per_s, row.tokens_per_s, row.in_flight
    );
    let not_run = NotRun::never_sent(Refusal::Limit, detail).with_retry_after(wait);
    Checked::Refused(pending, not_run)
}

fn expired(pending: PendingRequest) -> Checked {
    let refusal = if pending.responder.is_gone() { Refusal::Cancelled } else { Refusal::Deadline };
    let detail = "it waited for a grant of its workspace's limit";
    Checked::Refused(pending, NotRun::never_sent(refusal, detail))
}
