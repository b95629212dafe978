//! The checks of `sorrellock try`.

use eyre::{Result, WrapErr, ensure};
use serde::Deserialize;
use sorrellock_core::id::Revision;
use sorrellock_core::process::membership::Member;
use sorrellock_core::version::{Column, DEFAULT_KIND, InForce};
use sorrellock_daemon::process::Dump;
use sorrellock_local::{Caller, LocalConfig, LocalFleet, MODEL, SERVICE, WORKSPACES};
use sorrellock_ports::client::HttpObjectStore;
use sorrellock_ports::config::{ConfigStore, RowEdit};
use std::io::{Write, stdout};
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::thread;
use std::time::{Duration, Instant};

/// Tokens of the answer that is shown.
const SHOWN_TOKENS: u32 = 24;
/// Tokens of the answer in the middle of which a stage is killed.
const KILLED_TOKENS: u32 = 200;
/// Answers at the same time, of two workspaces.
const CROSSED: u32 = 40;
/// How long a change may take to be in force everywhere.
const IN_FORCE: Duration = Duration::from_secs(4);
/// How often a wait looks again.
const POLL: Duration = Duration::from_millis(5);
/// How long a graceful shutdown may take.
const SHUT_DOWN: Duration = Duration::from_secs(10);

/// A local fleet with the callers of two workspaces.
pub struct Trial {
    fleet: LocalFleet,
    treasury: Caller,
    pharmacy: Caller,
}

impl Trial {
    /// Starts the fleet.
    pub fn start() -> Result<Trial> {
        let fleet = LocalFleet::start(LocalConfig::new().with_entries(2))?;
        println!(
            "started: two entries, six engines in three stages, a plain service, two workspaces"
        );
        let (treasury, pharmacy) = (fleet.caller(0, 0), fleet.caller(0, 1));
        Ok(Trial { fleet, treasury, pharmacy })
    }

    /// Streams an answer, and compares it with that of a single machine.
    pub fn stream_answer(&self) -> Result<()> {
        let prompt = "Draft the confirmation wording for trade 4711.";
        print!("  ");
        let show = |piece: &str| {
            print!("{piece}");
            let _ = stdout().flush();
        };
        let text = self.treasury.stream(MODEL, prompt, SHOWN_TOKENS, show)?;
        println!();
        ensure!(text == self.fleet.expected(prompt, SHOWN_TOKENS), "the answer is not the model's");
        println!("ok: an answer streamed through three stages is the one a single machine gives");
        Ok(())
    }

    /// Many answers at once: each caller gets its own.
    pub fn crossed_answers(&self) -> Result<()> {
        let one = |number: u32| -> Result<()> {
            let caller = if number.is_multiple_of(2) { &self.treasury } else { &self.pharmacy };
            let prompt = format!("Explain break {number}.");
            let text = caller.stream(MODEL, &prompt, SHOWN_TOKENS, |_| {})?;
            ensure!(text == self.fleet.expected(&prompt, SHOWN_TOKENS), "answer {number} is wrong");
            Ok(())
        };
        thread::scope(|scope| -> Result<()> {
            let callers: Vec<_> =
                (0..CROSSED).map(|number| scope.spawn(move || one(number))).collect();
            callers.into_iter().try_for_each(|caller| caller.join().expect("a caller ends"))
        })?;
        println!("ok: {CROSSED} answers at once to two workspaces, none crossed");
        Ok(())
    }

    /// Kills a stage in the middle of an answer.
    pub fn kill_stage(&self) -> Result<()> {
        let prompt = "Summarise the insulin shortage.";
        let seen = AtomicU32::new(0);
        let kill_halfway = |_: &str| {
            if seen.fetch_add(1, Ordering::Relaxed) + 1 == KILLED_TOKENS / 2 {
                self.fleet.kill_busiest(1);
            }
        };
        let text = self.pharmacy.stream(MODEL, prompt, KILLED_TOKENS, kill_halfway)?;
        ensure!(text == self.fleet.expected(prompt, KILLED_TOKENS), "the answer is not whole");
        println!(
            "ok: a stage was killed after {} tokens, and the answer is whole",
            KILLED_TOKENS / 2
        );
        Ok(())
    }

    /// Calls the plain service.
    pub fn plain_service(&self) -> Result<()> {
        let path = format!("/v1/services/{SERVICE}/confirmations");
        let answer = self.treasury.send(&path, &[], r#"{"trade":4711}"#)?;
        ensure!(answer.status == 200, "status {}: {}", answer.status, answer.body);
        ensure!(answer.outcome == "done", "outcome {}", answer.outcome);
        println!("ok: a call to the plain service passed through");
        Ok(())
    }

    /// Sends a call that must not run twice again, through the other entry.
    pub fn run_once(&self) -> Result<()> {
        let path = format!("/v1/services/{SERVICE}/backorder-notes");
        let headers = [("idempotency-key", "note-17")];
        let first = self.treasury.send(&path, &headers, r#"{"packs":40}"#)?;
        let retry = self.fleet.caller(1, 0).send(&path, &headers, r#"{"packs":40}"#)?;
        let other = self.fleet.caller(1, 0).send(&path, &headers, r#"{"packs":80}"#)?;
        ensure!(first.status == 200 && !first.replayed, "{}: {}", first.status, first.body);
        ensure!(retry.status == 200 && retry.replayed, "{}: {}", retry.status, retry.body);
        ensure!(first.body == retry.body, "the retry got another answer: {}", retry.body);
        ensure!(other.status == 422, "another body: status {}: {}", other.status, other.body);
        let services = self.fleet.services.iter();
        let runs: u64 = services.map(|local| local.service.record().runs_of("note-17")).sum();
        ensure!(runs == 1, "the note ran {runs} times");
        println!("ok: a call sent again through another entry ran once, and got the kept answer");
        Ok(())
    }

    /// Sends a call that must not run twice again, after its answer was lost.
    pub fn lost_answer(&self) -> Result<()> {
        let path = format!("/v1/services/{SERVICE}/confirmations");
        let key = "confirm-4712";
        let send = || self.treasury.send(&path, &[("idempotency-key", key)], r#"{"trade":4711}"#);
        self.fleet.services[0].service.lose_answers(1);
        let first = send()?;
        ensure!(first.outcome == "unknown", "outcome {} of a lost answer", first.outcome);
        send()?;
        let services = self.fleet.services.iter();
        let runs: u64 = services.map(|local| local.service.record().runs_of(key)).sum();
        ensure!(runs == 1, "the call whose answer was lost ran {runs} times");
        println!("ok: a call whose answer was lost is told as unknown, and a retry runs nothing");
        Ok(())
    }

    /// Changes a weight, and waits until it is in force on every daemon.
    pub fn change_weight(&self) -> Result<()> {
        let store = HttpObjectStore::new(self.fleet.platform.addr());
        let config = ConfigStore::new(store, "sorrellock try");
        let edit = RowEdit::new(WORKSPACES[0].0, DEFAULT_KIND).with_cell(Column::Weight, "3");
        let start = Instant::now();
        let revision = config.set(&[edit], None)?.into_result()?.revision();
        let mut found = self.in_force(revision)?;
        while !found.is_everywhere() {
            ensure!(start.elapsed() < IN_FORCE, "in force on {} of {} only", found.at, found.of);
            thread::sleep(POLL);
            found = self.in_force(revision)?;
        }
        let ms = start.elapsed().as_millis();
        println!(
            "ok: a changed weight was in force on {} of {} daemons after {ms} ms",
            found.at, found.of
        );
        Ok(())
    }

    fn in_force(&self, revision: Revision) -> Result<InForce> {
        let state = self.fleet.entries[0].state().dump();
        let members = Vec::<Member>::deserialize(&state["members"])?;
        Ok(InForce::count(&members, revision))
    }

    /// Shuts the fleet down while an answer streams.
    pub fn shut_down(&self) -> Result<()> {
        let prompt = "Fetch the signed status.";
        let begun = AtomicBool::new(false);
        thread::scope(|scope| {
            let answer = scope.spawn(|| {
                self.treasury.stream(MODEL, prompt, KILLED_TOKENS, |_| {
                    begun.store(true, Ordering::Release);
                })
            });
            while !begun.load(Ordering::Acquire) && !answer.is_finished() {
                thread::sleep(Duration::from_millis(1));
            }
            ensure!(self.fleet.drain(SHUT_DOWN), "the shutdown took longer than {SHUT_DOWN:?}");
            let text =
                answer.join().expect("a caller ends").wrap_err("the shutdown cut an answer")?;
            ensure!(text == self.fleet.expected(prompt, KILLED_TOKENS), "the answer is not whole");
            Ok(())
        })?;
        println!("ok: a graceful shutdown cut no answer");
        Ok(())
    }
}
