//! Callers that stream answers and note when each token came.

use sorrellock_local::{LocalFleet, MODEL};
use std::sync::Mutex;
use std::thread::{self, Scope, ScopedJoinHandle};
use std::time::{Duration, Instant};

/// How often a wait looks again.
const POLL: Duration = Duration::from_millis(1);

/// One answer on its way.
pub struct Stream {
    prompt: String,
    tokens: u32,
    times: Mutex<Vec<Instant>>,
}

impl Stream {
    /// When the first token after `at` came.
    pub fn next_after(&self, at: Instant) -> Option<Instant> {
        self.times().iter().copied().find(|time| *time > at)
    }

    /// When token `number`, counted from 0, came.
    pub fn time_of(&self, number: usize) -> Option<Instant> {
        self.times().get(number).copied()
    }

    /// Tokens that came so far.
    pub fn count(&self) -> usize {
        self.times().len()
    }

    fn times(&self) -> std::sync::MutexGuard<'_, Vec<Instant>> {
        self.times.lock().unwrap()
    }

    /// Streams it; false if it did not come whole.
    fn run(&self, fleet: &LocalFleet, workspace: usize) -> bool {
        let on_text = |_: &str| self.times().push(Instant::now());
        let text = fleet.caller(0, workspace).stream(MODEL, &self.prompt, self.tokens, on_text);
        text.is_ok_and(|text| text == fleet.expected(&self.prompt, self.tokens))
    }
}

/// Several answers on their way at once.
pub struct Streams {
    /// All of them.
    pub all: Vec<Stream>,
}

impl Streams {
    /// `count` answers of `tokens` tokens each.
    pub fn new(name: &str, count: usize, tokens: u32) -> Streams {
        let stream = |number: usize| Stream {
            prompt: format!("{name} {number}: explain the break."),
            tokens,
            times: Mutex::default(),
        };
        Streams { all: (0..count).map(stream).collect() }
    }

    /// Starts all; each thread tells whether its answer came whole.
    pub fn start<'s>(
        &'s self,
        scope: &'s Scope<'s, '_>,
        fleet: &'s LocalFleet,
    ) -> Vec<ScopedJoinHandle<'s, bool>> {
        let start = |(number, stream): (usize, &'s Stream)| {
            scope.spawn(move || stream.run(fleet, number % 2))
        };
        self.all.iter().enumerate().map(start).collect()
    }

    /// Waits until every answer has `tokens` tokens.
    pub fn wait_for(&self, tokens: usize) {
        while self.all.iter().any(|stream| stream.count() < tokens) {
            thread::sleep(POLL);
        }
    }

    /// From `at` to the next token, for the `most` answers that waited longest.
    pub fn longest_waits(&self, at: Instant, most: usize) -> Vec<Duration> {
        let next = |stream: &Stream| stream.next_after(at).map(|time| time - at);
        let mut waits: Vec<Duration> = self.all.iter().filter_map(next).collect();
        waits.sort_unstable_by(|a, b| b.cmp(a));
        waits.truncate(most);
        waits
    }
}
