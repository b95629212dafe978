//! Type aliases for ids and numbers shared between modules.

/// Random 64-bit number that a process picks at its start; a restart is a new incarnation.
pub type Incarnation = u64;
/// Number of a request within its entry's incarnation, counted from 1.
pub type Sequence = u64;
/// Number of an attempt at one request, counted from 1; a higher one supersedes lower ones.
pub type Attempt = u32;
/// Index of a token in a request's sequence, prompt included, from 0.
pub type Position = u32;
/// Id of a token in a model's vocabulary.
pub type TokenId = u32;
/// Index of a model's layer, from 0.
pub type Layer = u16;
/// Index of a stage in a route, from 0.
pub type StageIndex = u16;
/// Version of an object in the platform's store; it only increases.
pub type Revision = u64;
/// Fencing number of the lead that gave an order.
pub type Fence = u64;
/// Name of a workspace.
pub type WorkspaceId = String;
/// Kind of a request, a column of the shared table.
pub type Kind = String;
/// Name of a pipeline or a plain service.
pub type ServiceId = String;
/// Name of an endpoint: one engine, or one instance of a plain service.
pub type EndpointId = String;
/// Name of a place.
pub type Place = String;
/// Name of a model.
pub type ModelId = String;
