//! Reports to an agent while its worker executes runs: heartbeats of other writers and planned
//! departures.

use {
    crate::support::{
        LoadedJob, Overlap, Site, SiteLoad, SiteRun, SiteWorker, boot_us, eventually, request,
        site_job, try_request, unix_ms,
    },
    serde_json::{Value, json},
    std::{collections::BTreeSet, fmt, time::Duration},
    tokio::time::sleep,
};

const ENTRIES: usize = 2;
const WORKERS: usize = 4;
/// Load before the report and after it.
const LOAD_BEFORE: Duration = Duration::from_millis(2_000);
const LOAD_AFTER: Duration = Duration::from_millis(4_000);
/// Starts that were under way when the report arrived may still reach the worker for this long.
const START_DELAY_US: u64 = 500_000;
/// Run time from which a run outlasts the report for certain.
const LONG_RUN_MS: u64 = 1_500;
/// Events of agents and entries that show what freed a run.
const EVIDENCE: [&str; 10] = [
    "worker_seen",
    "worker_ready",
    "worker_draining",
    "worker_leaving",
    "worker_unresponsive",
    "worker_lost",
    "order_unanswered",
    "stray_run",
    "entry_connected",
    "agent_connected",
];

/// Outcomes after which a task may start again although its run has begun.
const FREED: [&str; 2] = ["lost", "stopped"];

/// What a load with one disturbed worker has shown.
struct Findings {
    worker: usize,
    /// When the disturbance began, on the host's boot clock.
    at_us: u64,
    jobs: Vec<LoadedJob>,
    runs: Vec<SiteRun>,
    overlaps: Vec<Overlap>,
    /// Ends that the worker still lists, because its agent has not acknowledged them; `None` if it
    /// has exited.
    unread_ends: Option<Vec<Value>>,
    log: Vec<String>,
}

impl Findings {
    fn offset_ms(&self, at_us: u64) -> i64 {
        (at_us.cast_signed() - self.at_us.cast_signed()) / 1_000
    }

    /// Starts at the disturbed worker, before and after the disturbance.
    fn starts(&self) -> (usize, usize) {
        let at_worker = self.runs.iter().filter(|run| run.worker == self.worker);
        let begun_us = at_worker.map(|run| run.begun_at_us);
        let before = begun_us.clone().filter(|begun_us| *begun_us < self.at_us);
        let after = begun_us.filter(|begun_us| *begun_us > self.at_us + START_DELAY_US);
        (before.count(), after.count())
    }

    /// How a run ended if the agent has not acknowledged it, as far as the worker can tell.
    fn end_state(&self, run: &SiteRun) -> String {
        let is_end = |end: &&Value| end[1] == json!(run.task) && end[2] == json!(run.number);
        let Some(ends) = self
            .unread_ends
            .as_ref()
            .filter(|_| run.worker == self.worker)
        else {
            return "unknown".to_owned();
        };
        let unread = ends.iter().find(is_end);
        unread.map_or_else(|| "read".to_owned(), |end| format!("unread {}", end[3]))
    }

    fn incomplete_jobs(&self) -> Vec<&LoadedJob> {
        let jobs = self.jobs.iter();
        jobs.filter(|job| !job.is_completed()).collect()
    }
}

impl fmt::Display for Findings {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (before, after) = self.starts();
        writeln!(
            f,
            "{} jobs, {} runs; starts at worker {}: {before} before, {after} after; unread ends there: {:?}",
            self.jobs.len(),
            self.runs.len(),
            self.worker,
            self.unread_ends.as_ref().map(Vec::len)
        )?;
        for Overlap { first, second } in &self.overlaps {
            let ended_at_us = first.ended_at_us.unwrap_or(u64::MAX);
            writeln!(
                f,
                "twice at once: {} runs {} ms on worker {} from {:+} ms, and on worker {} from {:+} ms, \
                 {} ms after its first start; {} ms at once; first end {}",
                first.task,
                SiteLoad::run_ms(&first.task),
                first.worker,
                self.offset_ms(first.begun_at_us),
                second.worker,
                self.offset_ms(second.begun_at_us),
                (second.begun_at_us - first.begun_at_us) / 1_000,
                (ended_at_us.min(second.ended_at_us.unwrap_or(u64::MAX)) - second.begun_at_us)
                    / 1_000,
                self.end_state(first),
            )?;
        }
        for job in self.incomplete_jobs() {
            writeln!(f, "incomplete: {} {}", job.id, job.outcome)?;
        }
        for line in &self.log {
            writeln!(f, "{line}")?;
        }
        Ok(())
    }
}

/// A site under load.
struct LoadedSite {
    site: Site,
    load: SiteLoad,
    /// Worker with runs of two jobs, one of them long.
    worker: usize,
    disturbed_at_us: u64,
    disturbed_at_unix_ms: u64,
}

impl LoadedSite {
    /// Starts a site and its load, and selects a worker with runs of several jobs.
    async fn start(name: &str) -> Self {
        let site = Site::start(name, ENTRIES, WORKERS).await;
        eventually("all workers serve", Duration::from_secs(20), || async {
            let id = format!("{:016x}", rand::random::<u64>());
            // The job needs most slots of all workers.
            let reply = site.submit(0, &id, &site_job(14, 30)).await;
            let runs = site.runs();
            let is_used = |worker| runs.iter().any(|run| run.worker == worker);
            reply.is_ok() && (0..WORKERS).all(is_used)
        })
        .await;
        let load = SiteLoad::start(&site);
        sleep(LOAD_BEFORE).await;
        let selected = || (0..WORKERS).find(|worker| has_runs_of_two_jobs(&site, *worker));
        eventually(
            "a worker has several runs",
            Duration::from_secs(10),
            || async { selected().is_some() },
        )
        .await;
        let worker = selected().unwrap_or(0);
        Self {
            site,
            load,
            worker,
            disturbed_at_us: boot_us(),
            disturbed_at_unix_ms: unix_ms(),
        }
    }

    /// Sends the agent a heartbeat that its worker did not send.
    async fn send_heartbeat(&self, id: &str, body: &Value) {
        let agent = self.site.workers[self.worker].report_addr;
        let path = format!("/v1/Instances.Heartbeat/{id}");
        request("POST", agent, &path, &[], &body.to_string()).await;
    }

    /// Continues the load for a while and ends it.
    async fn finish(self) -> Findings {
        sleep(LOAD_AFTER).await;
        let jobs = self.load.finish().await;
        let mut log = Vec::new();
        let agent = format!("agent-{}", self.worker);
        for process in [&agent, "entry-0", "entry-1"] {
            log.extend(evidence(&self.site, process, self.disturbed_at_unix_ms));
        }
        let findings = Findings {
            worker: self.worker,
            at_us: self.disturbed_at_us,
            jobs,
            runs: self.site.runs(),
            overlaps: self.site.overlaps(),
            unread_ends: unread_ends(&self.site, self.worker).await,
            log,
        };
        println!("{findings}");
        findings
    }
}

fn has_runs_of_two_jobs(site: &Site, worker: usize) -> bool {
    let runs = site.runs();
    let open: Vec<&SiteRun> = runs.iter().filter(|run| run.is_open_at(worker)).collect();
    let jobs: BTreeSet<&str> = open.iter().map(|run| &run.task[..16]).collect();
    let is_young = |run: &&SiteRun| boot_us().saturating_sub(run.begun_at_us) < 500_000;
    let is_long = |run: &&SiteRun| SiteLoad::run_ms(&run.task) >= LONG_RUN_MS;
    jobs.len() >= 2 && open.into_iter().filter(is_long).any(|run| is_young(&run))
}

/// Log lines that show what freed runs, with their time since the disturbance; of repeated reports
/// that were ignored, the first.
fn evidence(site: &Site, process: &str, since_unix_ms: u64) -> Vec<String> {
    let mut lines = Vec::new();
    let mut ignored_writers = BTreeSet::new();
    for line in site.log(process).lines() {
        let Ok(Value::Object(mut line)) = serde_json::from_str(line) else {
            continue;
        };
        let at_unix_ms = line.remove("at_unix_ms").and_then(|at| at.as_i64());
        let offset_ms = at_unix_ms.unwrap_or(0) - since_unix_ms.cast_signed();
        let text = |field| line.get(field).and_then(Value::as_str).unwrap_or("");
        let is_shown = match text("event") {
            "run_ended" | "run_lost" => FREED.contains(&text("end")),
            "report_ignored" => ignored_writers.insert(text("worker").to_owned()),
            event => EVIDENCE.contains(&event),
        };
        if is_shown && offset_ms > -2_500 {
            lines.push(format!("{offset_ms:+} ms {}", Value::Object(line)));
        }
    }
    lines
}

/// Ends that a worker still lists; `None` if it has exited.
async fn unread_ends(site: &Site, worker: usize) -> Option<Vec<Value>> {
    let body = json!({"fencing_token": u64::MAX, "last_seen": 0, "wait_ms": 0}).to_string();
    let addr = site.workers[worker].addr;
    let reply = try_request("POST", addr, "/v1/hold", &[], &body).await;
    reply.ok()?.json()["finished"].as_array().cloned()
}

/// A heartbeat of the right shape whose writer started just now.
fn heartbeat() -> Value {
    json!({
        "service": "shares", "address": "127.0.0.1:9", "zone": "north", "version": "v1", "slots": 4,
        "state": "ready", "cold_remaining_ms": 0,
        "capacity": {"cpu": 4_000, "mem_mb": 262_144, "gpu": 0}, "labels": ["a", "r1"],
        "seq": 1_000, "born": unix_ms(),
    })
}

fn without(field: &str) -> Value {
    let mut body = heartbeat();
    body.as_object_mut().expect("object").remove(field);
    body
}

fn with(field: &str, value: Value) -> Value {
    let mut body = heartbeat();
    body[field] = value;
    body
}

/// A heartbeat whose writer started long before the worker.
fn earlier_heartbeat() -> Value {
    with("born", json!(unix_ms() - 3_600_000))
}

/// A heartbeat of a replacement at the worker's address that does not serve yet.
fn replacement(site: &LoadedSite) -> Value {
    let mut body = with("cold_remaining_ms", json!(5_000));
    body["address"] = json!(site.site.workers[site.worker].addr.to_string());
    body
}

/// The worker's runs go on, it gets new ones, and all jobs complete.
fn assert_undisturbed(findings: &Findings) {
    let is_used = findings.starts().1 > 0;
    let is_complete = findings.incomplete_jobs().is_empty();
    assert!(
        findings.overlaps.is_empty() && is_used && is_complete,
        "runs at once: {}, worker used: {is_used}, incomplete jobs: {}\n{findings}",
        findings.overlaps.len(),
        findings.incomplete_jobs().len()
    );
}

/// Names a test of heartbeats that the worker did not send: name of the site, id of the writer,
/// number of heartbeats, body of each.
macro_rules! foreign_heartbeats {
    ($($(#[$doc:meta])* $test:ident: $writer:ident, $count:literal, $body:expr;)*) => {$(
        $(#[$doc])*
        #[tokio::test]
        async fn $test() {
            let loaded = LoadedSite::start(stringify!($test)).await;
            let id = $writer(loaded.worker);
            for number in 0..$count {
                if number > 0 {
                    sleep(Duration::from_millis(100)).await;
                }
                let mut body: Value = $body(&loaded);
                body["seq"] = json!(1_000 + number);
                loaded.send_heartbeat(&id, &body).await;
            }
            assert_undisturbed(&loaded.finish().await);
        }
    )*};
}

fn another(_worker: usize) -> String {
    "x-9".to_owned()
}

fn itself(worker: usize) -> String {
    format!("w-{worker}")
}

foreign_heartbeats! {
    /// A heartbeat that misses a field names no worker; it freed all runs of the agent's worker.
    a_foreign_heartbeat_without_address_frees_no_runs: another, 1, |_: &LoadedSite| without("address");
    /// A heartbeat that misses a field names no worker; it freed all runs of the agent's worker.
    a_foreign_heartbeat_without_slots_frees_no_runs: another, 1, |_: &LoadedSite| without("slots");
    /// A heartbeat that misses a field names no worker; it freed all runs of the agent's worker.
    a_foreign_heartbeat_without_version_frees_no_runs: another, 1, |_: &LoadedSite| without("version");
    /// A heartbeat that misses a field names no worker; it freed all runs of the agent's worker.
    a_foreign_heartbeat_without_cold_time_frees_no_runs: another, 1,
        |_: &LoadedSite| without("cold_remaining_ms");
    /// A heartbeat with a field of another type names no worker; it freed all runs of the agent's
    /// worker.
    a_foreign_heartbeat_with_slots_as_text_frees_no_runs: another, 1,
        |_: &LoadedSite| with("slots", json!("4"));
    /// A heartbeat of another id does not prove that the worker at the agent's address is gone.
    a_complete_foreign_heartbeat_frees_no_runs: another, 1, |_: &LoadedSite| heartbeat();
    /// Repeated heartbeats of another writer freed all runs and kept the worker unused.
    a_series_of_foreign_heartbeats_frees_no_runs: another, 10, |_: &LoadedSite| without("version");
    /// The worker was never used again when the replacement that had reported did not serve.
    a_replacement_that_never_serves_frees_no_runs: another, 1, replacement;
    /// The worker's own reports were ignored as those of an earlier incarnation.
    a_heartbeat_under_the_own_id_with_a_later_start_keeps_the_worker: itself, 1,
        |_: &LoadedSite| heartbeat();
    /// The worker's own reports were ignored as those of an earlier incarnation.
    a_series_under_the_own_id_with_later_starts_keeps_the_worker: itself, 10,
        |_: &LoadedSite| heartbeat();
    /// A late report of an earlier incarnation must not replace the present one.
    a_heartbeat_under_the_own_id_with_an_earlier_start_keeps_the_worker: itself, 1,
        |_: &LoadedSite| earlier_heartbeat();
    /// A late report of an earlier incarnation must not replace the present one.
    a_series_under_the_own_id_with_earlier_starts_keeps_the_worker: itself, 10,
        |_: &LoadedSite| earlier_heartbeat();
}

/// Names a test of a planned departure: the time for which the worker reports that it drains, and
/// the time for which it runs on after its announcement.
macro_rules! departures {
    ($($(#[$doc:meta])* $test:ident: $draining_ms:literal, $leaving_ms:literal;)*) => {$(
        $(#[$doc])*
        #[tokio::test]
        async fn $test() {
            let mut loaded = LoadedSite::start(stringify!($test)).await;
            let worker = loaded.worker;
            let SiteWorker { addr, report_addr, .. } = loaded.site.workers[worker];
            if $draining_ms > 0 {
                request("POST", addr, "/faults", &[], r#"{"draining":true}"#).await;
                sleep(Duration::from_millis($draining_ms)).await;
            }
            if $leaving_ms > 0 {
                let path = format!("/v1/Instances.Leave/{}", itself(worker));
                request("POST", report_addr, &path, &[], "{}").await;
                sleep(Duration::from_millis($leaving_ms)).await;
            }
            loaded.site.stop_worker(worker).await;
            let findings = loaded.finish().await;
            let overlaps = findings.overlaps.len();
            assert!(overlaps == 0, "runs at once: {overlaps}\n{findings}");
        }
    )*};
}

departures! {
    /// Runs that outlast the draining were started elsewhere before the worker had ended.
    a_drained_worker_that_leaves_frees_no_runs_early: 2_000, 0;
    /// The draining report may be lost: young runs were started elsewhere before the worker had
    /// ended.
    a_worker_that_leaves_without_draining_frees_no_runs_early: 0, 0;
    /// A worker may execute its runs for a while after its announcement.
    a_worker_that_runs_on_after_its_announcement_frees_no_runs_early: 2_000, 1_000;
}
