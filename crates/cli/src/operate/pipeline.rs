//! `sorrellock pipeline`: what callers name as `model`.

use crate::cli::Exit;
use crate::operate::table::if_revision;
use crate::operate::workspace::text;
use crate::operate::{OperateError, OperatorCx, finish};
use clap::ArgMatches;
use serde_json::json;
use sorrellock_core::id::Layer;
use sorrellock_core::version::{Pipeline, Versioned};

/// Runs a command on the pipelines.
pub(super) fn run(cx: &OperatorCx, sub: &str, args: &ArgMatches) -> Result<Exit, OperateError> {
    let report = match sub {
        "list" => return list(cx),
        "add" => cx.config()?.add_pipeline(pipeline(args))?,
        _ => cx.config()?.remove_pipeline(text(args, "name"), if_revision(args))?,
    };
    finish(cx, args, &report)
}

fn pipeline(args: &ArgMatches) -> Pipeline {
    let id = text(args, "name");
    let model = args.get_one::<String>("model").map_or(id, String::as_str);
    let layers = *args.get_one::<Layer>("layers").expect("the layers are required");
    let stages = *args.get_one::<u16>("stages").expect("it has a default");
    let share = *args.get_one::<u32>("share").expect("it has a default");
    Pipeline { share, ..Pipeline::new(id, model, layers).with_stages(stages) }
}

fn list(cx: &OperatorCx) -> Result<Exit, OperateError> {
    let all = cx.config()?.pipelines()?;
    let row = |pipeline: &Versioned<Pipeline>| {
        let Versioned { item, change } = pipeline;
        vec![
            item.id.clone(),
            item.model.clone(),
            item.layers.to_string(),
            item.stages.to_string(),
            item.share.to_string(),
            change.revision.to_string(),
            change.by.clone(),
        ]
    };
    let head = ["PIPELINE", "MODEL", "LAYERS", "STAGES", "SHARE", "REVISION", "BY"];
    cx.output.rows(&head, all.iter().map(row), || {
        let json = |versioned: &Versioned<Pipeline>| {
            json!({ "pipeline": versioned.item, "change": versioned.change })
        };
        all.iter().map(json).collect()
    });
    Ok(Exit::Done)
}
