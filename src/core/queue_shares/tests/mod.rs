//! Tests of queue shares without a dispatcher or network.

mod buckets;
mod levels;
mod max_min;
mod refused_jobs;

use {
    super::{LevelReport, PoolCapacity, QueueShares, ShareClass, ShareGrant},
    crate::core::{
        link::{QueueDemand, QueueLevel},
        routes::Route,
        time::Instant,
        work::{JobId, JobRequest, Resources, StepSpec},
    },
    std::sync::Arc,
};

/// The only service of these tests.
const SERVICE: &str = "shares";
/// Cores of the entry's workers.
const POOL_CORES: u32 = 10;

fn start() -> Instant {
    Instant::from_millis(10_000)
}

fn route(queue: &str, priority: u32) -> Route {
    Route {
        name: queue.to_owned(),
        host: "a.example".to_owned(),
        path_prefix: "/".to_owned(),
        service: SERVICE.to_owned(),
        timeout_ms: 5_000,
        max_attempts: 3,
        priority,
        stretch: 1.6,
        target_ms: 60,
        needs_advice: false,
        competes: true,
    }
}

/// A job of one task on one core.
fn request(estimate_ms: u64) -> JobRequest {
    let step = StepSpec {
        tasks: 1,
        needs: Resources {
            cpu_milli: 1_000,
            ..Resources::default()
        },
        estimate_ms,
        after: Vec::new(),
        required_label: None,
        data_rack: None,
        max_per_worker: 0,
    };
    JobRequest {
        spec: Arc::from("spec"),
        steps: vec![step],
        unsupported: None,
    }
}

fn demand(queue: &str, priority: u32, demand_ppm: u32) -> QueueDemand {
    QueueDemand {
        queue: Arc::from(queue),
        priority,
        demand_ppm,
    }
}

fn level(queue: &str, level_permille: u16) -> QueueLevel {
    QueueLevel {
        queue: Arc::from(queue),
        level_permille,
    }
}

impl ShareGrant {
    fn is_beyond(self) -> bool {
        self.class >= ShareClass::Beyond
    }
}

/// Shares of an entry that is alone at its workers, with its clock.
struct TestShares {
    shares: QueueShares,
    now: Instant,
    last_id: u64,
    reports: Vec<LevelReport>,
}

impl TestShares {
    fn new() -> Self {
        Self {
            shares: QueueShares::default(),
            now: start(),
            last_id: 0,
            reports: Vec::new(),
        }
    }

    fn submit(&mut self, route: &Route, estimate_ms: u64, is_congested: bool) -> ShareGrant {
        self.last_id += 1;
        self.submit_id(self.last_id, route, estimate_ms, is_congested)
    }

    fn submit_id(
        &mut self,
        id: u64,
        route: &Route,
        estimate_ms: u64,
        is_congested: bool,
    ) -> ShareGrant {
        let request = request(estimate_ms);
        let grant = self.shares.admit(
            self.now,
            JobId::of_number(id),
            route,
            &request,
            is_congested,
        );
        self.update();
        grant
    }

    fn update(&mut self) {
        let mut pool = PoolCapacity::default();
        let capacity = Resources {
            cpu_milli: POOL_CORES * 1_000,
            ..Resources::default()
        };
        pool.add_worker(capacity, 1.0);
        let reports: Vec<&LevelReport> = self.reports.iter().collect();
        for (_, shares) in self.shares.due_updates(self.now) {
            shares.update(self.now, pool, &reports);
        }
    }

    /// Submits a job of each of these queues at its rate, in jobs per second, for `span_ms` while
    /// tasks wait; returns the accepted fraction within the share by queue, in thousandths.
    fn flood(&mut self, queues: &[(&Route, u64, f64)], span_ms: u64) -> Vec<u64> {
        let mut submitted = vec![0_u64; queues.len()];
        let mut within = vec![0_u64; queues.len()];
        let mut credit = vec![0.0; queues.len()];
        for _ in 0..span_ms {
            self.now = self.now.plus_ms(1);
            for (index, (route, estimate_ms, per_second)) in queues.iter().enumerate() {
                credit[index] += per_second / 1_000.0;
                while credit[index] >= 1.0 {
                    credit[index] -= 1.0;
                    submitted[index] += 1;
                    let grant = self.submit(route, *estimate_ms, true);
                    within[index] += u64::from(!grant.is_beyond());
                }
            }
            self.update();
        }
        let fractions = within.iter().zip(&submitted);
        fractions
            .map(|(within, submitted)| within * 1_000 / submitted.max(&1))
            .collect()
    }
}
