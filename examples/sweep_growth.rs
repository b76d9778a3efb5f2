//! Prints how the load of the busiest processes grows with the number of hosts as a Markdown table, and draws it
//! as SVG.

use {
    plotters::{
        chart::{ChartBuilder, SeriesLabelPosition},
        prelude::{
            BLACK, Color, IntoDrawingArea, IntoLogRange, LineSeries, Palette, Palette99,
            PathElement, SVGBackend, WHITE,
        },
    },
    std::{env, error::Error, fs, path::Path, process::ExitCode},
};

const USAGE: &str = "usage: scripts/sweep-growth SVG FILE...\n\
    SVG: the plot to write\n\
    FILE: output of `fleetbench sweep`, named sweep-SITE.out";
/// Measures in the plot; the table has all of them.
const PLOTTED: [&str; 4] = [
    "agent: processor %",
    "agent: kB a second",
    "entry: processor %",
    "entry: kB a second",
];
const PLOT_SIZE_PX: (u32, u32) = (1_200, 800);

/// One measure of one sweep.
#[derive(Debug)]
struct Growth {
    /// Number of hosts, and the value of the busiest process.
    points: Vec<(f64, f64)>,
    /// The value grows with the number of hosts to this power.
    power: f64,
}

/// The measures of one sweep, in the order of its output.
#[derive(Debug)]
struct Sweep {
    site: String,
    measures: Vec<(String, Growth)>,
}

impl Sweep {
    fn growth_of(&self, measure: &str) -> Option<&Growth> {
        let found = self.measures.iter().find(|(name, _)| name == measure);
        found.map(|(_, growth)| growth)
    }
}

/// Parses the numbers of hosts in the line above the measures.
fn parse_sizes(line: &str) -> Option<Vec<f64>> {
    let (sizes, _) = line.split_once(" power ")?;
    let sizes = sizes.split_whitespace().map(|size| size.parse().ok());
    sizes
        .collect::<Option<Vec<f64>>>()
        .filter(|it| !it.is_empty())
}

/// Parses a line such as `agent: memory MB  2.1 / 2.2  2.3 / 2.5  2.3 / 2.6  0.08  3.0`: the median and the
/// busiest process at each size, the power, and the figure at the target size.
fn parse_measure(line: &str, sizes: &[f64]) -> Option<(String, Growth)> {
    let (name, values) = line.split_once("  ")?;
    let mut busiest = values.split('/').skip(1);
    let mut points = Vec::new();
    for size in sizes {
        let value = busiest.next()?.split_whitespace().next()?;
        points.push((*size, value.parse().ok()?));
    }
    let mut columns = values.split_whitespace().rev();
    let power = columns.nth(1)?.parse().ok()?;
    Some((name.to_owned(), Growth { points, power }))
}

fn parse_sweep(path: &str) -> Result<Sweep, Box<dyn Error>> {
    let text = fs::read_to_string(path)?;
    let stem = Path::new(path).file_stem().unwrap_or_default();
    let site = stem.to_string_lossy();
    let mut lines = text.lines();
    let sizes = lines.find_map(parse_sizes).unwrap_or_default();
    let sweep = Sweep {
        site: site.trim_start_matches("sweep-").to_owned(),
        measures: lines
            .filter_map(|line| parse_measure(line, &sizes))
            .collect(),
    };
    if sweep.measures.is_empty() {
        return Err(format!("{path}: no measures of a sweep").into());
    }
    Ok(sweep)
}

fn print_table(sweeps: &[Sweep]) {
    let sites: Vec<&str> = sweeps.iter().map(|sweep| sweep.site.as_str()).collect();
    println!(
        "| busiest process or longest time | {} |",
        sites.join(" | ")
    );
    println!("| --- |{}", " --- |".repeat(sweeps.len()));
    let measures = sweeps.first().map_or(&[][..], |sweep| &sweep.measures);
    for (name, _) in measures {
        let cells = sweeps.iter().map(|sweep| match sweep.growth_of(name) {
            Some(growth) => {
                let values: Vec<String> = growth
                    .points
                    .iter()
                    .map(|(_, value)| value.to_string())
                    .collect();
                format!("{} ({})", values.join(", "), growth.power)
            }
            None => String::new(),
        });
        println!("| {name} | {} |", cells.collect::<Vec<_>>().join(" | "));
    }
}

/// Draws a panel for each plotted measure, with a line for each site.
fn draw(svg: &str, sweeps: &[Sweep]) -> Result<(), Box<dyn Error>> {
    let root = SVGBackend::new(svg, PLOT_SIZE_PX).into_drawing_area();
    root.fill(&WHITE)?;
    for (panel, name) in root.split_evenly((2, 2)).iter().zip(PLOTTED) {
        let lines: Vec<(&str, &Growth)> = sweeps
            .iter()
            .filter_map(|sweep| Some((sweep.site.as_str(), sweep.growth_of(name)?)))
            .collect();
        let points = lines.iter().flat_map(|(_, growth)| &growth.points);
        let (hosts, values): (Vec<f64>, Vec<f64>) = points.copied().unzip();
        let max_hosts = hosts.iter().copied().fold(1.0, f64::max);
        let min_hosts = hosts.iter().copied().fold(max_hosts, f64::min);
        let max_value = values.iter().copied().fold(1.0, f64::max);
        let mut chart = ChartBuilder::on(panel)
            .caption(format!("{name}, busiest"), ("sans-serif", 18))
            .margin(10)
            .x_label_area_size(30)
            .y_label_area_size(45)
            .build_cartesian_2d((min_hosts..max_hosts).log_scale(), 0.0..max_value * 1.1)?;
        chart.configure_mesh().x_desc("hosts").draw()?;
        for (index, (site, growth)) in lines.into_iter().enumerate() {
            let color = Palette99::pick(index).to_rgba();
            chart
                .draw_series(LineSeries::new(growth.points.iter().copied(), color))?
                .label(site)
                .legend(move |(x, y)| PathElement::new([(x, y), (x + 15, y)], color));
        }
        chart
            .configure_series_labels()
            .position(SeriesLabelPosition::LowerRight)
            .background_style(WHITE.mix(0.8))
            .border_style(BLACK)
            .draw()?;
    }
    root.present()?;
    Ok(())
}

fn run(args: &[String]) -> Result<(), Box<dyn Error>> {
    let [svg, files @ ..] = args else {
        return Err(USAGE.into());
    };
    if files.is_empty() {
        return Err(USAGE.into());
    }
    let sweeps: Result<Vec<Sweep>, _> = files.iter().map(|file| parse_sweep(file)).collect();
    let sweeps = sweeps?;
    print_table(&sweeps);
    draw(svg, &sweeps)
}

fn main() -> ExitCode {
    let args: Vec<String> = env::args().skip(1).collect();
    match run(&args) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}
