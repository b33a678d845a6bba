//! Scatter plots as SVG.

use super::runs::Run;
use std::fmt::Write;

/// Size of a plot and the margin around its area, in pixels.
const WIDTH: f64 = 480.0;
const HEIGHT: f64 = 300.0;
const MARGIN: f64 = 48.0;

/// A plot and its file's name.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Plot {
    /// File name.
    pub file: &'static str,
    /// The SVG.
    pub svg: String,
}

/// One plot for each table.
pub fn plots(runs: &[Run]) -> Vec<Plot> {
    let points = |x: fn(&Run) -> f64, y: fn(&Run) -> f64| -> Vec<(f64, f64)> {
        runs.iter().map(|run| (x(run), y(run))).collect()
    };
    let heartbeats = |run: &Run| run.report.heartbeats.per_second;
    let replicas = |run: &Run| run.report.size.replicas as f64;
    let edges = |run: &Run| run.report.size.edges as f64;
    vec![
        Plot {
            file: "core-cpu.svg",
            svg: svg(
                "heartbeats a second, all",
                "core, % of a core each",
                &points(heartbeats, Run::core_cpu),
            ),
        },
        Plot {
            file: "core-memory.svg",
            svg: svg(
                "replicas",
                "core, MB each",
                &points(replicas, Run::core_memory),
            ),
        },
        Plot {
            file: "edge-cpu.svg",
            svg: svg(
                "changes of the configuration a minute",
                "edge, % of a core",
                &points(Run::changes, |run| run.report.edge.cpu_percent),
            ),
        },
        Plot {
            file: "edge-memory.svg",
            svg: svg(
                "replicas",
                "edge, MB",
                &points(replicas, |run| run.report.edge.memory_mb),
            ),
        },
        Plot {
            file: "in-force.svg",
            svg: svg(
                "edges",
                "in force, p99 ms",
                &points(edges, |run| run.report.in_force_ms.p99),
            ),
        },
    ]
}

fn svg(x_label: &str, y_label: &str, points: &[(f64, f64)]) -> String {
    let most = |values: &mut dyn Iterator<Item = f64>| values.fold(1e-9_f64, f64::max);
    let (most_x, most_y) = (
        most(&mut points.iter().map(|point| point.0)),
        most(&mut points.iter().map(|point| point.1)),
    );
    let (right, bottom) = (WIDTH - MARGIN, HEIGHT - MARGIN);
    let mut text = format!(
        "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"{WIDTH}\" height=\"{HEIGHT}\" font-family=\"sans-serif\" \
         font-size=\"11\">\n<path d=\"M{MARGIN} {MARGIN}V{bottom}H{right}\" fill=\"none\" stroke=\"black\"/>\n"
    );
    for (x, y) in points {
        let at_x = MARGIN + x / most_x * (right - MARGIN);
        let at_y = bottom - y / most_y * (bottom - MARGIN);
        // Writing to a string does not fail.
        let _ = writeln!(
            text,
            "<circle cx=\"{at_x:.1}\" cy=\"{at_y:.1}\" r=\"3\" fill=\"steelblue\"/>"
        );
    }
    let _ = write!(
        text,
        "<text x=\"{right}\" y=\"{}\" text-anchor=\"end\">{x_label}, 0 to {most_x:.0}</text>\n\
         <text x=\"{MARGIN}\" y=\"{}\">{y_label}, 0 to {most_y:.2}</text>\n</svg>\n",
        HEIGHT - MARGIN / 2.0,
        MARGIN / 2.0,
    );
    text
}
