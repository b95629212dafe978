//! Paths: each layer once and in order, inside a data centre, and at the lowest cost.

mod common;

use common::{holder, incarnation};
use quickcheck::quickcheck;
use sorrellock_routing::process::{
    Holder, LayerRange, MAX_PARTS, PathPart, PipelinePath, cheapest_path, path_with_first,
    paths_by_head,
};

/// Returns the ids of a path's engines, in order.
fn ids(path: &PipelinePath) -> Vec<&str> {
    path.parts.iter().map(|part| part.incarnation.id.as_str()).collect()
}

fn assert_whole(path: &PipelinePath, layers: u32) {
    let mut next = 0;
    for part in &path.parts {
        assert_eq!(part.layers.from, next);
        assert!(!part.layers.is_empty());
        next = part.layers.to;
    }
    assert_eq!(next, layers);
}

#[test]
fn a_path_runs_each_layer_once_and_in_order_over_overlapping_holders() {
    let holders =
        [holder("a", "x", 0, 6, 1.0), holder("b", "x", 4, 9, 2.0), holder("c", "x", 8, 12, 1.0)];

    let path = cheapest_path(&holders, 12).expect("they cover all layers");

    assert_whole(&path, 12);
    assert_eq!(path.parts[0].layers.to, 6, "the cheaper holder runs all that it holds");
}

#[test]
fn a_missing_layer_means_no_path() {
    let holders = [holder("a", "x", 0, 5, 1.0), holder("b", "x", 6, 12, 1.0)];

    assert_eq!(cheapest_path(&holders, 12), None);
}

#[test]
fn a_path_stays_inside_a_data_centre_though_another_is_faster() {
    let holders =
        [holder("a", "x", 0, 6, 1.0), holder("b", "x", 6, 12, 9.0), holder("c", "y", 6, 12, 1.0)];

    let path = cheapest_path(&holders, 12).expect("they cover all layers");

    assert_eq!(path.crossings, 0);
    assert!(path.uses(&incarnation("b")));
}

#[test]
fn each_first_engine_has_a_path_of_its_own() {
    let holders =
        [holder("a", "x", 0, 6, 1.0), holder("head", "x", 0, 2, 5.0), holder("b", "x", 6, 12, 1.0)];

    let paths = paths_by_head(&holders, 12);

    let firsts: Vec<&str> = paths.iter().map(|path| path.first().incarnation.id.as_str()).collect();
    assert_eq!(firsts, ["a", "head"]);
    paths.iter().for_each(|path| assert_whole(path, 12));
}

#[test]
fn paths_share_no_engine_where_each_layer_has_two_holders() {
    let holders = [
        holder("a", "x", 0, 6, 1.0),
        holder("b", "x", 0, 5, 2.5),
        holder("c", "x", 6, 12, 1.0),
        holder("d", "x", 5, 12, 2.5),
    ];

    let paths = paths_by_head(&holders, 12);

    assert_eq!(paths.len(), 2);
    assert_eq!([ids(&paths[0]), ids(&paths[1])], [["a", "c"], ["b", "d"]]);
}

#[test]
fn a_path_with_a_gap_goes_over_an_engine_of_another() {
    let holders = [
        holder("a", "x", 0, 4, 1.0),
        holder("b", "x", 0, 6, 1.0),
        holder("c", "x", 6, 12, 1.0),
        holder("d", "x", 8, 12, 1.0),
    ];

    let paths = paths_by_head(&holders, 12);

    let of_a = paths
        .iter()
        .find(|path| path.first().incarnation.id == "a")
        .expect("it begins at the first");
    assert_eq!(
        ids(of_a),
        ["a", "b", "c", "d"],
        "it is shared only where nothing else runs the layers"
    );
    assert_whole(of_a, 12);
}

#[test]
fn a_path_runs_few_layers_at_an_engine_with_little_room() {
    let mut holders = [holder("a", "x", 0, 8, 1.0), holder("b", "x", 4, 12, 1.0)];
    holders[0].kv_capacity = 500.0;

    let path = cheapest_path(&holders, 12).expect("they cover all layers");

    assert_eq!(path.parts[0].layers.to, 4);
    assert_eq!(path.token_capacity, 125.0);
}

#[test]
fn an_engine_inside_the_range_of_another_is_left_out_where_the_path_would_come_back() {
    let holders = [holder("a", "x", 0, 12, 5.0), holder("b", "x", 4, 8, 1.0)];

    let path = cheapest_path(&holders, 12).expect("one covers all layers");

    assert_eq!(path.parts.len(), 1);
    assert_whole(&path, 12);
}

/// Returns the part of an engine that runs `0..to`.
fn first_part(holder: &Holder, to: u32) -> PathPart {
    PathPart {
        incarnation: holder.incarnation.clone(),
        addr: holder.addr,
        layers: LayerRange::new(0, to),
    }
}

#[test]
fn a_path_for_requests_that_run_begins_with_the_part_that_they_have() {
    let holders =
        [holder("a", "x", 0, 8, 1.0), holder("b", "x", 4, 12, 1.0), holder("c", "x", 4, 12, 9.0)];

    let path =
        path_with_first(&holders, 12, &first_part(&holders[0], 5)).expect("b holds the rest");

    assert_eq!(ids(&path), ["a", "b"]);
    assert_eq!(path.parts[0].layers, LayerRange::new(0, 5));
    assert_whole(&path, 12);
}

#[test]
fn a_path_for_requests_that_run_does_not_come_back_to_their_first_engine() {
    let holders = [holder("a", "x", 0, 12, 1.0), holder("b", "x", 4, 8, 1.0)];

    let path = path_with_first(&holders, 12, &first_part(&holders[0], 5));

    assert_eq!(path, None, "the last layers are held by the first engine alone");
}

#[test]
fn there_is_no_path_for_requests_whose_first_engine_is_gone() {
    let holders = [holder("b", "x", 4, 12, 1.0)];

    assert_eq!(path_with_first(&holders, 12, &first_part(&holder("a", "x", 0, 5, 1.0), 5)), None);
}

/// Returns the lowest cost of running all layers with each engine visited once, by exhaustive search.
fn exhaustive_search(holders: &[Holder], layer: u32, layers: u32, visited: &mut Vec<usize>) -> f64 {
    if layer == layers {
        return 0.0;
    }
    let mut best = f64::INFINITY;
    for (index, one) in holders.iter().enumerate().filter(|(_, one)| one.layers.contains(layer)) {
        if visited.last() == Some(&index) {
            best =
                best.min(one.layer_cost + exhaustive_search(holders, layer + 1, layers, visited));
        } else if !visited.contains(&index) {
            visited.push(index);
            best = best
                .min(0.5 + one.layer_cost + exhaustive_search(holders, layer + 1, layers, visited));
            visited.pop();
        }
    }
    best
}

fn is_nested(a: &Holder, b: &Holder) -> bool {
    a.layers.from < b.layers.from && b.layers.to < a.layers.to
}

quickcheck! {
    /// A path exists wherever an exhaustive search finds one, and it costs the same unless an engine lies inside
    /// the range of another.
    fn a_path_is_as_cheap_as_an_exact_search(seeds: Vec<(u8, u8, u8)>) -> bool {
        let holders: Vec<Holder> = seeds.iter().take(4).enumerate().map(|(index, seed)| {
            let (from, len) = (u32::from(seed.0 % 6), u32::from(seed.1 % 6) + 1);
            holder(&index.to_string(), "x", from, from + len, f64::from(seed.2) + 1.0)
        }).collect();
        let best = exhaustive_search(&holders, 0, 6, &mut Vec::new());
        let Some(path) = cheapest_path(&holders, 6) else { return best.is_infinite() };
        let cost = path.step_ms + 0.5 * path.parts.len() as f64;
        let has_nested = holders.iter().any(|a| holders.iter().any(|b| is_nested(a, b)));
        assert_whole(&path, 6);
        path.parts.len() <= MAX_PARTS && cost >= best - 1e-6 && (has_nested || cost <= best + 1e-6)
    }
}
