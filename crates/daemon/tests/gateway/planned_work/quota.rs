//! A processor quota as container platforms have it: a process that has used its share of a period stands still for the
//! rest of that period.

use super::lag::now_ms;
use nix::sys::signal::{Signal, kill};
use nix::time::{ClockId, clock_getcpuclockid};
use nix::unistd::Pid;
use std::fs::File;
use std::os::unix::fs::FileExt;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

/// The period that a share is of.
const PERIOD: Duration = Duration::from_millis(100);
/// How often processor time is read.
const TICK: Duration = Duration::from_millis(1);

/// A process under a quota.
struct Throttled {
    pid: Pid,
    /// Processor time in each period.
    budget: Duration,
    /// Tells its processor time, exactly while it runs as well.
    clock: ClockId,
    /// Tells how long it waited for a processor.
    stat: File,
    period_end: Instant,
    /// Processor time at which the present period began, with what it is overdrawn.
    period_start_cpu: Duration,
    /// Since when it stands still, in Unix ms.
    stopped_ms: Option<u64>,
    pause_until: Option<Instant>,
    periods: u64,
    throttled_periods: u64,
}

/// A time in which a process stood still, in Unix ms.
#[derive(Clone, Copy, Debug)]
pub struct Standstill {
    pub pid: Pid,
    pub from_ms: u64,
    pub to_ms: u64,
}

/// Processor time of processes that are or were under a quota.
#[derive(Clone, Copy, Debug, Default)]
pub struct Usage {
    pub periods: u64,
    /// Periods in which a process stood still for a part.
    pub throttled_periods: u64,
    pub cpu: Duration,
    /// Time for which processes could have run and the machine had no processor for them.
    pub waited: Duration,
}

#[derive(Default)]
struct Shared {
    processes: Mutex<Vec<Throttled>>,
    ended: Mutex<Usage>,
    standstills: Mutex<Vec<Standstill>>,
    is_over: AtomicBool,
    /// The longest time between two looks, in microseconds.
    most_late_us: AtomicU64,
}

/// The quotas of some processes, kept by a thread until dropped.
pub struct Quotas {
    shared: Arc<Shared>,
    thread: Option<JoinHandle<()>>,
}

impl Quotas {
    pub fn start() -> Quotas {
        let shared = Arc::new(Shared::default());
        let kept = Arc::clone(&shared);
        let thread = Some(thread::spawn(move || keep(&kept)));
        Quotas { shared, thread }
    }

    /// Puts a process under a quota, whose periods begin `offset` from now.
    pub fn add(&self, pid: Pid, share: f64, offset: Duration) {
        let stat = File::open(format!("/proc/{pid}/schedstat")).expect("the process runs");
        let clock = clock_getcpuclockid(pid).expect("the process runs");
        let period_start_cpu = read_cpu(clock).expect("the process runs");
        self.lock().push(Throttled {
            pid,
            budget: PERIOD.mul_f64(share.min(1.0)),
            clock,
            stat,
            period_end: Instant::now() + offset,
            period_start_cpu,
            stopped_ms: None,
            pause_until: None,
            periods: 0,
            throttled_periods: 0,
        });
    }

    /// Pauses a process for so long.
    pub fn pause(&self, pid: Pid, lasts: Duration) {
        let until = Instant::now() + lasts;
        let mut processes = self.lock();
        for process in processes.iter_mut().filter(|process| process.pid == pid) {
            process.pause_until = Some(until);
        }
    }

    /// Runs `reap` while no signal is sent; a process that it found to have ended gets none any more.
    pub fn reap(&self, pid: Pid, reap: impl FnOnce() -> bool) -> bool {
        let mut processes = self.lock();
        let usage: Usage = processes.iter().filter(|process| process.pid == pid).map(usage).sum();
        let has_ended = reap();
        if has_ended {
            processes.retain(|process| process.pid != pid);
            let mut ended = self.shared.ended.lock().expect("no panic holds this lock");
            *ended = [*ended, usage].into_iter().sum();
        }
        has_ended
    }

    /// What all processes used so far.
    pub fn usage(&self) -> Usage {
        let ended = *self.shared.ended.lock().expect("no panic holds this lock");
        self.lock().iter().map(usage).chain([ended]).sum()
    }

    /// When processes stood still, once they went on.
    pub fn standstills(&self) -> Vec<Standstill> {
        self.shared.standstills.lock().expect("no panic holds this lock").clone()
    }

    /// The longest time between two looks: a share may be overdrawn by as much, and a process stopped for as much longer.
    pub fn most_late(&self) -> Duration {
        Duration::from_micros(self.shared.most_late_us.load(Ordering::Relaxed))
    }

    fn lock(&self) -> MutexGuard<'_, Vec<Throttled>> {
        self.shared.processes.lock().expect("no panic holds this lock")
    }
}

impl Drop for Quotas {
    fn drop(&mut self) {
        self.shared.is_over.store(true, Ordering::Relaxed);
        if let Some(thread) = self.thread.take() {
            // A panic there was printed.
            let _ = thread.join();
        }
    }
}

impl std::iter::Sum for Usage {
    fn sum<I: Iterator<Item = Usage>>(all: I) -> Usage {
        all.fold(Usage::default(), |sum, one| Usage {
            periods: sum.periods + one.periods,
            throttled_periods: sum.throttled_periods + one.throttled_periods,
            cpu: sum.cpu + one.cpu,
            waited: sum.waited + one.waited,
        })
    }
}

fn usage(process: &Throttled) -> Usage {
    let cpu = read_cpu(process.clock).unwrap_or_default();
    let waited = read_waited(&process.stat).unwrap_or_default();
    let Throttled { periods, throttled_periods, .. } = *process;
    Usage { periods, throttled_periods, cpu, waited }
}

fn keep(shared: &Shared) {
    let mut looked = Instant::now();
    while !shared.is_over.load(Ordering::Relaxed) {
        thread::sleep(TICK);
        let now = Instant::now();
        let late = u64::try_from((now - looked).as_micros()).unwrap_or(u64::MAX);
        shared.most_late_us.fetch_max(late, Ordering::Relaxed);
        looked = now;
        let mut processes = shared.processes.lock().expect("no panic holds this lock");
        let ended = processes.iter_mut().filter_map(|process| process.look(now));
        shared.standstills.lock().expect("no panic holds this lock").extend(ended);
    }
    let processes = shared.processes.lock().expect("no panic holds this lock");
    for process in processes.iter() {
        // One that has ended meanwhile needs none.
        let _ = kill(process.pid, Signal::SIGCONT);
    }
}

impl Throttled {
    /// Stops it or lets it go on. Tells of a standstill that ends.
    fn look(&mut self, now: Instant) -> Option<Standstill> {
        let cpu = read_cpu(self.clock)?;
        while now >= self.period_end {
            self.period_end += PERIOD;
            // What a period left unused is lost; what it overdrew counts for the next one.
            self.period_start_cpu = (self.period_start_cpu + self.budget).min(cpu);
            self.periods += 1;
            self.throttled_periods += u64::from(self.stopped_ms.is_some());
        }
        let is_used_up = cpu - self.period_start_cpu >= self.budget && self.budget < PERIOD;
        let is_paused = self.pause_until.is_some_and(|until| now < until);
        let must_stop = is_used_up || is_paused;
        if must_stop == self.stopped_ms.is_some() {
            return None;
        }
        let signal = if must_stop { Signal::SIGSTOP } else { Signal::SIGCONT };
        // A process that has just ended needs none.
        let _ = kill(self.pid, signal);
        let from_ms = std::mem::replace(&mut self.stopped_ms, must_stop.then(now_ms))?;
        Some(Standstill { pid: self.pid, from_ms, to_ms: now_ms() })
    }
}

/// Processor time of all threads of a process; nothing once it is gone.
fn read_cpu(clock: ClockId) -> Option<Duration> {
    clock.now().ok().map(Duration::from)
}

/// How long a process's first thread, which does all its work, waited for a processor.
fn read_waited(stat: &File) -> Option<Duration> {
    let mut buf = [0; 96];
    let len = stat.read_at(&mut buf, 0).ok()?;
    let text = std::str::from_utf8(&buf[..len]).ok()?;
    let waited = text.split_whitespace().nth(1)?.parse().ok()?;
    Some(Duration::from_nanos(waited))
}
