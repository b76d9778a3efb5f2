use {
    super::super::{MeasuredSpeed, ServiceSpeed},
    crate::core::time::Instant,
    rand::{RngExt, SeedableRng},
    rand_chacha::ChaCha8Rng,
};

/// Tasks that a worker runs at a time.
const SLOTS: usize = 13;
/// One in this many runs takes [`LONG_RUN_FACTOR`] times as long by nature: 3 of 100.
const LONG_RUN_INTERVAL: u32 = 33;
const LONG_RUN_FACTOR: f64 = 7.0;
/// Estimates are off by up to this factor.
const ESTIMATE_ERROR: f64 = 0.4;
/// Number of seeds of tests with random run times.
const SEEDS: u64 = 20;
const ESTIMATES_MS: [u64; 3] = [60, 200, 900];

struct Run {
    started_at: Instant,
    estimate_ms: u64,
    left_ms: f64,
}

/// A worker that runs tasks of three lengths, with errors of estimates and long runs, and its
/// measurement.
struct WorkerModel {
    speed: MeasuredSpeed,
    rng: ChaCha8Rng,
    now: Instant,
    slowness: f64,
    /// Starts per second; as many as there are slots for if `None`.
    starts_per_s: Option<u32>,
    runs: Vec<Run>,
    /// Values reported since the last check, without repetitions.
    reported: Vec<u16>,
}

impl WorkerModel {
    fn busy(slowness: f64) -> Self {
        Self::with_seed(slowness, 1)
    }

    fn with_seed(slowness: f64, seed: u64) -> Self {
        Self {
            speed: MeasuredSpeed::default(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            now: Instant::from_millis(10_000),
            slowness,
            starts_per_s: None,
            runs: Vec::new(),
            reported: Vec::new(),
        }
    }

    fn start_run(&mut self) {
        // As many runs of each length in a second as in a mix of 11, 8 and one.
        let estimate_ms = match self.rng.random_range(0..20) {
            0..11 => ESTIMATES_MS[0],
            11..19 => ESTIMATES_MS[1],
            _ => ESTIMATES_MS[2],
        };
        let error = 1.0 + self.rng.random_range(-ESTIMATE_ERROR..ESTIMATE_ERROR);
        let is_long = self.rng.random_range(0..LONG_RUN_INTERVAL) == 0;
        let factor = if is_long { LONG_RUN_FACTOR } else { 1.0 };
        self.runs.push(Run {
            started_at: self.now,
            estimate_ms,
            left_ms: estimate_ms as f64 * error * factor,
        });
    }

    fn advance_ms(&mut self, span_ms: u64) {
        for _ in 0..span_ms {
            self.now = self.now.plus_ms(1);
            let is_due = match self.starts_per_s {
                None => true,
                Some(starts_per_s) => self.rng.random_range(0..1_000) < starts_per_s,
            };
            while is_due && self.runs.len() < SLOTS {
                self.start_run();
                if self.starts_per_s.is_some() {
                    break;
                }
            }
            for run in &mut self.runs {
                run.left_ms -= 1.0 / self.slowness;
            }
            let now = self.now;
            for run in self.runs.extract_if(.., |run| run.left_ms <= 0.0) {
                let ran_ms = now.millis_since(run.started_at);
                self.speed.record_done(now, ran_ms, run.estimate_ms);
            }
            if self.speed.is_due(now) {
                let runs = self.runs.iter();
                let times = runs.map(|run| (now.millis_since(run.started_at), run.estimate_ms));
                self.speed.measure(now, times);
                let reported = self.speed.slowness_permille();
                if self.reported.last() != Some(&reported) {
                    self.reported.push(reported);
                }
            }
        }
    }

    fn reported(&self) -> u16 {
        self.speed.slowness_permille()
    }

    /// Time until the reported slowness is within the range, in milliseconds.
    fn time_until(&mut self, range: std::ops::Range<u16>) -> u64 {
        let since = self.now;
        while !range.contains(&self.reported()) {
            self.advance_ms(20);
            assert!(self.now.millis_since(since) < 20_000, "{}", self.reported());
        }
        self.now.millis_since(since)
    }
}

macro_rules! speed_cases {
    ($($name:ident: $slowness:expr => $range:expr;)+) => {
        $(
            #[test]
            fn $name() {
                let mut worker = WorkerModel::busy($slowness);
                worker.advance_ms(3_000);
                worker.reported.clear();
                worker.advance_ms(20_000);
                let range: std::ops::Range<u16> = $range;
                let outside = worker.reported.iter().filter(|value| !range.contains(value));
                assert_eq!(outside.count(), 0, "{:?}", worker.reported);
            }
        )+
    };
}

// Three in a hundred runs take seven times as long; they must not change the measurement.
speed_cases! {
    a_normal_worker_is_measured: 1.0 => 800..1_300;
    a_fast_worker_is_measured: 0.8 => 640..1_050;
    a_slow_worker_is_measured: 1.82 => 1_450..2_350;
}

/// One long run on a worker with little work must not mark it as slow.
#[test]
fn a_single_long_run_does_not_make_a_worker_slow() {
    let mut speed = MeasuredSpeed::default();
    let mut now = Instant::from_millis(10_000);
    for _ in 0..10 {
        now = now.plus_ms(300);
        speed.record_done(now, 100, 100);
    }
    for elapsed_ms in (0..700).step_by(100) {
        now = now.plus_ms(100);
        speed.measure(now, [(elapsed_ms, 100)].into_iter());
        assert_eq!(speed.slowness_permille(), 1_000);
    }
    speed.record_done(now, 700, 100);
    speed.measure(now, std::iter::empty());
    assert_eq!(speed.slowness_permille(), 1_000);
}

/// Until its first slow run ends, a worker that becomes slow would get as many tasks as before.
#[test]
fn a_worker_that_becomes_four_times_slower_is_known_within_a_second() {
    for seed in 0..SEEDS {
        let mut worker = WorkerModel::with_seed(1.0, seed);
        worker.advance_ms(3_000);
        worker.slowness = 4.0;
        let took_ms = worker.time_until(2_000..8_001);
        assert!(took_ms <= 1_000, "seed {seed}: {took_ms}");
    }
}

/// Time until a worker is known as slow that becomes four times slower, by seed, in milliseconds. It
/// has taken `slowness` times the estimates before.
fn slowdown_times_ms(slowness: f64, starts_per_s: Option<u32>) -> Vec<u64> {
    let time_with_seed = |seed| {
        let mut worker = WorkerModel::with_seed(slowness, seed);
        worker.starts_per_s = starts_per_s;
        worker.advance_ms(3_000);
        worker.slowness = slowness * 4.0;
        worker.time_until((slowness * 2_000.0) as u16..8_001)
    };
    (0..SEEDS).map(time_with_seed).collect()
}

macro_rules! slowdown_cases {
    ($($(#[$doc:meta])* $name:ident: $slowness:expr, $starts_per_s:expr;)+) => {
        $(
            $(#[$doc])*
            #[test]
            fn $name() {
                let took_ms = slowdown_times_ms($slowness, $starts_per_s);
                assert!(took_ms.iter().all(|took_ms| *took_ms <= 1_000), "{took_ms:?}");
            }
        )+
    };
}

slowdown_cases! {
    /// A worker that was faster than most is still faster than the others for its first slow runs.
    a_fast_worker_that_becomes_four_times_slower_is_known_within_a_second: 0.8, None;
    /// A worker with free slots has fewer runs by which its slowdown shows.
    a_worker_with_free_slots_that_becomes_four_times_slower_is_known_within_a_second: 1.0, Some(30);
    /// A worker with few tasks would make a job late with each task that it gets.
    a_worker_with_few_tasks_that_becomes_four_times_slower_is_known_within_a_second: 1.0, Some(10);
    /// In a service of mixed speeds, the slow workers become slower, too.
    a_slow_worker_that_becomes_four_times_slower_is_known_within_a_second: 1.82, None;
}

/// Tasks with estimates that are much too short must not make a worker of constant speed slow.
#[test]
fn a_minority_of_wrong_estimates_rarely_shows_a_slowdown() {
    const RUNS: u32 = 2_000;
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut speed = MeasuredSpeed::default();
    let mut now = Instant::from_millis(10_000);
    let mut slow = 0;
    for _ in 0..RUNS {
        now = now.plus_ms(25);
        let ran_ms = if rng.random_range(0..10) < 3 {
            400
        } else {
            100
        };
        speed.record_done(now, ran_ms, 100);
        speed.measure(now, std::iter::empty());
        slow += u32::from(speed.slowness_permille() >= 2_000);
    }
    assert!(slow * 100 <= RUNS * 5, "{slow} of {RUNS}");
}

/// A worker that gets few tasks while it is slow must be known as healthy soon after its recovery.
#[test]
fn a_recovered_worker_with_few_tasks_is_known_within_seconds() {
    for seed in 0..SEEDS {
        let mut worker = WorkerModel::with_seed(4.0, seed);
        worker.advance_ms(3_000);
        worker.starts_per_s = Some(2);
        worker.advance_ms(6_000);
        assert!(worker.reported() >= 2_000, "{}", worker.reported());
        worker.slowness = 1.0;
        let took_ms = worker.time_until(0..1_400);
        assert!(took_ms <= 5_000, "seed {seed}: {took_ms}");
    }
}

/// Small changes of the speed would cost a report to each entry.
#[test]
fn noise_rarely_changes_the_report() {
    let mut worker = WorkerModel::busy(1.0);
    worker.advance_ms(3_000);
    worker.reported.clear();
    worker.advance_ms(20_000);
    assert!(worker.reported.len() <= 40, "{:?}", worker.reported);
    assert!(worker.reported.iter().all(|value| value % 50 == 0));
}

#[test]
fn a_speed_is_unknown_with_few_runs() {
    let mut speed = MeasuredSpeed::default();
    let now = Instant::from_millis(10_000);
    for _ in 0..7 {
        speed.record_done(now, 300, 100);
    }
    speed.measure(now, std::iter::empty());
    assert_eq!(speed.slowness_permille(), 1_000);
    speed.record_done(now, 300, 100);
    speed.measure(now, std::iter::empty());
    assert_eq!(speed.slowness_permille(), 3_000);
}

/// Old runs must not count against a worker that has recovered and is idle.
#[test]
fn runs_expire() {
    let mut speed = MeasuredSpeed::default();
    let now = Instant::from_millis(10_000);
    for _ in 0..32 {
        speed.record_done(now, 300, 100);
    }
    speed.measure(now, std::iter::empty());
    assert_eq!(speed.slowness_permille(), 3_000);
    speed.measure(now.plus_ms(8_000), std::iter::empty());
    assert_eq!(speed.slowness_permille(), 1_000);
}

/// Runs without a confirmed start or without an estimate say nothing about the speed.
#[test]
fn runs_of_unknown_duration_do_not_count() {
    let mut speed = MeasuredSpeed::default();
    let now = Instant::from_millis(10_000);
    for _ in 0..32 {
        speed.record_done(now, 0, 100);
        speed.record_done(now, 300, 0);
    }
    speed.measure(now, [(300, 0), (0, 100)].into_iter());
    assert_eq!(speed.slowness_permille(), 1_000);
}

/// Share of the checks at which 50 equal workers count as uneven, in percent.
fn uneven_percent(starts_per_s: Option<u32>) -> u64 {
    let mut workers: Vec<_> = (0..50)
        .map(|seed| WorkerModel::with_seed(1.0, seed))
        .collect();
    let mut uneven = 0;
    for worker in &mut workers {
        worker.starts_per_s = starts_per_s;
        worker.advance_ms(4_000);
    }
    for _ in 0..100 {
        for worker in &mut workers {
            worker.advance_ms(100);
        }
        let reported = workers.iter().map(WorkerModel::reported).collect();
        uneven += u64::from(ServiceSpeed::from_workers(reported).is_uneven);
    }
    uneven
}

macro_rules! equal_worker_cases {
    ($($(#[$doc:meta])* $name:ident: $starts_per_s:expr => $highest_percent:expr;)+) => {
        $(
            /// Placement must not change because of errors of the measurement.
            $(#[$doc])*
            #[test]
            fn $name() {
                let uneven = uneven_percent($starts_per_s);
                assert!(uneven <= $highest_percent, "{uneven} %");
            }
        )+
    };
}

equal_worker_cases! {
    equal_busy_workers_are_even: None => 5;
    equal_workers_with_some_load_are_even: Some(30) => 5;
    equal_workers_with_little_load_are_even: Some(5) => 5;
    /// With 16 runs in 8 s the medians differ more. All workers have free capacity then.
    equal_workers_with_hardly_any_load_are_mostly_even: Some(2) => 20;
}
