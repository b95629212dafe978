//! Operators read and change the configuration, race one another, and lose answers.

mod common;

use common::{Fault, MemoryStore, operator};
use sorrellock_core::version::{
    Change, Column, Item, PAGES, Page, Pipeline, RECENT_CHANGES, Row, Workspace, page_of,
};
use sorrellock_ports::config::{ConfigError, RowEdit};

fn store_with(workspaces: &[&str]) -> MemoryStore {
    let store = MemoryStore::new();
    let setup = operator(&store, "setup");
    for id in workspaces {
        let workspace = Workspace::new(*id, &format!("key-{id}"), vec!["lexis".into()]);
        setup.add_workspace(workspace).unwrap();
    }
    store
}

fn weight(workspace: &str, kind: &str, weight: &str) -> RowEdit {
    RowEdit::new(workspace, kind).with_cell(Column::Weight, weight)
}

/// Two workspaces whose rows lie in the same page.
fn same_page() -> (String, String) {
    let first = "w0".to_owned();
    let other = (1..).map(|n| format!("w{n}")).find(|name| page_of(name) == page_of(&first));
    (first, other.unwrap())
}

#[test]
fn a_change_is_read_back_with_who_and_when() {
    let store = store_with(&["treasury"]);
    let anna = operator(&store, "anna");

    let report = anna.set(&[weight("treasury", "match", "2.5")], None).unwrap();

    let row = anna.row("treasury", "match").unwrap();
    assert!(report.is_complete());
    assert_eq!(row.item.weight, 2.5);
    assert_eq!((row.change.id, row.change.by.as_str()), (report.change, "anna"));
    assert_eq!(row.change.revision, report.revision());
    assert!(row.change.at_ms > 0);
}

#[test]
fn a_row_keeps_its_own_history_when_another_of_its_page_changes() {
    let (one, two) = same_page();
    let store = store_with(&[&one, &two]);
    let first = operator(&store, "anna").set(&[weight(&one, "match", "2")], None).unwrap();

    operator(&store, "ben").set(&[weight(&two, "match", "3")], None).unwrap();

    let row = operator(&store, "carl").row(&one, "match").unwrap();
    assert_eq!((row.change.by.as_str(), row.change.revision), ("anna", first.revision()));
}

#[test]
fn values_out_of_range_are_refused_and_nothing_is_written() {
    let bad = [
        (Column::Weight, "0", "weight"),
        (Column::Weight, "-1", "weight"),
        (Column::Weight, "NaN", "weight"),
        (Column::Weight, "much", "weight"),
        (Column::RequestsPerS, "inf", "requests_per_s"),
        (Column::TokensPerS, "-3", "tokens_per_s"),
        (Column::InFlight, "1.5", "in_flight"),
        (Column::DeadlineMs, "0", "deadline_ms"),
        (Column::DeadlineMs, "3600001", "deadline_ms"),
        (Column::Class, "asap", "class"),
        (Column::Idempotent, "maybe", "idempotent"),
    ];
    let store = store_with(&["treasury", "pharmacy"]);
    let puts = store.puts();
    for (column, value, field) in bad {
        let good = weight("pharmacy", "match", "2");
        let edit = RowEdit::new("treasury", "match").with_cell(column, value);

        let err = operator(&store, "anna").set(&[good, edit], None).unwrap_err();

        let ConfigError::Field(err) = err else { panic!("{column} {value}: {err}") };
        assert_eq!((err.field, err.value.as_str()), (field, value));
        assert!(err.fix.starts_with("give "), "{err}");
    }
    assert_eq!(store.puts(), puts);
}

#[test]
fn names_that_can_not_stand_in_a_path_are_refused() {
    let store = store_with(&["treasury"]);
    let anna = operator(&store, "anna");
    for name in ["", "a/b", "a b", "-a", "é", &"x".repeat(65)] {
        let row = anna.set(&[weight("treasury", name, "1")], None);
        let workspace = anna.add_workspace(Workspace::new(name, "k", Vec::new()));
        let pipeline = Pipeline::new(name, "m", 1);
        let pipeline = anna.add_pipeline(pipeline);

        for refused in [row, workspace, pipeline] {
            assert!(matches!(refused, Err(ConfigError::Field(_))), "{name:?}: {refused:?}");
        }
    }
}

#[test]
fn a_row_of_an_unknown_workspace_is_refused() {
    let store = store_with(&["treasury"]);

    let err = operator(&store, "anna").set(&[weight("tresury", "match", "1")], None).unwrap_err();

    assert_eq!(err, ConfigError::NoSuch { what: "workspace tresury".into() });
}

#[test]
fn a_change_of_another_row_in_between_is_kept() {
    let (one, two) = same_page();
    let store = store_with(&[&one, &two]);
    let ben = operator(&store, "ben");
    let edit = weight(&two, "match", "3");
    store.before_put(move || drop(ben.set(&[edit], None).unwrap()));

    let report = operator(&store, "anna").set(&[weight(&one, "match", "2")], None).unwrap();

    let written = report.pages[0].outcome.clone().unwrap();
    assert_eq!(written.retries, 1);
    let rows = operator(&store, "carl").rows().unwrap();
    let weights: Vec<f64> = rows.iter().map(|row| row.item.weight).collect();
    assert_eq!(weights, [2.0, 3.0]);
}

#[test]
fn a_change_of_the_same_row_in_between_wins_and_is_named() {
    let store = store_with(&["treasury"]);
    let ben = operator(&store, "ben");
    store.before_put(move || drop(ben.set(&[weight("treasury", "match", "3")], None).unwrap()));

    let report = operator(&store, "anna").set(&[weight("treasury", "match", "2")], None).unwrap();

    let err = report.into_result().unwrap_err();
    let ConfigError::Clash { what, winner } = &err else { panic!("{err}") };
    assert_eq!((what.as_str(), winner.by.as_str()), ("row treasury/match", "ben"));
    assert!(err.to_string().contains("changed first by ben"), "{err}");
    assert_eq!(operator(&store, "carl").row("treasury", "match").unwrap().item.weight, 3.0);
}

#[test]
fn if_revision_refuses_a_row_changed_since_and_only_that() {
    let (one, two) = same_page();
    let store = store_with(&[&one, &two]);
    let anna = operator(&store, "anna");
    let seen = anna.set(&[weight(&one, "match", "2")], None).unwrap().revision();
    operator(&store, "ben").set(&[weight(&two, "match", "3")], None).unwrap();

    let other_row_moved = anna.set(&[weight(&one, "match", "4")], Some(seen));
    let same_row_moved = anna.set(&[weight(&one, "match", "5")], Some(seen));

    assert!(other_row_moved.unwrap().is_complete());
    let err = same_row_moved.unwrap_err();
    assert!(matches!(err, ConfigError::Clash { .. }), "{err}");
}

#[test]
fn a_lost_answer_is_settled_by_reading_back() {
    for fault in [Fault::AnswerLost, Fault::CallLost, Fault::Delayed] {
        let store = store_with(&["treasury"]);
        let anna = operator(&store, "anna");
        store.fail(&[fault]);

        let report = anna.set(&[weight("treasury", "match", "2")], None).unwrap();

        assert!(report.is_complete(), "{fault:?}: {report:?}");
        let row = anna.row("treasury", "match").unwrap();
        assert_eq!((row.item.weight, row.change.id), (2.0, report.change), "{fault:?}");
        assert_eq!(row.change.revision, report.revision(), "{fault:?}");
    }
}

#[test]
fn a_lost_answer_is_settled_though_the_row_was_changed_again() {
    let store = store_with(&["treasury"]);
    let (anna, ben) = (operator(&store, "anna"), operator(&store, "ben"));
    store.fail(&[Fault::AnswerLost]);
    store.after_put(move || drop(ben.set(&[weight("treasury", "match", "3")], None).unwrap()));

    let report = anna.set(&[weight("treasury", "match", "2")], None).unwrap();

    let now = anna.row("treasury", "match").unwrap();
    assert!(report.is_complete(), "{report:?}");
    assert!(report.revision() < now.change.revision);
    assert_eq!((now.item.weight, now.change.by.as_str()), (3.0, "ben"));
}

#[test]
fn a_lost_answer_is_not_settled_by_an_old_copy() {
    let store = store_with(&["treasury"]);
    let anna = operator(&store, "anna");
    store.keep_copy();
    anna.set(&[weight("treasury", "match", "2")], None).unwrap();
    store.fail(&[Fault::AnswerLost]);
    let stale = store.clone();
    store.after_put(move || stale.answer_stale(1));

    let report = anna.set(&[weight("treasury", "match", "3")], None).unwrap();

    assert!(report.is_complete(), "{report:?}");
    assert_eq!(anna.row("treasury", "match").unwrap().change.id, report.change);
}

#[test]
fn a_lost_answer_is_not_settled_by_a_page_that_has_forgotten() {
    let (one, two) = same_page();
    let store = store_with(&[&one, &two]);
    let ben = operator(&store, "ben");
    store.fail(&[Fault::AnswerLost]);
    let many = move || {
        for number in 1..=RECENT_CHANGES + 1 {
            ben.set(&[weight(&two, "match", &number.to_string())], None).unwrap();
        }
    };
    store.after_put(many);

    let report = operator(&store, "anna").set(&[weight(&one, "match", "2")], None).unwrap();

    let err = report.into_result().unwrap_err();
    assert!(err.may_have_taken_effect(), "{err}");
}

#[test]
fn a_lost_answer_that_can_not_be_settled_is_said_so() {
    let store = store_with(&["treasury"]);
    store.fail(&[Fault::CallLost; 4]);

    let report = operator(&store, "anna").set(&[weight("treasury", "match", "2")], None).unwrap();

    let err = report.into_result().unwrap_err();
    assert!(err.may_have_taken_effect(), "{err}");
}

#[test]
fn a_store_that_is_down_writes_nothing_and_is_told() {
    let store = store_with(&["treasury"]);
    store.fail(&[Fault::Down; 4]);

    let report = operator(&store, "anna").set(&[weight("treasury", "match", "2")], None).unwrap();

    let err = report.into_result().unwrap_err();
    assert!(matches!(err, ConfigError::Store { .. }), "{err}");
}

#[test]
fn an_old_copy_does_not_bring_back_what_was_overwritten() {
    let store = store_with(&["treasury"]);
    let anna = operator(&store, "anna");
    anna.set(&[weight("treasury", "match", "2")], None).unwrap();
    store.keep_copy();
    store.answer_stale(3);
    // Stale gets: the workspace page, the row's page, and the first reading back.
    let ben = operator(&store, "ben");
    store.before_put(move || {
        drop(ben.set(&[weight("treasury", "draft", "7")], None));
    });

    let report = anna.set(&[weight("treasury", "match", "3")], None).unwrap();

    assert!(report.is_complete(), "{report:?}");
    let rows = anna.rows_of("treasury").unwrap();
    let rows: Vec<_> = rows.iter().map(|row| (row.item.kind.as_str(), row.item.weight)).collect();
    assert_eq!(rows, [("draft", 7.0), ("match", 3.0)]);
}

#[test]
fn a_change_of_many_rows_is_told_page_by_page() {
    let names: Vec<String> = (0..8).map(|n| format!("w{n}")).collect();
    let store = store_with(&names.iter().map(String::as_str).collect::<Vec<_>>());
    let edits: Vec<RowEdit> = names.iter().map(|name| weight(name, "match", "2")).collect();
    let calls = [Fault::None, Fault::Down, Fault::Down, Fault::Down, Fault::Down];
    store.fail(&calls);

    let report = operator(&store, "anna").set(&edits, None).unwrap();

    let pages: std::collections::BTreeSet<u16> = names.iter().map(|name| page_of(name)).collect();
    assert_eq!(report.pages.len(), pages.len());
    assert_eq!(report.failures().count(), 1);
    let failed = report.failures().next().unwrap().0.items.clone();
    for row in operator(&store, "ben").rows().unwrap() {
        assert!(!failed.contains(&row.item.name()));
        assert_eq!(row.change.id, report.change);
    }
}

#[test]
fn import_of_an_export_writes_nothing() {
    let names: Vec<String> = (0..PAGES / 4).map(|n| format!("w{n}")).collect();
    let store = store_with(&names.iter().map(String::as_str).collect::<Vec<_>>());
    let anna = operator(&store, "anna");
    let edits: Vec<RowEdit> = names.iter().map(|name| weight(name, "match", "0.1")).collect();
    anna.set(&edits, None).unwrap();
    let export: Vec<Row> = anna.rows().unwrap().into_iter().map(|row| row.item).collect();
    let puts = store.puts();

    let report = anna.import(&export, None).unwrap();

    assert_eq!(export.len(), names.len());
    assert!(report.pages.iter().all(|page| page.outcome.as_ref().unwrap().unchanged));
    assert_eq!(store.puts(), puts);
}

#[test]
fn a_workspace_is_added_once_changed_and_removed_with_its_rows() {
    let store = store_with(&["treasury"]);
    let anna = operator(&store, "anna");
    anna.set(&[weight("treasury", "match", "2")], None).unwrap();

    let again = anna.add_workspace(Workspace::new("treasury", "other", Vec::new()));
    let same_key = anna.add_workspace(Workspace::new("pharmacy", "key-treasury", Vec::new()));
    anna.set_may_call("treasury", vec!["lexis".into(), "ledger".into()], None).unwrap();
    let may_call = anna.workspace("treasury").unwrap().item.may_call;
    let removed = anna.remove_workspace("treasury", None).unwrap();

    assert!(matches!(again, Err(ConfigError::Exists { .. })), "{again:?}");
    assert_eq!(same_key, Err(ConfigError::KeyTaken { workspace: "treasury".into() }));
    assert_eq!(may_call, ["lexis", "ledger"]);
    assert!(removed.is_complete());
    assert!(anna.workspaces().unwrap().is_empty() && anna.rows().unwrap().is_empty());
}

#[test]
fn a_pipeline_needs_layers() {
    let store = store_with(&[]);
    let anna = operator(&store, "anna");
    let pipeline = |layers| Pipeline::new("lexis", "lexis", layers);

    let none = anna.add_pipeline(pipeline(0)).unwrap_err();
    anna.add_pipeline(pipeline(12)).unwrap();

    assert_eq!(none.to_string(), "pipeline lexis: layers is `0`; give 1 to 4096");
    assert_eq!(anna.pipeline("lexis").unwrap().item.layers, 12);
}

#[test]
fn a_page_written_past_the_tool_is_not_overwritten() {
    let store = store_with(&["treasury"]);
    let mut row = Row::new("treasury", "match");
    let key = row.page().key();
    row.weight = 0.0;
    let out_of_range = serde_json::to_vec(&Page::new(Change::default(), vec![row])).unwrap();
    for bad in [b"{\"items\":".to_vec(), out_of_range] {
        store.write(&key, &bad);
        let edit = weight("treasury", "match", "2");

        let err = operator(&store, "anna").set(&[edit], None).unwrap_err();

        assert!(matches!(err, ConfigError::BadPage { .. }), "{err}");
    }
}

#[test]
fn a_page_remembers_a_bounded_number_of_changes() {
    let store = store_with(&["treasury"]);
    let anna = operator(&store, "anna");
    for number in 1..=RECENT_CHANGES + 3 {
        anna.set(&[weight("treasury", "match", &number.to_string())], None).unwrap();
    }

    let key = Row::new("treasury", "match").page().key();
    let object = sorrellock_ports::api::ObjectStore::get(&store, &key).unwrap().unwrap();
    let page: Page<Row> = serde_json::from_slice(&object.value).unwrap();

    let revisions: Vec<u64> = page.recent.iter().map(|change: &Change| change.revision).collect();
    assert_eq!(revisions.len(), RECENT_CHANGES);
    assert!(revisions[..RECENT_CHANGES - 1].is_sorted() && revisions[0] > 0);
}
