//! Processes of a site: tasks of the test, or child processes that a test can
//! kill, suspend and stop.

use std::future::Future;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::ExitStatus;
use std::process::Stdio;
use std::time::Duration;

use async_channel::Receiver;
use rustix::process::Pid;
use rustix::process::Signal;
use serde::Serialize;

use crate::listen::lock_ports;

/// Time between two checks whether a child process has exited.
const EXIT_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Time between two checks whether the threads of a child process have stopped.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(1);

/// A running process of the site.
pub enum Process {
    /// A task in the process of the test.
    Task {
        /// Requests the task to stop.
        stop: async_channel::Sender<()>,
        /// The task, until its result is taken.
        task: Option<smol::Task<eyre::Result<()>>>,
    },
    /// A child process.
    Child(Child),
}

/// Returns the path of one of the workspace's programs: in the folder of the test
/// executable or in its parent.
fn program_path(name: &str) -> PathBuf {
    let tests = std::env::current_exe().expect("a test has a path");
    let folders = tests.ancestors().skip(1).take(2);
    let found = folders
        .map(|folder| folder.join(name))
        .find(|path| path.exists());
    found
        .unwrap_or_else(|| panic!("no {name} next to the test executable; run 'cargo build' first"))
}

impl Process {
    /// Starts a task that ends when its stop channel receives a message.
    pub fn task<F>(run: impl FnOnce(Receiver<()>) -> F) -> Self
    where
        F: Future<Output = eyre::Result<()>> + Send + 'static,
    {
        let (stop, stop_requests) = async_channel::bounded(1);
        let future = run(stop_requests);
        let task = smol::spawn(async move {
            let result = future.await;
            if let Err(error) = &result {
                // The result may never be read; a failing test shows this output.
                eprintln!("a process of the site failed: {error:#}");
            }
            result
        });
        Self::Task {
            stop,
            task: Some(task),
        }
    }

    /// Starts a program of the workspace. Its settings are written to
    /// `<node>.json` in `folder`, its output to `<node>.log`.
    ///
    /// # Panics
    ///
    /// Panics if the program was not built or `folder` cannot be written.
    pub fn spawn(name: &str, folder: &Path, node: &str, settings: &impl Serialize) -> Self {
        std::fs::create_dir_all(folder).expect("the temporary folder can be written");
        let file = folder.join(format!("{node}.json"));
        let text = serde_json::to_vec_pretty(settings).expect("settings can be serialised");
        std::fs::write(&file, text).expect("the temporary folder can be written");
        Self::spawn_file(name, &file, &folder.join(format!("{node}.log")))
    }

    /// Starts a program of the workspace with the settings in `file`. Its output goes to
    /// `log`.
    ///
    /// # Panics
    ///
    /// Panics if the program was not built.
    pub fn spawn_file(name: &str, file: &Path, log: &Path) -> Self {
        let mut command = Command::new(program_path(name));
        Self::spawn_command(command.arg("--settings").arg(file), log)
    }

    /// Does the same as [`Process::spawn_file`] for a process that may have at most
    /// `descriptors` files open.
    ///
    /// # Panics
    ///
    /// Panics if the program was not built.
    pub fn spawn_limited(name: &str, file: &Path, log: &Path, descriptors: u32) -> Self {
        let mut command = Command::new("sh");
        command
            .arg("-c")
            .arg(format!("ulimit -n {descriptors} && exec \"$@\""))
            .arg("sh")
            .arg(program_path(name))
            .arg("--settings")
            .arg(file);
        Self::spawn_command(&mut command, log)
    }

    fn spawn_command(command: &mut Command, log: &Path) -> Self {
        let log = std::fs::File::create(log);
        let output = log.as_ref().ok().and_then(|log| log.try_clone().ok());
        let output = output.map_or_else(Stdio::null, Stdio::from);
        let _ports = lock_ports();
        let child = command
            .stdin(Stdio::null())
            .stdout(output)
            .stderr(log.map_or_else(|_| Stdio::null(), Stdio::from))
            .spawn()
            .expect("the program starts");
        Self::Child(child)
    }

    /// Requests the process to stop, by SIGTERM if it is a child process, and
    /// waits until it has exited. Returns whether it succeeded.
    ///
    /// # Panics
    ///
    /// Panics if the exit status cannot be read.
    pub async fn stop(&mut self) -> bool {
        self.ask_stop().await;
        self.ended().await
    }

    /// Waits until a process that was requested to stop has exited. Returns
    /// whether it succeeded.
    ///
    /// # Panics
    ///
    /// Panics if the exit status cannot be read.
    pub async fn ended(&mut self) -> bool {
        match self {
            Self::Task { task, .. } => match task.take() {
                Some(task) => task.await.is_ok(),
                None => true,
            },
            Self::Child(child) => loop {
                match child.try_wait().expect("a child can be waited for") {
                    Some(status) => return status.success(),
                    None => smol::Timer::after(EXIT_POLL_INTERVAL).await,
                };
            },
        }
    }

    /// Requests the process to stop, without waiting for its exit.
    pub async fn ask_stop(&mut self) {
        match self {
            Self::Task { stop, .. } => {
                let _ = stop.send(()).await;
            }
            Self::Child(child) => signal(child, Signal::TERM),
        }
    }

    /// Interrupts a child process by SIGINT, as a terminal does.
    ///
    /// # Panics
    ///
    /// Panics if it is a task.
    pub fn interrupt(&mut self) {
        signal(self.child(), Signal::INT);
    }

    /// Waits until a child process has exited, and returns its status.
    ///
    /// # Panics
    ///
    /// Panics if it is a task, or its status cannot be read.
    pub async fn exit_status(&mut self) -> ExitStatus {
        loop {
            let status = self.child().try_wait();
            match status.expect("a child can be waited for") {
                Some(status) => return status,
                None => smol::Timer::after(EXIT_POLL_INTERVAL).await,
            };
        }
    }

    /// Returns whether the process has exited.
    ///
    /// # Panics
    ///
    /// Panics if the exit status cannot be read.
    pub fn has_ended(&mut self) -> bool {
        match self {
            Self::Task { task, .. } => task.as_ref().is_none_or(|task| task.is_finished()),
            Self::Child(child) => child
                .try_wait()
                .expect("a child can be waited for")
                .is_some(),
        }
    }

    /// Kills a child process by SIGKILL, so that it cannot shut down in order.
    ///
    /// # Panics
    ///
    /// Panics if it is a task, which cannot be killed.
    pub fn kill(&mut self) -> ExitStatus {
        let child = self.child();
        child.kill().expect("a child can be killed");
        child.wait().expect("a child can be waited for")
    }

    /// Suspends a child process by SIGSTOP, and returns once all its threads have
    /// stopped. Its connections stay open, and nothing is sent on them.
    ///
    /// # Panics
    ///
    /// Panics if it is a task, which cannot be suspended.
    pub fn freeze(&mut self) {
        signal(self.child(), Signal::STOP);
        while !has_stopped(self.child().id()) {
            std::thread::sleep(STOP_POLL_INTERVAL);
        }
    }

    /// Resumes a suspended child process by SIGCONT.
    ///
    /// # Panics
    ///
    /// Panics if it is a task, which cannot be suspended.
    pub fn thaw(&mut self) {
        signal(self.child(), Signal::CONT);
    }

    /// Requests a child process to reload its settings, by SIGHUP.
    ///
    /// # Panics
    ///
    /// Panics if it is a task.
    pub fn hang_up(&mut self) {
        signal(self.child(), Signal::HUP);
    }

    /// Requests a child process to reload its settings as soon as that does not end it any
    /// more: while the system loads the program, SIGHUP kills it.
    ///
    /// # Panics
    ///
    /// Panics if it is a task.
    pub async fn hang_up_early(&mut self) {
        while !self.has_ended() {
            if catches(self.id(), Signal::HUP) {
                return self.hang_up();
            }
            smol::Timer::after(STOP_POLL_INTERVAL).await;
        }
    }

    /// Bounds the descriptors that a child process may have open.
    ///
    /// # Panics
    ///
    /// Panics if it is a task, or has ended.
    pub fn limit_descriptors(&mut self, most: usize) {
        let id = self.id().to_string();
        let limit = format!("--nofile={most}:{most}");
        let set = Command::new("prlimit")
            .args(["--pid", &id, &limit])
            .status();
        assert!(set.is_ok_and(|status| status.success()), "the process runs");
    }

    /// Returns the number of descriptors that a child process has open.
    ///
    /// # Panics
    ///
    /// Panics if it is a task, or has ended.
    pub fn descriptors(&mut self) -> usize {
        let open = std::fs::read_dir(format!("/proc/{}/fd", self.id()));
        open.expect("the process runs").count()
    }

    /// Returns the process id.
    ///
    /// # Panics
    ///
    /// Panics if it is a task.
    pub fn id(&mut self) -> u32 {
        self.child().id()
    }

    /// Returns the most memory that a child process has used since it started, in bytes.
    ///
    /// # Panics
    ///
    /// Panics if it is a task, or has ended.
    pub fn peak_memory(&mut self) -> u64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.id()));
        let status = status.expect("the process runs");
        let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
        let kilobytes = line.and_then(|line| line.split_whitespace().next());
        let kilobytes = kilobytes.and_then(|number| number.parse::<u64>().ok());
        kilobytes.expect("the kernel counts it") << 10
    }

    fn child(&mut self) -> &mut Child {
        match self {
            Self::Child(child) => child,
            Self::Task { .. } => panic!("needs a child process: use Mode::Processes"),
        }
    }
}

/// Returns whether all threads of a process have stopped, or it has ended.
fn has_stopped(id: u32) -> bool {
    let threads = std::fs::read_dir(format!("/proc/{id}/task"));
    let mut threads = threads.into_iter().flatten().flatten();
    threads.all(|thread| {
        // A thread that ends meanwhile has no status any more.
        let stat = std::fs::read_to_string(thread.path().join("stat")).unwrap_or_default();
        // The state follows the name, which is in brackets.
        let state = stat.rsplit_once(") ").map(|(_, rest)| &rest[..1]);
        state.is_none_or(|state| "TZX".contains(state))
    })
}

/// Returns whether a process has a handler for a signal.
fn catches(id: u32, signal: Signal) -> bool {
    let status = std::fs::read_to_string(format!("/proc/{id}/status")).unwrap_or_default();
    let caught = status.lines().find_map(|line| line.strip_prefix("SigCgt:"));
    let caught = caught.and_then(|mask| u64::from_str_radix(mask.trim(), 16).ok());
    // The lowest bit stands for signal 1.
    caught.is_some_and(|mask| mask >> (signal.as_raw() - 1) & 1 == 1)
}

/// Sends a signal by a system call of this process: a program that sends it takes longer
/// than the first moments of a start last.
fn signal(child: &Child, signal: Signal) {
    rustix::process::kill_process(Pid::from_child(child), signal)
        .unwrap_or_else(|error| panic!("cannot send a signal to {}: {error}", child.id()));
}

impl Drop for Process {
    fn drop(&mut self) {
        if let Self::Child(child) = self {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}
