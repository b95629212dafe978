//! An open load of claims, each of which runs where it was granted.

use crate::figure;
use crate::store::{Holders, beside, claim, start_holders, start_platform};
use hdrhistogram::Histogram;
use rand::RngExt;
use sorrellock_core::process::ledger::{
    Claim, ClaimAnswer, ClaimReply, HolderConfig, HolderCounts, RecordStatus, SHARDS, Stamp,
    StartTable, StartVerdict, shard_of,
};
use sorrellock_core::request::Peer;
use sorrellock_fakes::FakePlatform;
use std::collections::{BTreeMap, HashMap};
use std::sync::atomic::Ordering;
use std::sync::mpsc::{Receiver, Sender, channel};
use std::time::{Duration, Instant};

/// Parts in a hundred of the requests that are sent again through another holder.
const RETRIED_PERCENT: u32 = 5;
/// How long a claim waits for its answer before it is sent again.
const CLAIM_WAIT: Duration = Duration::from_millis(300);
/// How long after the load its last answers may come.
const TAIL: Duration = Duration::from_secs(3);

pub struct LoadConfig {
    holder: HolderConfig,
    offered_per_s: f64,
    lasts: Duration,
    kill: bool,
}

impl LoadConfig {
    /// Claims are grouped; half way through one of the two holders is killed.
    pub fn grouped(offered_per_s: f64, lasts: Duration) -> LoadConfig {
        LoadConfig { holder: HolderConfig::new(), offered_per_s, lasts, kill: true }
    }

    /// One put for each claim.
    pub fn naive(offered_per_s: f64, lasts: Duration) -> LoadConfig {
        let holder = HolderConfig { max_batch: 1, ..HolderConfig::new() };
        LoadConfig { holder, offered_per_s, lasts, kill: false }
    }
}

/// A claim that waits for its answer.
struct Open {
    claim: Claim,
    first: Instant,
    sent: Instant,
}

pub struct Load {
    holders: Vec<Holders>,
    retired: Vec<HolderCounts>,
    tx: Sender<(Instant, ClaimReply)>,
    rx: Receiver<(Instant, ClaimReply)>,
    open: BTreeMap<u64, Open>,
    besides: HashMap<Peer, StartTable<u64, u64>>,
    runs: HashMap<Stamp, u64>,
    runs_of_key: HashMap<[u8; 16], u64>,
    added: Histogram<u64>,
    done: u64,
    replayed: u64,
    refused: u64,
    unexplained: u64,
    /// As of the end of the load, without its tail.
    elapsed: Duration,
    writes: u64,
    batches: u64,
    done_in_time: u64,
}

impl Load {
    pub fn run(cfg: &LoadConfig) -> Load {
        let platform = start_platform();
        let (tx, rx) = channel();
        let holders = (1..=2).map(|me| start_holders(&platform, me, cfg.holder, &tx)).collect();
        let mut load = Load {
            holders,
            retired: Vec::new(),
            tx,
            rx,
            open: BTreeMap::new(),
            besides: HashMap::new(),
            runs: HashMap::new(),
            runs_of_key: HashMap::new(),
            added: Histogram::new_with_bounds(1, 60_000_000, 3).expect("a histogram can be made"),
            done: 0,
            replayed: 0,
            refused: 0,
            unexplained: 0,
            elapsed: Duration::ZERO,
            writes: 0,
            batches: 0,
            done_in_time: 0,
        };
        load.offer(cfg, &platform);
        load
    }

    fn offer(&mut self, cfg: &LoadConfig, platform: &FakePlatform) {
        let mut rng = rand::rng();
        let start = Instant::now();
        let mut next = start;
        let (mut sequence, mut killed) = (0u64, !cfg.kill);
        while start.elapsed() < cfg.lasts {
            if !killed && start.elapsed() > cfg.lasts / 2 {
                killed = true;
                self.kill_first(cfg, platform);
            }
            while next <= Instant::now() {
                sequence += 1;
                let again = sequence > 100 && rng.random_range(0..100) < RETRIED_PERCENT;
                let key = if again { rng.random_range(1..sequence - 50) } else { sequence };
                self.send(sequence, claim(7, sequence, key, 0));
                let gap: f64 = rng.random_range(f64::EPSILON..1.0);
                next += Duration::from_secs_f64(-gap.ln() / cfg.offered_per_s);
            }
            self.take(next);
        }
        self.elapsed = start.elapsed();
        self.batches = self.counts().batches;
        self.done_in_time = self.done;
        let counters = platform.counters();
        self.writes =
            counters.puts.load(Ordering::Acquire) + counters.deletes.load(Ordering::Acquire);
        let end = Instant::now() + TAIL;
        while !self.open.is_empty() && Instant::now() < end {
            self.take(Instant::now() + Duration::from_millis(5));
        }
    }

    /// The first daemon dies: what it had under way at the store may still take effect.
    fn kill_first(&mut self, cfg: &LoadConfig, platform: &FakePlatform) {
        let fresh = start_holders(platform, 3, cfg.holder, &self.tx);
        let old = std::mem::replace(&mut self.holders[0], fresh);
        self.retired.extend(old.counts().into_iter().map(|(_, counts)| counts));
    }

    fn send(&mut self, sequence: u64, claim: Claim) {
        let now = Instant::now();
        self.holder(&claim).claim(beside(0), claim.clone());
        self.open.insert(sequence, Open { claim, first: now, sent: now });
    }

    fn holder(&self, claim: &Claim) -> &Holders {
        &self.holders[usize::from(shard_of(&claim.key, SHARDS)) % self.holders.len()]
    }

    /// Takes answers until `until`, and sends claims again that had none.
    fn take(&mut self, until: Instant) {
        loop {
            let wait = until.saturating_duration_since(Instant::now());
            match self.rx.recv_timeout(wait.min(Duration::from_millis(20))) {
                Ok((at, answered)) => self.on_answer(at, answered),
                Err(_) if Instant::now() >= until => break,
                Err(_) => {}
            }
        }
        let now = Instant::now();
        let late = self.open.iter().take_while(|(_, open)| now - open.first > CLAIM_WAIT);
        let late: Vec<u64> =
            late.filter(|(_, open)| now - open.sent > CLAIM_WAIT).map(|(n, _)| *n).collect();
        for sequence in late {
            let Some(open) = self.open.get_mut(&sequence) else { continue };
            open.sent = now;
            let claim = open.claim.clone();
            self.holder(&claim).claim(beside(0), claim.clone());
        }
    }

    fn on_answer(&mut self, at: Instant, answered: ClaimReply) {
        let sequence = answered.owner.sequence;
        let Some(open) = self.open.get(&sequence) else { return };
        if open.claim.after != answered.after {
            return;
        }
        let Some(open) = self.open.remove(&sequence) else { return };
        match answered.answer {
            ClaimAnswer::Granted(stamp) => {
                self.added.saturating_record((at - open.first).as_micros() as u64);
                self.run_granted(&open.claim, &stamp);
            }
            ClaimAnswer::Existing { stamp, target } => self.ask(open, sequence, &stamp, target),
            ClaimAnswer::Refused { .. } => self.refused += 1,
            ClaimAnswer::Mismatch => self.unexplained += 1,
        }
    }

    fn run_granted(&mut self, claim: &Claim, stamp: &Stamp) {
        let table =
            self.besides.entry(claim.target).or_insert_with(|| StartTable::new(65_536, 1 << 24));
        if table.start(stamp) != StartVerdict::Start {
            self.unexplained += 1;
            return;
        }
        self.done += 1;
        *self.runs_of_key.entry(stamp.key).or_default() += 1;
        self.runs.insert(*stamp, self.done);
        table.end(stamp, self.done, 8);
    }

    /// A retry: gets the kept answer, or goes on where the run never came.
    fn ask(&mut self, open: Open, sequence: u64, stamp: &Stamp, target: Peer) {
        let table = self.besides.entry(target).or_insert_with(|| StartTable::new(65_536, 1 << 24));
        match table.ask(stamp, true, sequence) {
            RecordStatus::Ended(run) if self.runs.get(stamp) == Some(&run) => self.replayed += 1,
            RecordStatus::Tombstoned => {
                self.send(sequence, Claim { after: stamp.attempt, ..open.claim });
            }
            _ => self.unexplained += 1,
        }
    }

    fn counts(&self) -> HolderCounts {
        let live = self.holders.iter().flat_map(|holders| holders.counts());
        let all = live.map(|(_, counts)| counts).chain(self.retired.iter().copied());
        all.fold(HolderCounts::default(), |sum, counts| HolderCounts {
            batches: sum.batches + counts.batches,
            conflicts: sum.conflicts + counts.conflicts,
            ..sum
        })
    }

    fn double_runs(&self) -> usize {
        self.runs_of_key.values().filter(|runs| **runs > 1).count()
    }

    pub fn print(&self, name: &str) {
        let seconds = self.elapsed.as_secs_f64();
        let counts = self.counts();
        let ms = |quantile: f64| self.added.value_at_quantile(quantile) as f64 / 1_000.0;
        figure(&format!("{name}.commits_per_s"), self.batches as f64 / seconds, "1/s");
        figure(&format!("{name}.intents_per_s"), self.done_in_time as f64 / seconds, "1/s");
        figure(&format!("{name}.store_writes_per_s"), self.writes as f64 / seconds, "1/s");
        figure(&format!("{name}.added_ms.p50"), ms(0.5), "ms");
        figure(&format!("{name}.added_ms.p99"), ms(0.99), "ms");
        figure(&format!("{name}.double_runs"), self.double_runs() as f64, "keys");
        figure(&format!("{name}.replayed"), self.replayed as f64, "requests");
        figure(&format!("{name}.refused"), self.refused as f64, "requests");
        figure(&format!("{name}.conflicts"), counts.conflicts as f64, "puts");
    }

    /// Whether every request had its outcome and no key ran twice.
    pub fn check(&self) -> bool {
        let open = self.open.len();
        if open > 0 || self.unexplained > 0 {
            eprintln!("{open} requests are open, {} ended in no way known", self.unexplained);
        }
        open == 0 && self.unexplained == 0 && self.double_runs() == 0
    }
}
