//! Plots the mean worth of the trial days over the rounds of measurement, a line for each site.
//!
//! `cargo run -p sorrellock-bench --example plot_rounds` reads `docs/results/rounds.csv` (a round a
//! line, a site a column, nothing where a site was not played) and writes
//! `docs/results/rounds.svg`.

use eyre::{Result, WrapErr, eyre};
use plotters::prelude::*;
use std::fs;
use std::path::Path;

/// Size of the plot, in pixels.
const SIZE: (u32, u32) = (900, 480);
/// Worth that the plot shows.
const WORTH: std::ops::Range<f64> = 0.38..0.64;

/// The mean worth of one site, by round.
struct Site {
    name: String,
    points: Vec<(usize, f64)>,
}

fn main() -> Result<()> {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/results");
    let table = folder.join("rounds.csv");
    let text = fs::read_to_string(&table).wrap_err_with(|| format!("read {}", table.display()))?;
    let (sites, rounds) = parse(&text)?;
    plot(&folder.join("rounds.svg"), &sites, rounds)
}

/// The sites of a table, and how many rounds it has.
fn parse(text: &str) -> Result<(Vec<Site>, usize)> {
    let mut lines = text.lines();
    let head = lines.next().ok_or_else(|| eyre!("the table has no head"))?;
    let names = head.split(',').skip(1);
    let mut sites: Vec<Site> =
        names.map(|name| Site { name: name.to_owned(), points: Vec::new() }).collect();
    let mut rounds = 0;
    for line in lines {
        for (site, cell) in sites.iter_mut().zip(line.split(',').skip(1)) {
            if cell.is_empty() {
                continue;
            }
            let worth = cell.parse().wrap_err_with(|| format!("{}: `{cell}` in {line}", site.name));
            site.points.push((rounds, worth?));
        }
        rounds += 1;
    }
    Ok((sites, rounds))
}

fn plot(path: &Path, sites: &[Site], rounds: usize) -> Result<()> {
    let root = SVGBackend::new(path, SIZE).into_drawing_area();
    root.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&root)
        .margin(12)
        .caption("Mean worth of 15 trial days, by round", ("sans-serif", 18))
        .x_label_area_size(36)
        .y_label_area_size(48)
        .build_cartesian_2d(0..rounds, WORTH)?;
    chart.configure_mesh().x_desc("round").y_desc("worth").draw()?;
    for (index, site) in sites.iter().enumerate() {
        let color = Palette99::pick(index).to_rgba();
        let line = LineSeries::new(site.points.iter().copied(), color.stroke_width(2));
        chart
            .draw_series(line)?
            .label(&site.name)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 18, y)], color.stroke_width(2)));
    }
    chart.configure_series_labels().background_style(WHITE).border_style(BLACK).draw()?;
    root.present()?;
    Ok(())
}
