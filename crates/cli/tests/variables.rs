//! The two programs know each other's variables.

use sorrellock_cli::cli::command;
use sorrellock_daemon::cli::{OPERATOR_VARIABLES, command as daemon_command, variables};

#[test]
fn the_daemon_leaves_the_operators_variables_to_this_program() {
    let daemon = variables(&daemon_command());

    let own: Vec<String> =
        variables(&command()).into_iter().filter(|name| !daemon.contains(name)).collect();

    assert_eq!(own, OPERATOR_VARIABLES);
}
