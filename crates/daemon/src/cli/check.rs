//! `sorrellockd check`: validates settings, and prints the source of each value.

use clap::parser::ValueSource;
use clap::{Arg, ArgMatches, Command};

/// A setting with its value and the source of the value.
struct Setting {
    name: String,
    value: String,
    source: String,
}

/// Returns the settings of `command` in `args`, a line each: flag, value, and the source of the value.
pub fn describe(command: &Command, args: &ArgMatches) -> String {
    let settings: Vec<_> = command.get_arguments().filter_map(|arg| setting(arg, args)).collect();
    let width = |text: fn(&Setting) -> &str| {
        settings.iter().map(|setting| text(setting).len()).max().unwrap_or_default()
    };
    let (names, values) = (width(|setting| &setting.name), width(|setting| &setting.value));
    let line = |setting: &Setting| {
        let Setting { name, value, source } = setting;
        format!("{name:names$}  {value:values$}  {source}\n")
    };
    settings.iter().map(line).collect()
}

fn setting(arg: &Arg, args: &ArgMatches) -> Option<Setting> {
    let flag = arg.get_long().filter(|flag| !matches!(*flag, "help" | "version"))?;
    let variable = arg.get_env().and_then(|name| name.to_str()).unwrap_or_default();
    let source = match args.value_source(arg.get_id().as_str()) {
        Some(ValueSource::CommandLine) => format!("flag --{flag}"),
        Some(ValueSource::EnvVariable) => format!("variable {variable}"),
        Some(_) => "default".to_owned(),
        None => "not set".to_owned(),
    };
    Some(Setting { name: flag.to_owned(), value: value(arg, args), source })
}

fn value(arg: &Arg, args: &ArgMatches) -> String {
    let raw = args.get_raw(arg.get_id().as_str());
    let Some(raw) = raw else { return "-".to_owned() };
    raw.map(|value| value.to_string_lossy()).collect::<Vec<_>>().join(",")
}
