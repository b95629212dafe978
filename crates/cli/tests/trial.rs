//! `sorrellock try` as its users start it.

use std::process::Command;

#[test]
fn the_trial_shows_each_claim_and_ends_well() {
    let output = Command::new(env!("CARGO_BIN_EXE_sorrellock")).arg("try").output().unwrap();

    let text = String::from_utf8_lossy(&output.stdout);
    assert!(output.status.success(), "{text}{}", String::from_utf8_lossy(&output.stderr));
    let claims = [
        "streamed through three stages",
        "none crossed",
        "the plain service passed through",
        "ran once, and got the kept answer",
        "told as unknown, and a retry runs nothing",
        "a changed weight was in force on 9 of 9 daemons",
        "a stage was killed after 100 tokens, and the answer is whole",
        "a graceful shutdown cut no answer",
        "the store came back from an older copy",
    ];
    for claim in claims {
        assert!(text.contains(claim), "no `{claim}` in:\n{text}");
    }
}
