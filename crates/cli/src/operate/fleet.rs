//! `sorrellock fleet` and `sorrellock dump`: the state of daemons.

use crate::cli::Exit;
use crate::operate::daemons::members_in;
use crate::operate::output::{aligned, print_json, print_line};
use crate::operate::{OperateError, OperatorCx, dump};
use clap::ArgMatches;
use serde_json::{Value, json};
use sorrellock_core::process::DaemonRole;
use sorrellock_core::process::membership::{Member, Standing};
use std::net::SocketAddr;

/// What one daemon told.
type Told = (SocketAddr, Result<Value, OperateError>);

/// Prints the whole state of each daemon that is asked.
pub(super) fn dump_all(cx: &OperatorCx) -> Result<Exit, OperateError> {
    let told = ask_all(cx)?;
    let states = told.iter().map(|(addr, state)| match state {
        Ok(state) => (addr.to_string(), state.clone()),
        Err(err) => (addr.to_string(), json!({ "error": err.to_string() })),
    });
    print_json(&Value::Object(states.collect()));
    Ok(exit(&told))
}

/// Shows the fleet as the first daemon that answers knows it, and what those asked went through.
pub(super) fn show(cx: &OperatorCx, args: &ArgMatches) -> Result<Exit, OperateError> {
    let told = ask_all(cx)?;
    let answered = told.iter().find_map(|(addr, state)| Some((*addr, state.as_ref().ok()?)));
    let Some((addr, state)) = answered else {
        return Err(told.into_iter().find_map(|(_, state)| state.err()).expect("one was asked"));
    };
    let mut members = members_in(addr, state)?;
    members.sort_by(|a, b| order(a).cmp(&order(b)));
    let journal = *args.get_one::<usize>("journal").expect("it has a default");
    match cx.output.json {
        true => print_json(&as_json(&members, &told, journal)),
        false => print_text(addr, &members, &told, journal),
    }
    Ok(exit(&told))
}

fn ask_all(cx: &OperatorCx) -> Result<Vec<Told>, OperateError> {
    Ok(cx.daemons()?.iter().map(|addr| (*addr, dump(*addr))).collect())
}

fn exit(told: &[Told]) -> Exit {
    match told.iter().all(|(_, state)| state.is_ok()) {
        true => Exit::Done,
        false => Exit::Unreachable,
    }
}

fn order(member: &Member) -> (&str, DaemonRole, SocketAddr) {
    (&member.fact.place, member.fact.role, member.fact.peer.addr)
}

fn print_text(asked: SocketAddr, members: &[Member], told: &[Told], journal: usize) {
    let head = ["PLACE", "ROLE", "ADDRESS", "STATE", "LOAD", "REVISION", "ENDPOINTS"];
    print_line(&aligned(&head, members.iter().map(cells)));
    let present = members.iter().filter(|member| member.is_present()).count();
    print_line(&format!("\n{present} of {} daemons present, as {asked} knows them", members.len()));
    for (addr, state) in told {
        match state {
            Ok(state) => print_journal(*addr, state, journal),
            Err(err) => print_line(&format!("\n{err}")),
        }
    }
}

fn cells(member: &Member) -> Vec<String> {
    let fact = &member.fact;
    let load: u32 = fact.endpoints.iter().map(|endpoint| endpoint.load).sum();
    let endpoints: Vec<&str> = fact.endpoints.iter().map(|endpoint| endpoint.id.as_str()).collect();
    vec![
        fact.place.clone(),
        format!("{:?}", fact.role).to_lowercase(),
        fact.peer.addr.to_string(),
        state(member),
        load.to_string(),
        fact.applied.to_string(),
        endpoints.join(", "),
    ]
}

fn state(member: &Member) -> String {
    let liveness = format!("{:?}", member.fact.liveness).to_lowercase();
    match member.standing {
        Standing::Trusted => liveness,
        other => format!("{liveness}, {}", format!("{other:?}").to_lowercase()),
    }
}

fn print_journal(addr: SocketAddr, state: &Value, journal: usize) {
    print_line(&format!("\n{addr}: {} pages of the configuration refused", refused(state)));
    for entry in last(state, journal) {
        let text = |name: &str| entry[name].as_str().unwrap_or("-").to_owned();
        print_line(&format!(
            "  {}, peer {}, step {}: {}",
            text("what"),
            text("peer"),
            text("step"),
            text("cause")
        ));
    }
}

fn refused(state: &Value) -> u64 {
    state["counters"]["pages_refused"].as_u64().unwrap_or_default()
}

fn last(state: &Value, count: usize) -> &[Value] {
    let all = state["journal"].as_array().map(Vec::as_slice).unwrap_or_default();
    &all[all.len().saturating_sub(count)..]
}

fn as_json(members: &[Member], told: &[Told], journal: usize) -> Value {
    let asked = told.iter().map(|(addr, state)| match state {
        Ok(state) => json!({
            "daemon": addr,
            "pages_refused": refused(state),
            "journal": last(state, journal),
        }),
        Err(err) => json!({ "daemon": addr, "error": err.to_string() }),
    });
    json!({ "members": members, "asked": asked.collect::<Vec<_>>() })
}
