//! Messages of a pipeline request. The decisions that make and take them stand in
//! [`sorrellock_core`], and so do they.

pub use sorrellock_core::request::{
    Handover, HandoverFrom, Open, PipelineMessage, StageProgress, StageTrouble,
};
