//! Settings of membership.

use std::time::Duration;

/// Settings of membership. Defaults stand in the constants of this type.
#[derive(Clone, Debug)]
pub struct MembershipConfig {
    /// Time between ticks; one probe starts in each.
    pub interval: Duration,
    /// How long a probed member has to answer by itself.
    pub direct_timeout: Duration,
    /// How long it has to answer through others after that.
    pub indirect_timeout: Duration,
    /// How long a suspected member has to refute that.
    pub suspicion: Duration,
    /// How long the gone are remembered.
    pub tombstone: Duration,
    /// How long a place may be silent before its members get no work.
    pub cut_off_after: Duration,
    /// How long the members of a silent place are remembered.
    pub cut_off_tombstone: Duration,
    /// The most members remembered.
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

    /// The defaults.
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

    /// Bounds the members remembered.
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
