//! Bad settings end a daemon with a message that names the setting and the mend.

use crate::daemon_process::run_to_end;

/// Arguments, and what the message must name.
type BadSettings<'a> = (&'a [&'a str], &'a [&'a str]);

/// The program ends with the code for bad settings, and names what is wrong.
fn assert_refused((args, named): &BadSettings) {
    let (code, _, errors) = run_to_end(args, &[]);

    assert_eq!(code, Some(2), "{args:?}: {errors}");
    for name in *named {
        assert!(errors.contains(name), "{args:?}: no `{name}` in:\n{errors}");
    }
}

#[test]
fn bad_settings_end_a_daemon_with_a_clear_message() {
    let link = "--link=127.0.0.1:7001";
    let platform = "--platform=127.0.0.1:7000";
    let table: &[BadSettings] = &[
        (&["entry", link, platform], &["--place"]),
        (&["entry", "--place=pasila", platform], &["--link"]),
        (&["entry", "--place=pasila", "--link=nowhere", platform], &["nowhere", "--link"]),
        (&["entry", "--place=pasila", link, platform, "--workers=many"], &["many", "--workers"]),
        (
            &["beside", "--place=pasila", link, "--service=ledger"],
            &["ledger", "ENDPOINT=SERVICE@IP:PORT"],
        ),
        (
            &["entry", "--place=pasila", link, platform, "--log-format=loud"],
            &["loud", "human", "json"],
        ),
    ];

    table.iter().for_each(assert_refused);
}

#[test]
fn settings_that_do_not_go_together_are_refused() {
    let (link, platform) = ("--link=127.0.0.1:7001", "--platform=127.0.0.1:7000");
    let table: &[BadSettings] = &[
        (&["beside", "--place=pasila", link], &["--engine", "--service"]),
        (&["entry", "--place=pasila", "--link=127.0.0.1:0", platform], &["--link", "127.0.0.1:0"]),
        (&["entry", "--place=pasila", link, platform, "--workers=0"], &["--workers", "1 or more"]),
        (
            &["entry", "--place=pasila", link, platform, "--callers=127.0.0.1:7001"],
            &["--callers", "127.0.0.1:7001", "another port"],
        ),
        (
            &["beside", "--place=pasila", link, "--service=a=s@127.0.0.1:1,a=s@127.0.0.1:2"],
            &["--service", "`a`"],
        ),
    ];

    table.iter().for_each(assert_refused);
}

#[test]
fn an_unknown_variable_is_refused_with_the_nearest_name() {
    let args = ["check", "entry", "--link=127.0.0.1:7001", "--platform=127.0.0.1:7000"];
    let vars = [("SORRELLOCK_PLACE", "pasila"), ("SORRELLOCK_MAX_CONECTIONS", "10")];

    let (code, _, errors) = run_to_end(&args, &vars);

    assert_eq!(code, Some(2));
    assert!(errors.contains("SORRELLOCK_MAX_CONECTIONS"), "{errors}");
    assert!(errors.contains("did you mean SORRELLOCK_MAX_CONNECTIONS?"), "{errors}");
}

#[test]
fn check_tells_where_each_value_came_from() {
    let args = ["check", "entry", "--link=127.0.0.1:7001", "--workers=3"];
    let vars = [
        ("SORRELLOCK_PLACE", "pasila"),
        ("SORRELLOCK_PLATFORM", "127.0.0.1:7000"),
        ("SORRELLOCK_WORKERS", "5"),
    ];

    let (code, output, errors) = run_to_end(&args, &vars);

    assert_eq!(code, Some(0), "{errors}");
    let line = |name: &str| {
        let line = output.lines().find(|line| line.split_whitespace().next() == Some(name));
        line.unwrap_or_else(|| panic!("no {name} in:\n{output}"))
            .split_whitespace()
            .skip(1)
            .collect::<Vec<_>>()
            .join(" ")
    };
    assert_eq!(line("link"), "127.0.0.1:7001 flag --link");
    assert_eq!(line("place"), "pasila variable SORRELLOCK_PLACE");
    assert_eq!(line("workers"), "3 flag --workers");
    assert_eq!(line("callers"), "127.0.0.1:8080 default");
    assert_eq!(line("metrics"), "- not set");
    assert!(output.ends_with("these settings can be used\n"));
}
