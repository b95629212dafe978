//! The best paths of a service follow its engines, and an unchanged data centre isn't searched again.

mod common;

use common::holder;
use quickcheck::quickcheck;
use sorrellock_routing::process::{BestPaths, Holder, RankedPath};

const LAYERS: u32 = 12;

fn holders_in_two_data_centres() -> Vec<Holder> {
    vec![
        holder("a", "x", 0, 6, 1.0),
        holder("b", "x", 6, 12, 1.0),
        holder("c", "y", 0, 8, 1.0),
        holder("d", "y", 6, 12, 1.0),
    ]
}

fn data_centres(paths: &[RankedPath]) -> Vec<&str> {
    paths.iter().map(|ranked| ranked.path.data_centre.as_str()).collect()
}

#[test]
fn each_data_centre_has_paths_of_its_own() {
    let paths = BestPaths::default().update(&holders_in_two_data_centres(), LAYERS);

    assert_eq!(data_centres(&paths), ["x", "y"]);
    assert!(paths.iter().all(|ranked| ranked.path.crossings == 0));
}

#[test]
fn a_path_crosses_data_centres_only_where_none_holds_all_layers() {
    let holders = [holder("a", "x", 0, 6, 1.0), holder("d", "y", 6, 12, 1.0)];

    let paths = BestPaths::default().update(&holders, LAYERS);

    assert_eq!(paths.len(), 1);
    assert_eq!(paths[0].path.crossings, 1);
}

#[test]
fn redundancy_is_the_share_of_layers_that_another_engine_holds() {
    let paths = BestPaths::default().update(&holders_in_two_data_centres(), LAYERS);

    assert_eq!(paths[0].redundancy, 0.0);
    assert_eq!(paths[1].redundancy, 2.0 / 12.0);
}

#[test]
fn engines_that_did_not_change_are_not_searched_again() {
    let mut best = BestPaths::default();
    let before = best.update(&holders_in_two_data_centres(), LAYERS);

    let after = best.update(&holders_in_two_data_centres(), LAYERS);

    assert_eq!(after, before);
    assert_eq!(best.searches(), 2);
}

#[test]
fn the_change_of_one_engine_searches_its_data_centre_alone() {
    let mut best = BestPaths::default();
    best.update(&holders_in_two_data_centres(), LAYERS);
    let mut holders = holders_in_two_data_centres();
    holders.remove(3);

    let paths = best.update(&holders, LAYERS);

    assert_eq!(data_centres(&paths), ["x"]);
    assert_eq!(best.searches(), 3);
}

#[test]
fn another_number_of_layers_searches_all() {
    let mut best = BestPaths::default();
    best.update(&holders_in_two_data_centres(), LAYERS);

    let paths = best.update(&holders_in_two_data_centres(), LAYERS - 1);

    assert_eq!(data_centres(&paths), ["x", "y"]);
    assert!(paths.iter().all(|ranked| ranked.path.parts.last().expect("whole").layers.to == 11));
}

quickcheck! {
    /// Cached results don't differ: the paths are those of a search from scratch.
    fn a_course_of_changes_ends_like_a_search_from_scratch(course: Vec<Vec<(u8, u8, bool)>>) -> bool {
        let mut best = BestPaths::default();
        course.iter().take(8).all(|seeds| {
            let holders: Vec<Holder> = seeds.iter().take(8).enumerate().map(|(index, seed)| {
                let (from, len) = (u32::from(seed.0 % 3) * 3, u32::from(seed.1 % 4) * 3 + 3);
                let data_centre = if seed.2 { "x" } else { "y" };
                let to = (from + len).min(LAYERS);
                holder(&index.to_string(), data_centre, from, to, 1.0)
            }).collect();
            best.update(&holders, LAYERS) == BestPaths::default().update(&holders, LAYERS)
        })
    }
}
