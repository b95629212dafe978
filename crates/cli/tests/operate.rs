//! `sorrellock` as operators run it, against a platform's stand-in and a local fleet.

use serde_json::Value;
use sorrellock_daemon::process::{LogFormat, set_up_log};
use sorrellock_fakes::{FakePlatform, Outage, PlatformConfig};
use sorrellock_local::{LocalConfig, LocalFleet, MODEL, next_addr};
use std::io::Write;
use std::net::SocketAddr;
use std::process::{Command, Stdio};

struct Ran {
    code: Option<i32>,
    output: String,
    errors: String,
}

impl Ran {
    fn json(&self) -> Value {
        serde_json::from_str(&self.output).unwrap_or_else(|err| panic!("{err}: {}", self.output))
    }
}

fn run(platform: SocketAddr, args: &[&str]) -> Ran {
    run_with(platform, args, &[], "")
}

fn run_with(platform: SocketAddr, args: &[&str], vars: &[(&str, &str)], input: &str) -> Ran {
    let mut command = Command::new(env!("CARGO_BIN_EXE_sorrellock"));
    let ours =
        std::env::vars().map(|(name, _)| name).filter(|name| name.starts_with("SORRELLOCK_"));
    ours.for_each(|name| {
        command.env_remove(name);
    });
    command.env("SORRELLOCK_PLATFORM", platform.to_string()).envs(vars.iter().copied());
    command.args(args).stdin(Stdio::piped()).stdout(Stdio::piped()).stderr(Stdio::piped());
    let mut child = command.spawn().unwrap();
    // A command that reads nothing may have ended by now.
    let _ = child.stdin.take().unwrap().write_all(input.as_bytes());
    let output = child.wait_with_output().unwrap();
    let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
    Ran { code: output.status.code(), output: text(&output.stdout), errors: text(&output.stderr) }
}

/// A platform whose configuration has a pipeline and two workspaces.
fn platform() -> FakePlatform {
    let platform = FakePlatform::start(PlatformConfig::new(next_addr())).unwrap();
    let addr = platform.addr();
    let done = |args: &[&str]| {
        let ran = run(addr, args);
        assert_eq!(ran.code, Some(0), "{args:?}: {}", ran.errors);
    };
    done(&["pipeline", "add", "lexis", "--layers=12"]);
    done(&["workspace", "add", "treasury", "--key=key-t", "--may-call=lexis,ledger"]);
    done(&["workspace", "add", "pharmacy", "--key=key-p", "--may-call=lexis"]);
    platform
}

fn columns(line: &str) -> Vec<&str> {
    line.split_whitespace().collect()
}

#[test]
fn cells_are_set_in_many_rows_and_shown_aligned() {
    let platform = platform();
    let addr = platform.addr();

    let set = run(
        addr,
        &[
            "table",
            "set",
            "treasury/match",
            "pharmacy/alert",
            "class=urgent",
            "treasury/draft",
            "weight=0.5",
            "--by=aino",
        ],
    );
    let got = run(addr, &["table", "get"]);

    assert_eq!(set.code, Some(0), "{}", set.errors);
    assert!(set.output.contains("changed at revision"), "{}", set.output);
    let lines: Vec<_> = got.output.lines().collect();
    assert_eq!(columns(lines[0])[..3], ["WORKSPACE", "KIND", "WEIGHT"]);
    assert_eq!(columns(lines[1])[..3], ["pharmacy", "alert", "1"]);
    assert_eq!(columns(lines[2])[..3], ["treasury", "draft", "0.5"]);
    assert_eq!(columns(lines[3])[..3], ["treasury", "match", "1"]);
    let starts = |line: &str, word: &str| line.find(word).unwrap();
    assert_eq!(starts(lines[0], "KIND"), starts(lines[1], "alert"));
    assert_eq!(starts(lines[0], "KIND"), starts(lines[3], "match"));
    assert!(lines[1].contains("urgent") && lines[2].contains("routine"));
}

#[test]
fn a_change_on_an_old_revision_is_refused_with_who_won() {
    let platform = platform();
    let addr = platform.addr();
    run(addr, &["table", "set", "treasury/default", "weight=2", "--by=aino"]);
    let seen = run(addr, &["table", "get", "treasury", "--json"]).json();
    let revision = seen[0]["change"]["revision"].to_string();
    run(addr, &["table", "set", "treasury/default", "weight=3", "--by=bruce"]);

    let late =
        run(addr, &["table", "set", "treasury/default", "weight=9", "--if-revision", &revision]);

    assert_eq!(late.code, Some(3), "{}", late.errors);
    assert!(
        late.errors.contains("treasury/default") && late.errors.contains("bruce"),
        "{}",
        late.errors
    );
    let now = run(addr, &["table", "get", "treasury", "--json"]).json();
    assert_eq!(now[0]["row"]["weight"], 3.0);
}

#[test]
fn history_tells_who_when_and_which_change() {
    let platform = platform();
    let addr = platform.addr();
    let set =
        run(addr, &["table", "set", "treasury/default", "weight=2", "--by=aino", "--json"]).json();

    let history = run(addr, &["table", "history", "treasury/default"]);

    let change = set["change"].as_str().unwrap();
    let line = history.output.lines().nth(1).unwrap();
    assert!(line.contains("aino") && line.contains(change) && line.contains("UTC"), "{line}");
}

#[test]
fn an_export_can_be_imported_again() {
    let platform = platform();
    let addr = platform.addr();
    run(addr, &["table", "set", "treasury/match", "weight=2.5", "class=urgent", "idempotent=true"]);
    let before = run(addr, &["table", "export"]);
    run(addr, &["table", "set", "treasury/match", "weight=7"]);

    let import = run_with(addr, &["table", "import", "-"], &[], &before.output);
    let again = run_with(addr, &["table", "import", "-"], &[], &before.output);

    assert_eq!(import.code, Some(0), "{}", import.errors);
    assert_eq!(run(addr, &["table", "export"]).output, before.output);
    assert!(again.output.contains("nothing to change"), "{}", again.output);
}

#[test]
fn bad_values_are_refused_by_name_with_the_mend() {
    let platform = platform();
    let addr = platform.addr();
    let table: &[(&[&str], &[&str])] = &[
        (&["table", "set", "treasury/default", "wait=2"], &["wait", "weight, requests_per_s"]),
        (
            &["table", "set", "treasury/default", "weight=much"],
            &["treasury/default", "weight", "much"],
        ),
        (&["table", "set", "treasury/default", "weight=-1"], &["weight", "-1"]),
        (&["table", "set", "treasury", "weight=1"], &["treasury", "WORKSPACE/KIND"]),
        (&["table", "set", "weight=1", "treasury/default"], &["name a row before"]),
        (
            &["table", "set", "treasury/a", "weight=1", "treasury/b"],
            &["treasury/b", "COLUMN=VALUE"],
        ),
        (&["table", "set", "nobody/default", "weight=1"], &["workspace nobody"]),
        (&["table", "import", "/no/such/file.csv"], &["/no/such/file.csv"]),
        (
            &["workspace", "add", "third", "--key=key-t", "--may-call=lexis"],
            &["treasury", "its own"],
        ),
        (&["workspace", "remove", "nobody"], &["workspace nobody"]),
        (&["pipeline", "add", "lexis", "--layers=12"], &["pipeline lexis", "exists"]),
        (&["pipeline", "add", "other", "--layers=0"], &["layers", "0"]),
        (&["fleet"], &["--daemons", "SORRELLOCK_DAEMONS"]),
    ];

    for (args, named) in table {
        let ran = run(addr, args);

        assert_eq!(ran.code, Some(2), "{args:?}: {} {}", ran.output, ran.errors);
        for name in *named {
            assert!(ran.errors.contains(name), "{args:?}: no `{name}` in: {}", ran.errors);
        }
    }
}

#[test]
fn bad_csv_is_refused_by_line_and_column() {
    let platform = platform();
    let table = [
        ("workspace,kind,wait\ntreasury,default,1\n", "wait"),
        ("kind,weight\ndefault,1\n", "workspace"),
        ("workspace,kind,weight\ntreasury,default,1\ntreasury,match,much\n", "line 3, weight"),
        ("workspace,kind,weight\ntreasury,default\n", "CSV"),
    ];

    for (text, named) in table {
        let ran = run_with(platform.addr(), &["table", "import", "-"], &[], text);

        assert_eq!(ran.code, Some(2), "{text}: {}", ran.errors);
        assert!(ran.errors.contains(named), "no `{named}` in: {}", ran.errors);
    }
    assert_eq!(run(platform.addr(), &["table", "get", "--json"]).json(), serde_json::json!([]));
}

#[test]
fn an_outage_of_the_platform_has_its_own_exit_code() {
    let platform = platform();
    platform.set_outage(Outage::Refuse);

    let ran = run(platform.addr(), &["table", "set", "treasury/default", "weight=2"]);

    assert_eq!(ran.code, Some(4), "{}", ran.errors);
    assert!(ran.errors.contains("nothing was written"), "{}", ran.errors);
}

#[test]
fn an_unknown_variable_is_refused_with_the_nearest_name() {
    let platform = platform();

    let ran = run_with(platform.addr(), &["table", "get"], &[("SORRELLOCK_DEMONS", "x")], "");

    assert_eq!(ran.code, Some(2));
    assert!(ran.errors.contains("did you mean SORRELLOCK_DAEMONS?"), "{}", ran.errors);
}

#[test]
fn the_fleet_is_shown_by_place_with_state_and_revision() {
    set_up_log(LogFormat::Off);
    let fleet = LocalFleet::start(LocalConfig::new()).unwrap();
    let daemons = format!("--daemons={}", fleet.entries[0].operators().unwrap());

    let shown = run(fleet.platform.addr(), &["fleet", &daemons]);
    let json = run(fleet.platform.addr(), &["fleet", &daemons, "--json"]).json();

    assert_eq!(shown.code, Some(0), "{}", shown.errors);
    let head = columns(shown.output.lines().next().unwrap());
    assert_eq!(head, ["PLACE", "ROLE", "ADDRESS", "STATE", "LOAD", "REVISION", "ENDPOINTS"]);
    assert!(shown.output.contains(&format!("{MODEL}-0-0")), "{}", shown.output);
    assert!(shown.output.contains("0 pages of the configuration refused"), "{}", shown.output);
    assert_eq!(json["members"].as_array().unwrap().len(), 8);
}

#[test]
fn a_change_is_waited_for_until_it_is_in_force_on_all_daemons() {
    set_up_log(LogFormat::Off);
    let fleet = LocalFleet::start(LocalConfig::new()).unwrap();
    let daemons = format!("--daemons={}", fleet.entries[0].operators().unwrap());
    let set = |weight| {
        let args = ["table", "set", "treasury/default", weight, "--wait", &daemons];
        run(fleet.platform.addr(), &args)
    };

    let whole = set("weight=2");
    fleet.engines[0].beside.stop();
    let lacking = run(
        fleet.platform.addr(),
        &["table", "set", "treasury/default", "weight=3", "--wait", "--timeout-ms=0", &daemons],
    );

    assert_eq!(whole.code, Some(0), "{}", whole.errors);
    assert!(whole.output.contains("in force on 8 of 8"), "{}", whole.output);
    assert_eq!(lacking.code, Some(6), "{}", lacking.output);
    assert!(lacking.output.contains("not yet on"), "{}", lacking.output);
}

#[test]
fn completions_name_every_command() {
    let ran = run(next_addr(), &["completions", "bash"]);

    assert_eq!(ran.code, Some(0));
    for name in ["table", "workspace", "pipeline", "fleet", "dump", "try"] {
        assert!(ran.output.contains(name), "no {name}");
    }
}

#[test]
fn a_reader_that_goes_away_is_no_fault() {
    let mut command = Command::new(env!("CARGO_BIN_EXE_sorrellock"));
    command.args(["completions", "bash"]).stdout(Stdio::piped()).stderr(Stdio::piped());
    let mut child = command.spawn().unwrap();

    drop(child.stdout.take());
    let output = child.wait_with_output().unwrap();

    assert_eq!(String::from_utf8_lossy(&output.stderr), "");
}
