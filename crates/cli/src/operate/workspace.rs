//! `sorrellock workspace`: who may call, and what.

use crate::cli::Exit;
use crate::operate::table::if_revision;
use crate::operate::{OperateError, OperatorCx, finish};
use clap::ArgMatches;
use serde_json::json;
use sorrellock_core::version::{Versioned, Workspace, key_hash};

/// Runs a command on the workspaces.
pub(super) fn run(cx: &OperatorCx, sub: &str, args: &ArgMatches) -> Result<Exit, OperateError> {
    if sub == "list" {
        return list(cx);
    }
    let (config, name) = (cx.config()?, text(args, "name"));
    let report = match sub {
        "add" => config.add_workspace(Workspace::new(name, text(args, "key"), may_call(args)))?,
        "key" => config.set_key(name, &key_hash(text(args, "key")), if_revision(args))?,
        "calls" => config.set_may_call(name, may_call(args), if_revision(args))?,
        _ => config.remove_workspace(name, if_revision(args))?,
    };
    finish(cx, args, &report)
}

fn list(cx: &OperatorCx) -> Result<Exit, OperateError> {
    let all = cx.config()?.workspaces()?;
    let row = |workspace: &Versioned<Workspace>| {
        let Versioned { item, change } = workspace;
        vec![
            item.id.clone(),
            item.may_call.join(", "),
            change.revision.to_string(),
            change.by.clone(),
        ]
    };
    let head = ["WORKSPACE", "MAY CALL", "REVISION", "BY"];
    cx.output.rows(&head, all.iter().map(row), || {
        let json = |Versioned { item, change }: &Versioned<Workspace>| {
            json!({ "workspace": item.id, "may_call": item.may_call, "change": change })
        };
        all.iter().map(json).collect()
    });
    Ok(Exit::Done)
}

fn may_call(args: &ArgMatches) -> Vec<String> {
    args.get_many::<String>("may-call").unwrap_or_default().cloned().collect()
}

/// The text of a required argument.
pub(super) fn text<'a>(args: &'a ArgMatches, name: &str) -> &'a str {
    args.get_one::<String>(name).map(String::as_str).unwrap_or_default()
}
