//! What the machine gives to this process, where the settings don't say.

use nix::sys::resource::{Resource, getrlimit};
use sorrellock_core::process::callers::MachineLimits;
use std::fs;

/// The machine's memory and its use.
const MEMINFO: &str = "/proc/meminfo";
/// Memory limit of the process's control group.
const GROUP_LIMIT: &str = "/sys/fs/cgroup/memory.max";
/// Memory assumed where the system reports none, in bytes.
const FALLBACK_MEMORY: usize = 256_000_000;
/// Descriptors assumed where the system reports no limit: the usual default.
const FALLBACK_DESCRIPTORS: usize = 1_024;

/// Returns the limits that the system sets for this process.
pub fn machine_limits() -> MachineLimits {
    let soft_limit =
        |resource| getrlimit(resource).ok().and_then(|(soft, _)| usize::try_from(soft).ok());
    let memory = [
        physical_memory(),
        group_limit(),
        soft_limit(Resource::RLIMIT_AS),
        soft_limit(Resource::RLIMIT_DATA),
    ];
    MachineLimits {
        memory: memory.into_iter().flatten().min().unwrap_or(FALLBACK_MEMORY),
        descriptors: soft_limit(Resource::RLIMIT_NOFILE).unwrap_or(FALLBACK_DESCRIPTORS),
    }
}

fn physical_memory() -> Option<usize> {
    let text = fs::read_to_string(MEMINFO).ok()?;
    let total = text.lines().find_map(|line| line.strip_prefix("MemTotal:"))?;
    let kib: usize = total.trim().trim_end_matches(" kB").parse().ok()?;
    Some(kib << 10)
}

/// Returns nothing where the group has no limit.
fn group_limit() -> Option<usize> {
    fs::read_to_string(GROUP_LIMIT).ok()?.trim().parse().ok()
}
