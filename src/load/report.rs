//! What the load tool found.

use {hdrhistogram::Histogram, serde_json::json, std::collections::BTreeMap};

/// Counts and response times.
#[derive(Debug)]
pub(crate) struct Report {
    /// Response times of jobs that were done, in microseconds.
    pub(crate) response_us: Histogram<u64>,
    /// Jobs by verdict and reason.
    pub(crate) verdicts: BTreeMap<String, u64>,
    /// Answers that were not whole or not the caller's own.
    pub(crate) wrong: u64,
}

impl Report {
    /// An empty report.
    pub(crate) fn new() -> Result<Self, hdrhistogram::CreationError> {
        Ok(Self {
            response_us: Histogram::new(3)?,
            verdicts: BTreeMap::new(),
            wrong: 0,
        })
    }

    /// Prints one JSON object.
    pub(crate) fn print_json(&self) {
        println!(
            "{}",
            json!({
                "response_p50_us": self.response_us.value_at_quantile(0.5),
                "response_p99_us": self.response_us.value_at_quantile(0.99),
                "verdicts": self.verdicts,
                "wrong": self.wrong,
            })
        );
    }

    /// Prints a table.
    pub(crate) fn print_table(&self) {
        println!("{:<40} {:>8}", "verdict", "jobs");
        for (verdict, count) in &self.verdicts {
            println!("{verdict:<40} {count:>8}");
        }
        println!("{:<40} {:>8}", "wrong answers", self.wrong);
        for quantile in [0.5, 0.9, 0.99, 1.0] {
            let ms = self.response_us.value_at_quantile(quantile) as f64 / 1_000.0;
            println!("response p{:<38} {ms:>8.1} ms", quantile * 100.0);
        }
    }
}
