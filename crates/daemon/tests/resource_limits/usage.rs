//! What a process holds of its machine: memory, bytes that it has not read, descriptors.

use std::fs;
use std::net::{IpAddr, Ipv4Addr};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread::{self, JoinHandle};
use std::time::Duration;

/// Time between two samples.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(20);
/// State of a listening socket in `/proc/net/tcp`; its queue counts connections.
const LISTENING: &str = "0A";

/// The peaks of what a process held.
#[derive(Clone, Copy, Debug, Default)]
pub struct Usage {
    /// Resident memory and received bytes that it had not read yet, in bytes.
    pub memory: usize,
    /// Open descriptors.
    pub descriptors: usize,
}

#[derive(Default)]
struct Peaks {
    memory: AtomicUsize,
    descriptors: AtomicUsize,
    stop: AtomicBool,
}

/// Samples a process until it is dropped.
pub struct UsageWatch {
    pid: i32,
    peaks: Arc<Peaks>,
    sampler: Option<JoinHandle<()>>,
}

impl UsageWatch {
    /// Samples the process that has the sockets at `ip`.
    pub fn start(pid: i32, ip: IpAddr) -> UsageWatch {
        let peaks = Arc::new(Peaks::default());
        let shared = Arc::clone(&peaks);
        let sampler = thread::spawn(move || {
            while !shared.stop.load(Ordering::SeqCst) {
                let memory = status_bytes(pid, "VmRSS:") + unread_bytes(ip);
                shared.memory.fetch_max(memory, Ordering::SeqCst);
                shared.descriptors.fetch_max(descriptors(pid), Ordering::SeqCst);
                thread::sleep(SAMPLE_INTERVAL);
            }
        });
        UsageWatch { pid, peaks, sampler: Some(sampler) }
    }

    /// The peaks so far.
    pub fn peaks(&self) -> Usage {
        let memory = self.peaks.memory.load(Ordering::SeqCst);
        Usage {
            memory: memory.max(status_bytes(self.pid, "VmHWM:")),
            descriptors: self.peaks.descriptors.load(Ordering::SeqCst),
        }
    }
}

impl Drop for UsageWatch {
    fn drop(&mut self) {
        self.peaks.stop.store(true, Ordering::SeqCst);
        if let Some(sampler) = self.sampler.take() {
            sampler.join().expect("the sampler ends in order");
        }
    }
}

/// A field of the process's status that is in kB, in bytes; 0 for a process that has ended.
fn status_bytes(pid: i32, field: &str) -> usize {
    let status = fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix(field));
    let kib = line.and_then(|line| line.trim().trim_end_matches(" kB").parse::<usize>().ok());
    kib.unwrap_or(0) << 10
}

/// Bytes that wait at the connections of an address.
fn unread_bytes(ip: IpAddr) -> usize {
    let IpAddr::V4(ip) = ip else { return 0 };
    let connections = fs::read_to_string("/proc/net/tcp").expect("the table of connections");
    connections.lines().skip(1).filter_map(|line| unread_of(line, ip)).sum()
}

fn unread_of(line: &str, ip: Ipv4Addr) -> Option<usize> {
    let mut fields = line.split_whitespace().skip(1);
    let local = fields.next()?.split(':').next()?;
    let state = fields.nth(1)?;
    let unread = fields.next()?.split(':').nth(1)?;
    let is_own = u32::from_str_radix(local, 16).ok()? == u32::from_ne_bytes(ip.octets());
    (is_own && state != LISTENING).then(|| usize::from_str_radix(unread, 16).ok())?
}

fn descriptors(pid: i32) -> usize {
    fs::read_dir(format!("/proc/{pid}/fd")).map_or(0, Iterator::count)
}
