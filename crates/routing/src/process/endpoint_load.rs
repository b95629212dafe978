//! The load that a request is expected to meet at an endpoint of a plain service, and which of equal endpoints a gateway prefers.

use sorrellock_core::process::membership::rendezvous_weight;

/// Penalty for an endpoint of another data centre, in requests.
const OTHER_DATA_CENTRE_PENALTY: f64 = 0.5;
/// Part of a request of this gateway that counts in addition to what the endpoint reports.
const OWN_REQUEST_WEIGHT: f64 = 0.1;

/// What a gateway knows of an endpoint's load.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct EndpointUsage {
    /// Number of requests that run or wait there by its latest report, if that is recent.
    pub reported: Option<u32>,
    /// Number of this gateway's requests that run there.
    pub in_flight: u32,
    /// Mean duration of its answers, in ms; `None` before the first.
    pub mean_ms: Option<f64>,
    /// Whether it is in the gateway's data centre.
    pub is_near: bool,
}

impl EndpointUsage {
    /// Returns the expected load, in requests. An endpoint without an answer counts as slow as the `usual` one, in ms: if it counted as
    /// the fastest, a gateway with few requests would open a connection to each endpoint of a large service.
    pub fn expected_load(&self, usual_ms: f64) -> f64 {
        let in_flight = f64::from(self.in_flight);
        let reported = self.reported.map_or(0.0, f64::from);
        let distance = if self.is_near { 0.0 } else { OTHER_DATA_CENTRE_PENALTY };
        let slowness = self.mean_ms.unwrap_or(usual_ms).max(1.0).ln();
        reported.max(in_flight) + in_flight * OWN_REQUEST_WEIGHT + distance + slowness
    }
}

/// Returns how much a gateway, given by its incarnation, prefers an endpoint among those with equal load. Each gateway has an order of
/// its own, so that it keeps to a few connections and the endpoints get equal parts of all gateways.
pub fn endpoint_preference(gateway: u64, endpoint: &str) -> u64 {
    rendezvous_weight(endpoint.as_bytes(), gateway)
}
