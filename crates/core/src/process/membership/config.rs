//! Settings of membership.

use std::time::Duration;

/// Settings of membership. The constants of this type are the defaults.
#[derive(Clone, Debug)]
pub struct MembershipConfig {
    /// Time between ticks; each tick starts one probe.
    pub interval: Duration,
    /// Time limit for a direct answer of a probed member.
    pub direct_timeout: Duration,
    /// Additional time limit for an answer relayed by other members.
    pub indirect_timeout: Duration,
    /// Time for a suspected member to refute the suspicion.
    pub suspicion: Duration,
    /// How long gone members are remembered.
    pub tombstone: Duration,
    /// How long a place may be silent until its members get no more work.
    pub cut_off_after: Duration,
    /// How long the members of a silent place are remembered.
    pub cut_off_tombstone: Duration,
    /// Maximum number of members remembered.
    pub max_members: usize,
}

impl MembershipConfig {
    /// Default of `interval`.
    pub const INTERVAL: Duration = Duration::from_millis(250);
    /// Default of `direct_timeout`.
    pub const DIRECT_TIMEOUT: Duration = Duration::from_millis(500);
    /// Default of `indirect_timeout`.
    pub const INDIRECT_TIMEOUT: Duration = Duration::from_millis(750);
    /// Default of `suspicion`.
    pub const SUSPICION: Duration = Duration::from_secs(2);
    /// Default of `tombstone`.
    pub const TOMBSTONE: Duration = Duration::from_secs(600);
    /// Default of `cut_off_after`.
    pub const CUT_OFF_AFTER: Duration = Duration::from_secs(8);
    /// Default of `cut_off_tombstone`.
    pub const CUT_OFF_TOMBSTONE: Duration = Duration::from_secs(7200);
    /// Default of `max_members`.
    pub const MAX_MEMBERS: usize = 4096;

    /// Returns the defaults.
    pub fn new() -> MembershipConfig {
        MembershipConfig {
            interval: MembershipConfig::INTERVAL,
            direct_timeout: MembershipConfig::DIRECT_TIMEOUT,
            indirect_timeout: MembershipConfig::INDIRECT_TIMEOUT,
            suspicion: MembershipConfig::SUSPICION,
            tombstone: MembershipConfig::TOMBSTONE,
            cut_off_after: MembershipConfig::CUT_OFF_AFTER,
            cut_off_tombstone: MembershipConfig::CUT_OFF_TOMBSTONE,
            max_members: MembershipConfig::MAX_MEMBERS,
        }
    }

    /// Sets the maximum number of members remembered.
    pub fn with_max_members(mut self, max_members: usize) -> MembershipConfig {
        self.max_members = max_members;
        self
    }
}

impl Default for MembershipConfig {
    fn default() -> Self {
        MembershipConfig::new()
    }
}
