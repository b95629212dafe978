//! The parts that an entry and a daemon beside endpoints have in common.

use crate::process::leads::LeadCx;
use crate::process::{
    ConfigAgent, ConfigInputs, Counters, FleetAgent, FleetInputs, Journal, check_place,
    draw_incarnation,
};
use eyre::{Result, WrapErr};
use sorrellock_core::id::Place;
use sorrellock_core::process::DaemonRole;
use sorrellock_core::process::orders::PlannerConfig;
use sorrellock_core::request::Peer;
use sorrellock_core::version::SpreadSettings;
use sorrellock_wire::connection::{AnyLink, ClosedLinks, LinkConfig, LinkKind};
use std::net::SocketAddr;
use std::sync::Arc;

/// The links to other daemons, the agents of membership and configuration, the counters and the journal.
#[derive(Clone)]
pub(crate) struct DaemonParts {
    pub(crate) me: Peer,
    pub(crate) link: Arc<AnyLink>,
    pub(crate) agent: Arc<FleetAgent>,
    pub(crate) config: Arc<ConfigAgent>,
    pub(crate) counters: Arc<Counters>,
    pub(crate) journal: Arc<Journal>,
}

/// The receiving ends of the parts, until their threads are started.
pub(crate) struct PendingInputs {
    pub(crate) closed: ClosedLinks,
    pub(crate) members: FleetInputs,
    pub(crate) config: ConfigInputs,
}

impl DaemonParts {
    /// Listens for links at `addr`, as a new incarnation. No thread of the agents is started yet.
    pub(crate) fn listen(
        role: DaemonRole,
        place: &Place,
        addr: SocketAddr,
        link_kind: LinkKind,
        spread: SpreadSettings,
    ) -> Result<(DaemonParts, PendingInputs)> {
        check_place(place)?;
        let me = Peer { addr, incarnation: draw_incarnation() };
        let counters = Arc::new(Counters::new());
        let journal = Arc::new(Journal::new());
        let cfg = LinkConfig::new(me).with_kind(link_kind);
        let (link, closed) = AnyLink::listen(cfg).wrap_err("cannot listen for links")?;
        let (agent, members) =
            FleetAgent::new(me, place.clone(), role, counters.clone(), journal.clone());
        let (config, config_inputs) =
            ConfigAgent::new(spread, agent.clone(), counters.clone(), journal.clone());
        let parts = DaemonParts { me, link, agent, config, counters, journal };
        Ok((parts, PendingInputs { closed, members, config: config_inputs }))
    }

    /// Returns the parts that the thread that leads models uses.
    pub(crate) fn lead_cx(&self, planner: PlannerConfig) -> LeadCx<AnyLink> {
        LeadCx {
            link: self.link.clone(),
            fleet: self.agent.clone(),
            config: self.config.clone(),
            counters: self.counters.clone(),
            journal: self.journal.clone(),
            planner,
        }
    }
}
