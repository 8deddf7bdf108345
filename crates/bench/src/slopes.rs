//! `slopes`: the cost of a unit of state, a message or a decision, from at least four sizes.
//! `docs/CAPACITY.md` uses these figures.

use crate::costs;
use crate::fit::{fit, Fit, Point};
use crate::plans;
use crate::rig::{unlimited_template, Rig};
use crate::spread;
use awc::Client;
use eyre::Result;
use serde::Serialize;
use shaleline_config::Op;
use std::time::Instant;

/// The cost of a unit, fitted to measured points.
#[derive(Debug, Serialize)]
struct Slope {
    name: &'static str,
    unit: &'static str,
    points: Vec<Point>,
    fit: Fit,
}

/// Times in milliseconds until changes are accepted, applied and confirmed.
#[derive(Debug, Serialize)]
struct InForce {
    daemons: usize,
    accepted_p50: u64,
    applied_p50: u64,
    applied_max: u64,
    confirmed_p50: u64,
    confirmed_max: u64,
}

#[derive(Debug, Serialize)]
struct Figures {
    slopes: Vec<Slope>,
    spread: Vec<spread::Rounds>,
    in_force: Vec<InForce>,
    cold_start_300_ms: f64,
}

/// Measures and prints the figures.
pub fn run(as_json: bool) -> Result<bool> {
    let mut slopes = state_slopes();
    slopes.extend(decision_slopes());
    let figures = Figures {
        slopes,
        spread: spread::run(&[9, 50, 100, 200, 350]),
        in_force: actix_rt::System::new().block_on(in_force())?,
        cold_start_300_ms: costs::config_restore(300) / 1_000.0,
    };
    if as_json {
        println!("{}", serde_json::to_string_pretty(&figures)?);
    } else {
        print(&figures);
    }
    Ok(true)
}

fn state_slopes() -> Vec<Slope> {
    vec![
        measure(
            "config: snapshot bytes per organisation",
            "bytes",
            &[100, 200, 400, 800],
            costs::config_bytes,
        ),
        measure(
            "config: CPU per change, by organisations",
            "us",
            &[100, 200, 400, 800],
            costs::config_cpu,
        ),
        measure(
            "config: restore of a snapshot, by organisations",
            "us",
            &[100, 200, 400, 800],
            costs::config_restore,
        ),
        measure(
            "config: memory, by organisations",
            "KB",
            &[2_000, 4_000, 8_000, 16_000],
            costs::config_memory,
        ),
        measure(
            "once: log bytes, by requests",
            "bytes",
            &[1_000, 2_000, 4_000, 8_000],
            costs::once_log,
        ),
        measure(
            "once: CPU of replay, by requests",
            "us",
            &[5_000, 10_000, 20_000, 40_000],
            costs::once_cpu,
        ),
        measure(
            "once: snapshot bytes, by keys",
            "bytes",
            &[5_000, 10_000, 20_000, 40_000],
            costs::once_bytes,
        ),
        measure(
            "once: memory, by keys",
            "KB",
            &[10_000, 20_000, 30_000, 45_000],
            costs::once_memory,
        ),
    ]
}

fn decision_slopes() -> Vec<Slope> {
    vec![
        measure(
            "cell: snapshot bytes, by engines",
            "bytes",
            &[50, 100, 200, 400],
            costs::cell_bytes,
        ),
        measure(
            "cell: CPU of a plan, by engines",
            "us",
            &[12, 50, 100, 200, 444],
            costs::plan_cpu,
        ),
        measure(
            "fleet: CPU of a plan for the users' engines",
            "us",
            &[12, 50, 100, 200, 444],
            plans::cpu,
        ),
        measure(
            "route: CPU per request, by upstreams that serve it",
            "us",
            &[4, 16, 64, 256],
            costs::route_cpu,
        ),
        measure(
            "report: bytes, by items held",
            "bytes",
            &[2, 4, 8, 16],
            costs::report_bytes,
        ),
        measure(
            "report: CPU to read, by items held",
            "us",
            &[2, 4, 8, 16],
            costs::report_cpu,
        ),
    ]
}

fn print(figures: &Figures) {
    for s in &figures.slopes {
        let f = s.fit;
        println!(
            "{}: {:.3} + {:.4} (+/- {:.4}) {} per unit",
            s.name, f.base, f.slope, f.error, s.unit
        );
    }
    for r in &figures.spread {
        println!(
            "{} daemons: {} rounds until all know, {:.0} bytes and {:.1} us a second each",
            r.daemons, r.rounds, r.bytes, r.cpu_us
        );
    }
    for i in &figures.in_force {
        println!("{} daemons: accepted {} ms, in force on all p50 {} ms, most {} ms, confirmed p50 {} ms, most {} ms",
            i.daemons, i.accepted_p50, i.applied_p50, i.applied_max, i.confirmed_p50, i.confirmed_max);
    }
    println!(
        "cold start from a snapshot of 300 organisations: {:.1} ms",
        figures.cold_start_300_ms
    );
}

fn measure(
    name: &'static str,
    unit: &'static str,
    sizes: &[usize],
    cost: fn(usize) -> f64,
) -> Slope {
    let point = |size: &usize| Point {
        x: *size as f64,
        y: cost(*size),
    };
    let points: Vec<Point> = sizes.iter().map(point).collect();
    Slope {
        name,
        unit,
        fit: fit(&points),
        points,
    }
}

/// Measures the time until running daemons have accepted, applied and confirmed a change.
async fn in_force() -> Result<Vec<InForce>> {
    const CHANGES: usize = 8;
    let mut all = Vec::new();
    for daemons in [3, 9, 30] {
        let mut rig = Rig::start(daemons, 1, 0).await?;
        rig.change(&Op::PutTemplate(Box::new(unlimited_template()?)), None, 0)
            .await?;
        let client = Client::default();
        let mut times: [Vec<u64>; 3] = [Vec::new(), Vec::new(), Vec::new()];
        for i in 0..CHANGES {
            let op = Op::Drain {
                target: format!("nothing-{i}"),
                on: true,
            };
            let started = Instant::now();
            let answer = rig.change(&op, None, 0).await?;
            times[0].push(started.elapsed().as_millis() as u64);
            let offset = answer["accepted_at"].as_u64().unwrap_or(0);
            for index in 0..daemons {
                while rig.applied(index, &client).await? <= offset {
                    actix_rt::time::sleep(std::time::Duration::from_millis(1)).await;
                }
            }
            times[1].push(started.elapsed().as_millis() as u64);
            let repeated = Instant::now();
            let op = Op::Drain {
                target: format!("nothing-{i}"),
                on: false,
            };
            rig.change(&op, None, 20_000).await?;
            times[2].push(repeated.elapsed().as_millis() as u64);
        }
        rig.stop();
        for list in &mut times {
            list.sort_unstable();
        }
        all.push(InForce {
            daemons,
            accepted_p50: times[0][CHANGES / 2],
            applied_p50: times[1][CHANGES / 2],
            applied_max: times[1][CHANGES - 1],
            confirmed_p50: times[2][CHANGES / 2],
            confirmed_max: times[2][CHANGES - 1],
        });
    }
    Ok(all)
}
