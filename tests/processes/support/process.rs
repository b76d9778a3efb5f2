//! A child process that is signalled by its id.

use {
    rustix::process::{Pid, Signal, kill_process},
    std::{
        fs::{self, File},
        path::Path,
        process::{Child, Command, ExitStatus, Stdio},
        time::{Duration, Instant},
    },
};

/// A program that a test started; killed when dropped.
#[derive(Debug)]
pub struct Process {
    child: Child,
}

impl Process {
    /// Starts a program and writes its stdout and stderr to `log`.
    pub fn start(program: &str, args: &[&str], log: &Path) -> Self {
        let output = File::create(log).expect("log file");
        let child = Command::new(program)
            .args(args)
            .stdout(output.try_clone().expect("log file"))
            .stderr(output)
            .spawn()
            .expect("program starts");
        Self { child }
    }

    /// Starts a program whose stdout and stderr nobody reads; `is_reader_gone` closes them.
    pub fn start_unread(program: &str, args: &[&str], is_reader_gone: bool) -> Self {
        let mut child = Command::new(program)
            .args(args)
            .stdout(Stdio::piped())
            .stderr(Stdio::piped())
            .spawn()
            .expect("program starts");
        if is_reader_gone {
            drop((child.stdout.take(), child.stderr.take()));
        }
        Self { child }
    }

    /// The process's id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Most memory that the process had at a time, in megabytes.
    pub fn peak_memory_mb(&self) -> u64 {
        let path = format!("/proc/{}/status", self.id());
        let status = fs::read_to_string(path).expect("status");
        let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
        let kilobytes = peak.and_then(|value| value.trim().strip_suffix("kB"));
        let kilobytes: u64 = kilobytes.expect("peak").trim().parse().expect("a number");
        kilobytes.div_ceil(1_024)
    }

    fn signal(&self, signal: Signal) {
        let pid = i32::try_from(self.child.id()).expect("process id");
        kill_process(Pid::from_raw(pid).expect("process id"), signal).expect("signal");
    }

    /// Pauses the process (SIGSTOP).
    pub fn pause(&self) {
        self.signal(Signal::STOP);
    }

    /// Resumes a paused process (SIGCONT).
    pub fn resume(&self) {
        self.signal(Signal::CONT);
    }

    /// Requests a planned stop (SIGTERM).
    pub fn terminate(&self) {
        self.signal(Signal::TERM);
    }

    /// Kills the process (SIGKILL) and reaps it.
    pub fn kill(&mut self) {
        self.child.kill().expect("kill");
        self.child.wait().expect("wait");
    }

    /// Whether the process has exited.
    pub fn has_exited(&mut self) -> bool {
        self.child.try_wait().expect("wait").is_some()
    }

    /// Waits until the process exits by itself.
    pub async fn wait(&mut self, timeout: Duration) -> ExitStatus {
        let started_at = Instant::now();
        loop {
            if let Some(status) = self.child.try_wait().expect("wait") {
                return status;
            }
            assert!(
                started_at.elapsed() < timeout,
                "still running after {timeout:?}"
            );
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // The process may have exited already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
