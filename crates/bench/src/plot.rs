//! Plots of a comparison, as SVG.

use crate::compare::{serialized_name, Row};
use crate::trace::Deployment;
use eyre::{eyre, Result};
use plotters::prelude::*;

const SIZE: (u32, u32) = (1_000, 420);
const COLOURS: [RGBColor; 4] = [BLUE, RED, GREEN, MAGENTA];

/// Writes one plot of attainment per deployment.
pub fn write(folder: &str, rows: &[Row]) -> Result<()> {
    std::fs::create_dir_all(folder)?;
    for deployment in Deployment::ALL {
        let selected: Vec<&Row> = rows.iter().filter(|r| r.deployment == deployment).collect();
        let path = format!("{folder}/attainment-{}.svg", serialized_name(&deployment));
        draw(&path, &serialized_name(&deployment), &selected).map_err(|e| eyre!("{path}: {e}"))?;
    }
    Ok(())
}

fn draw(path: &str, title: &str, rows: &[&Row]) -> Result<(), Box<dyn std::error::Error>> {
    let root = SVGBackend::new(path, SIZE).into_drawing_area();
    root.fill(&WHITE)?;
    let groups = rows.len() / COLOURS.len();
    let mut chart = ChartBuilder::on(&root)
        .caption(
            format!("{title}: share of requests within target"),
            ("sans-serif", 18),
        )
        .margin(10)
        .x_label_area_size(30)
        .y_label_area_size(40)
        .build_cartesian_2d(0.0..groups as f64, 0.0..1.0)?;
    let names: Vec<String> = rows
        .chunks(COLOURS.len())
        .map(|g| serialized_name(&g[0].experiment))
        .collect();
    chart
        .configure_mesh()
        .x_labels(groups)
        .x_label_formatter(&|x| names.get(*x as usize).cloned().unwrap_or_default())
        .draw()?;
    for (i, colour) in COLOURS.iter().enumerate() {
        let bars = rows.iter().skip(i).step_by(COLOURS.len()).enumerate();
        let bars = bars.map(|(g, row)| {
            let left = g as f64 + 0.1 + i as f64 * 0.2;
            Rectangle::new(
                [(left, 0.0), (left + 0.18, row.attainment)],
                colour.filled(),
            )
        });
        let name = rows
            .get(i)
            .map(|r| serialized_name(&r.policy))
            .unwrap_or_default();
        let colour = *colour;
        chart
            .draw_series(bars)?
            .label(name)
            .legend(move |(x, y)| Rectangle::new([(x, y - 5), (x + 10, y + 5)], colour.filled()));
    }
    chart
        .configure_series_labels()
        .background_style(WHITE)
        .draw()?;
    root.present()?;
    Ok(())
}
