//! Report of a load run as JSON or as a table.

use {
    super::{
        load_stats::{LoadStats, SLOWDOWN_UNIT},
        probe::{Counters, wasted_messages},
    },
    hdrhistogram::Histogram,
    serde_json::{Value, json},
};

/// Upper bounds of the slowdown histogram's rows.
const HISTOGRAM_EDGES: [f64; 9] = [1.02, 1.05, 1.1, 1.2, 1.3, 1.5, 2.0, 4.0, f64::INFINITY];
/// Width in characters of a bar for all jobs.
const BAR_WIDTH: f64 = 50.0;

/// Message counters and CPU time used by a load run.
#[derive(Debug)]
pub(crate) struct Costs {
    /// The agents' counters.
    pub(crate) counters: Counters,
    /// CPU time of the entries.
    pub(crate) entry_cpu_us: u64,
    /// CPU time of the agents.
    pub(crate) agent_cpu_us: u64,
}

fn slowdown_at(stats: &LoadStats, quantile: f64) -> f64 {
    stats.slowdown.value_at_quantile(quantile) as f64 / SLOWDOWN_UNIT
}

fn per_task(stats: &LoadStats, total: u64) -> f64 {
    round(total as f64 / stats.tasks_done.max(1) as f64)
}

fn round(value: f64) -> f64 {
    (value * 1_000.0).round() / 1_000.0
}

fn ms_at(histogram: &Histogram<u64>, quantile: f64) -> f64 {
    histogram.value_at_quantile(quantile) as f64 / 1_000.0
}

/// The full report as JSON.
pub(crate) fn json_report(stats: &LoadStats, costs: &Costs) -> Value {
    json!({
        "jobs": stats.jobs,
        "done": stats.done,
        "done_in_time": stats.done_in_time,
        "tasks_done": stats.tasks_done,
        "starts": stats.starts,
        "useless_starts": stats.useless_starts,
        "slowdown_p50": slowdown_at(stats, 0.5),
        "slowdown_p90": slowdown_at(stats, 0.9),
        "slowdown_p99": slowdown_at(stats, 0.99),
        "slowdown_max": slowdown_at(stats, 1.0),
        "dispatch_overhead_p50_us": stats.overhead_us.value_at_quantile(0.5),
        "dispatch_overhead_p99_us": stats.overhead_us.value_at_quantile(0.99),
        "response_p50_ms": ms_at(&stats.response_us, 0.5),
        "response_p99_ms": ms_at(&stats.response_us, 0.99),
        "refusal_p99_ms": ms_at(&stats.refusal_us, 0.99),
        "goodput_ratio": round(stats.goodput_ratio),
        "zone_work_ratio": stats.zone_work_ratio.map(round),
        "zone_out_last_start_ms": stats.zone_out_last_start_ms,
        "wasted_messages_per_task": per_task(stats, wasted_messages(&costs.counters)),
        "double_starts": stats.double_starts,
        "lost": stats.lost,
        "partial": stats.partial,
        "false_not_run": stats.false_not_run,
        "cpu_us_per_task": {
            "entry": per_task(stats, costs.entry_cpu_us),
            "agent": per_task(stats, costs.agent_cpu_us),
        },
        "verdicts": stats.verdicts,
        "counters": costs.counters,
    })
}

/// Prints the report as a table followed by a slowdown histogram.
pub(crate) fn print_table(stats: &LoadStats, costs: &Costs) {
    for (name, value) in json_report(stats, costs).as_object().into_iter().flatten() {
        println!("{name:<28} {value}");
    }
    println!("slowdown (response time over the ideal), jobs:");
    let mut from = 0;
    let total = stats.slowdown.len().max(1) as f64;
    for edge in HISTOGRAM_EDGES {
        let to = if edge.is_finite() {
            (edge * SLOWDOWN_UNIT) as u64
        } else {
            u64::MAX
        };
        let count = stats.slowdown.count_between(from, to);
        let bar = "#".repeat((count as f64 / total * BAR_WIDTH).ceil() as usize);
        println!("  up to {edge:<5} {count:>7} {bar}");
        from = to.saturating_add(1);
    }
}
