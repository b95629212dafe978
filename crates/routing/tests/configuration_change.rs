//! A configuration that one gateway sends another as changes to an earlier one.

use quickcheck::{Arbitrary, Gen, quickcheck};
use sorrellock_routing::process::Revision;
use sorrellock_routing::process::knowledge::{Handover, Knowledge};
use sorrellock_routing::version::{
    CallerLimits, ChangeError, Configuration, ConfigurationChange, ConfigurationMark, Route,
    Semantics, Service, Workspace,
};
use std::time::{Duration, Instant};

/// Bytes that the busiest gateway may send in a second.
const MAX_BYTES: usize = 200_000;
/// Configurations in a minute with many.
const CONFIGURATIONS: usize = 15;

fn route(name: usize, timeout_s: u64) -> Route {
    Route {
        name: format!("route-{name}"),
        host: format!("host-{}.example", name % 3),
        path_prefix: format!("/{name}/"),
        semantics: Semantics::Idempotent,
        timeout: Duration::from_secs(timeout_s),
        target_latency: Duration::from_millis(300),
        target_gap: None,
        priority: 1,
        targets: vec![("service-0".to_owned(), 1)],
        max_attempts: 3,
        is_public: false,
    }
}

fn service(name: usize) -> Service {
    Service {
        name: format!("service-{name}"),
        health_path: "/health".to_owned(),
        max_connections: 100,
        model: None,
    }
}

fn workspace(name: usize, key: u8) -> Workspace {
    Workspace {
        name: format!("workspace-{name}"),
        keys: vec![format!("key-{name}-{key}")],
        priority: None,
    }
}

/// Returns a configuration with so many workspaces, and one route for each ten of them.
fn configuration(version: u64, workspaces: usize) -> Configuration {
    Configuration {
        version,
        routes: (0..workspaces / 10).map(|name| route(name, 10)).collect(),
        services: (0..2).map(service).collect(),
        limits: CallerLimits {
            max_header_bytes: 1 << 14,
            max_body_bytes: 1 << 20,
            header_timeout: Duration::from_secs(1),
            idle_timeout: Duration::from_secs(10),
        },
        workspaces: (0..workspaces).map(|name| workspace(name, 0)).collect(),
    }
}

/// Returns the same as the next version, with another timeout of a route.
fn with_timeout(before: &Configuration, timeout_s: u64) -> Configuration {
    let mut after = Configuration { version: before.version + 1, ..before.clone() };
    after.routes[1].timeout = Duration::from_secs(timeout_s);
    after
}

fn change(before: &Configuration, after: &Configuration) -> ConfigurationChange {
    ConfigurationChange::new((before, before.mark()), (after, after.mark()))
}

/// Returns what a gateway knows that had these configurations in force, one after the other.
fn knowledge(cfgs: impl IntoIterator<Item = Configuration>) -> Knowledge {
    let mut knowledge = Knowledge::new(Duration::from_secs(1));
    for cfg in cfgs {
        assert!(knowledge.apply_configuration(cfg, Instant::now()));
    }
    knowledge
}

fn handover(from: &Knowledge, mark: ConfigurationMark) -> Handover {
    from.handover_of_changes(mark, Revision::default(), Instant::now())
}

/// A configuration with any items in any order, some of them more than once.
#[derive(Clone, Debug)]
struct AnyConfiguration(Configuration);

impl Arbitrary for AnyConfiguration {
    fn arbitrary(g: &mut Gen) -> AnyConfiguration {
        let list = |g: &mut Gen| -> Vec<(usize, u8)> {
            let list = Vec::<(u8, u8)>::arbitrary(g);
            list.into_iter().map(|(name, of)| (usize::from(name % 8), of % 2)).collect()
        };
        let (routes, services, workspaces) = (list(g), list(g), list(g));
        AnyConfiguration(Configuration {
            version: u64::arbitrary(g),
            routes: routes.into_iter().map(|(name, of)| route(name, of.into())).collect(),
            services: services.into_iter().map(|(name, _)| service(name)).collect(),
            workspaces: workspaces.into_iter().map(|(name, of)| workspace(name, of)).collect(),
            ..configuration(0, 0)
        })
    }
}

quickcheck! {
    fn a_change_leads_to_the_later_configuration(
        before: AnyConfiguration,
        after: AnyConfiguration
    ) -> bool {
        let (before, after) = (before.0, after.0);
        let changes = [change(&before, &after)];

        before.with_changes(before.mark(), &changes) == Ok(after)
    }
}

#[test]
fn what_a_relay_hands_over_doesnt_grow_with_the_configuration() {
    for gateways in [8, 68, 436, 872] {
        let members = gateways / 5;
        for workspaces in [333, 18_000] {
            let first = configuration(1, workspaces);
            let relay = knowledge([first.clone(), with_timeout(&first, 20)]);

            let handed = handover(&relay, first.mark());

            let bytes = serde_json::to_vec(&handed).map_or(0, |buf| buf.len());
            let second = bytes * members * CONFIGURATIONS / 60;
            assert!(second <= MAX_BYTES, "{gateways} gateways: {second} bytes a second");
        }
    }
}

#[test]
fn a_gateway_that_missed_several_configurations_gets_their_changes() {
    let first = configuration(1, 333);
    let second = with_timeout(&first, 20);
    let third = with_timeout(&second, 30);
    let relay = knowledge([first.clone(), second, third.clone()]);
    let member = knowledge([first.clone()]);

    let handed = handover(&relay, first.mark());

    assert_eq!(handed.changes.len(), 2);
    let resolved = member.resolve(handed).map(|handed| handed.configuration);
    assert_eq!(resolved, Ok(Some(third)));
}

#[test]
fn a_gateway_with_another_content_of_the_version_gets_the_whole() {
    let first = configuration(1, 333);
    let relay = knowledge([first.clone(), with_timeout(&first, 20)]);
    let other = Configuration { workspaces: Vec::new(), ..first };

    let handed = handover(&relay, other.mark());

    assert!(handed.changes.is_empty());
    assert_eq!(handed.configuration.map(|cfg| cfg.version), Some(2));
}

#[test]
fn a_configuration_with_little_in_common_is_sent_whole() {
    let first = configuration(1, 333);
    let second = Configuration {
        version: 2,
        workspaces: (0..333).map(|name| workspace(name, 1)).collect(),
        ..first.clone()
    };
    let relay = knowledge([first.clone(), second]);

    let handed = handover(&relay, first.mark());

    assert!(handed.changes.is_empty());
    assert_eq!(handed.configuration.map(|cfg| cfg.version), Some(2));
}

#[test]
fn changes_to_what_was_replaced_in_the_meantime_are_not_applied() {
    let first = configuration(1, 333);
    let second = with_timeout(&first, 20);
    let relay = knowledge([first.clone(), second.clone()]);
    let handed = handover(&relay, first.mark());
    let member = knowledge([first, with_timeout(&second, 30)]);

    let resolved = member.resolve(handed);

    assert_eq!(resolved.map(|handed| handed.configuration), Ok(None));
}

#[test]
fn changes_before_what_came_in_the_meantime_are_skipped() {
    let first = configuration(1, 333);
    let second = with_timeout(&first, 20);
    let third = with_timeout(&second, 30);
    let relay = knowledge([first.clone(), second.clone(), third.clone()]);
    let handed = handover(&relay, first.mark());
    let member = knowledge([first, second]);

    let resolved = member.resolve(handed);

    assert_eq!(resolved.map(|handed| handed.configuration), Ok(Some(third)));
}

#[test]
fn a_change_of_another_configuration_is_an_error() {
    let (first, other) = (configuration(1, 333), configuration(1, 20));
    let changes = [change(&first, &with_timeout(&first, 20))];

    let applied = other.with_changes(other.mark(), &changes);

    assert_eq!(applied, Err(ChangeError::OtherBase(first.mark())));
}

#[test]
fn a_change_that_keeps_what_isnt_there_is_an_error() {
    let (first, other) = (configuration(1, 333), configuration(1, 20));
    let changes = [change(&first, &with_timeout(&first, 20))];

    let applied = other.with_changes(first.mark(), &changes);

    assert!(matches!(applied, Err(ChangeError::OutOfRange { items: 2, .. })), "{applied:?}");
}

#[test]
fn a_change_that_leads_to_another_content_is_an_error() {
    let first = configuration(1, 333);
    let second = with_timeout(&first, 20);
    let changes = [ConfigurationChange::new((&first, first.mark()), (&second, first.mark()))];

    let applied = first.with_changes(first.mark(), &changes);

    assert_eq!(applied, Err(ChangeError::OtherResult(first.mark())));
}
