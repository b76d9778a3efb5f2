//! What the load tool prints.

use {
    super::{
        findings::{Findings, SLOWDOWN_UNIT},
        probe::{Counters, wasted_messages},
    },
    hdrhistogram::Histogram,
    serde_json::{Value, json},
};

/// Upper ends of the printed histogram's rows, as slowdowns.
const HISTOGRAM_EDGES: [f64; 9] = [1.02, 1.05, 1.1, 1.2, 1.3, 1.5, 2.0, 4.0, f64::INFINITY];
/// Width of the printed histogram's longest bar.
const BAR_WIDTH: f64 = 50.0;

/// What the run cost besides time.
#[derive(Debug)]
pub(crate) struct Costs {
    /// The agents' counters.
    pub(crate) counters: Counters,
    /// Processor time of the entries.
    pub(crate) entry_cpu_us: u64,
    /// Processor time of the agents.
    pub(crate) agent_cpu_us: u64,
}

fn slowdown_at(findings: &Findings, quantile: f64) -> f64 {
    findings.slowdown.value_at_quantile(quantile) as f64 / SLOWDOWN_UNIT
}

fn per_task(findings: &Findings, total: u64) -> f64 {
    round(total as f64 / findings.tasks_done.max(1) as f64)
}

fn round(value: f64) -> f64 {
    (value * 1_000.0).round() / 1_000.0
}

fn ms_at(histogram: &Histogram<u64>, quantile: f64) -> f64 {
    histogram.value_at_quantile(quantile) as f64 / 1_000.0
}

/// Everything as JSON.
pub(crate) fn json_report(findings: &Findings, costs: &Costs) -> Value {
    json!({
        "jobs": findings.jobs,
        "done": findings.done,
        "done_in_time": findings.done_in_time,
        "tasks_done": findings.tasks_done,
        "starts": findings.starts,
        "useless_starts": findings.useless_starts,
        "slowdown_p50": slowdown_at(findings, 0.5),
        "slowdown_p90": slowdown_at(findings, 0.9),
        "slowdown_p99": slowdown_at(findings, 0.99),
        "slowdown_max": slowdown_at(findings, 1.0),
        "dispatch_overhead_p50_us": findings.overhead_us.value_at_quantile(0.5),
        "dispatch_overhead_p99_us": findings.overhead_us.value_at_quantile(0.99),
        "response_p50_ms": ms_at(&findings.response_us, 0.5),
        "response_p99_ms": ms_at(&findings.response_us, 0.99),
        "refusal_p99_ms": ms_at(&findings.refusal_us, 0.99),
        "goodput_ratio": round(findings.goodput_ratio),
        "zone_work_ratio": findings.zone_work_ratio.map(round),
        "zone_out_last_start_ms": findings.zone_out_last_start_ms,
        "wasted_messages_per_task": per_task(findings, wasted_messages(&costs.counters)),
        "double_starts": findings.double_starts,
        "lost": findings.lost,
        "partial": findings.partial,
        "false_not_run": findings.false_not_run,
        "cpu_us_per_task": {
            "entry": per_task(findings, costs.entry_cpu_us),
            "agent": per_task(findings, costs.agent_cpu_us),
        },
        "verdicts": findings.verdicts,
        "counters": costs.counters,
    })
}

/// A table and a histogram for people.
pub(crate) fn print_table(findings: &Findings, costs: &Costs) {
    for (name, value) in json_report(findings, costs)
        .as_object()
        .into_iter()
        .flatten()
    {
        println!("{name:<28} {value}");
    }
    println!("slowdown (response time over the ideal), jobs:");
    let mut from = 0;
    let total = findings.slowdown.len().max(1) as f64;
    for edge in HISTOGRAM_EDGES {
        let to = if edge.is_finite() {
            (edge * SLOWDOWN_UNIT) as u64
        } else {
            u64::MAX
        };
        let count = findings.slowdown.count_between(from, to);
        let bar = "#".repeat((count as f64 / total * BAR_WIDTH).ceil() as usize);
        println!("  up to {edge:<5} {count:>7} {bar}");
        from = to.saturating_add(1);
    }
}
