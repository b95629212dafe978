//! Which answers of endpoints are passed on, and what the others tell of their attempts.

use sorrellock_routing::request::{AnswerClaims, AnswerFault, Evidence, check_answer};

fn answer(status: u16) -> AnswerClaims {
    AnswerClaims { status, names_request: Some(true), says_not_run: false, is_signed: true }
}

#[test]
fn signed_answers_to_the_request_are_passed_on() {
    for status in [200, 204, 302, 304, 400, 404, 500, 502, 504] {
        assert_eq!(check_answer(&answer(status)), Ok(()), "{status}");
    }
}

/// Guards against a promise that the request has not run which no evidence stands behind.
#[test]
fn a_status_that_promises_not_run_needs_the_statement() {
    for status in [408, 429, 503] {
        let unproven = check_answer(&answer(status)).expect_err("no evidence");
        let stated = AnswerClaims { says_not_run: true, ..answer(status) };

        assert_eq!(unproven, AnswerFault::UnprovenRefusal(status));
        assert_eq!(unproven.evidence(), Evidence::MayHaveRun);
        assert_eq!(check_answer(&stated), Err(AnswerFault::NotRun(status)));
    }
}

#[test]
fn a_misdirected_request_has_not_run() {
    let fault = check_answer(&answer(421)).expect_err("not run");

    assert_eq!((fault.evidence(), fault.is_misdirected()), (Evidence::NotRun, true));
}

#[test]
fn an_answer_to_another_request_states_nothing() {
    let crossed = AnswerClaims { names_request: Some(false), says_not_run: true, ..answer(503) };

    let fault = check_answer(&crossed).expect_err("another request");

    assert_eq!((fault, fault.evidence()), (AnswerFault::OtherRequest, Evidence::MayHaveRun));
}

#[test]
fn a_success_needs_the_request_and_the_signature() {
    let nameless = AnswerClaims { names_request: None, ..answer(200) };
    let unsigned = AnswerClaims { is_signed: false, ..answer(200) };

    assert_eq!(check_answer(&nameless), Err(AnswerFault::NoRequestId));
    assert_eq!(check_answer(&unsigned), Err(AnswerFault::Unsigned));
}

/// Guards against answers that are none by the protocol, passed on to callers.
#[test]
fn a_status_outside_of_the_protocol_is_no_answer() {
    for status in [0, 99, 100, 101, 199, 600, 999] {
        let stated = AnswerClaims { says_not_run: true, ..answer(status) };
        for claims in [answer(status), stated] {
            let fault = check_answer(&claims).expect_err("no answer");

            assert_eq!(fault, AnswerFault::InvalidStatus(status));
            assert_eq!(fault.evidence(), Evidence::MayHaveRun);
        }
    }
}

#[test]
fn a_success_that_says_it_was_not_run_proves_neither() {
    let claims = AnswerClaims { says_not_run: true, ..answer(200) };

    let fault = check_answer(&claims).expect_err("contradictory");

    assert_eq!((fault, fault.evidence()), (AnswerFault::Contradictory(200), Evidence::MayHaveRun));
}
