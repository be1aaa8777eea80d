//! Processes of a site: tasks, or processes of their own that a test kills,
//! freezes and stops.

use crate::listen::hold_ports;
use std::future::Future;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::ExitStatus;
use std::process::Stdio;
use std::time::Duration;

use async_channel::Receiver;
use serde::Serialize;

/// Time between two looks at a process that is to end.
const LOOK_EVERY: Duration = Duration::from_millis(10);

/// A process of the site that runs.
pub enum Process {
    /// A task of this process.
    Task {
        /// Says that it is to stop.
        stop: async_channel::Sender<()>,
        /// Its end.
        task: Option<smol::Task<eyre::Result<()>>>,
    },
    /// A process of its own.
    Child(Child),
}

/// Returns the path of one of the workspace's programs, beside the tests.
fn program(name: &str) -> PathBuf {
    let tests = std::env::current_exe().expect("a test has a path");
    let folders = tests.ancestors().skip(1).take(2);
    let found = folders
        .map(|folder| folder.join(name))
        .find(|path| path.exists());
    found.unwrap_or_else(|| panic!("no {name} beside the tests; run 'cargo build' first"))
}

impl Process {
    /// Starts a task that ends when it is told to stop.
    pub fn task<F>(run: impl FnOnce(Receiver<()>) -> F) -> Self
    where
        F: Future<Output = eyre::Result<()>> + Send + 'static,
    {
        let (stop, stopped) = async_channel::bounded(1);
        let running = run(stopped);
        let task = smol::spawn(async move {
            let ended = running.await;
            if let Err(error) = &ended {
                // Nobody may wait for its end; a test that fails shows this.
                eprintln!("a process of the site ended: {error:#}");
            }
            ended
        });
        Self::Task {
            stop,
            task: Some(task),
        }
    }

    /// Starts a program of the workspace with `settings`.
    ///
    /// # Panics
    ///
    /// Panics if the program was not built or `folder` cannot be written.
    pub fn spawn(name: &str, folder: &Path, node: &str, settings: &impl Serialize) -> Self {
        std::fs::create_dir_all(folder).expect("the temporary folder can be written");
        let file = folder.join(format!("{node}.json"));
        let text = serde_json::to_vec_pretty(settings).expect("settings are plain data");
        std::fs::write(&file, text).expect("the temporary folder can be written");
        let log = std::fs::File::create(folder.join(format!("{node}.log")));
        let output = log.as_ref().ok().and_then(|log| log.try_clone().ok());
        let output = output.map_or_else(Stdio::null, Stdio::from);
        let _ports = hold_ports();
        let child = Command::new(program(name))
            .arg("--settings")
            .arg(&file)
            .stdin(Stdio::null())
            .stdout(output)
            .stderr(log.map_or_else(|_| Stdio::null(), Stdio::from))
            .spawn()
            .expect("the program starts");
        Self::Child(child)
    }

    /// Stops the process as a signal would, and waits for its end. Returns
    /// whether it ended well.
    ///
    /// # Panics
    ///
    /// Panics if the system does not tell how a process ended.
    pub async fn stop(&mut self) -> bool {
        self.ask_stop().await;
        self.ended().await
    }

    /// Waits for the end of a process that was told to stop. Returns whether
    /// it ended well.
    ///
    /// # Panics
    ///
    /// Panics if the system does not tell how a process ended.
    pub async fn ended(&mut self) -> bool {
        match self {
            Self::Task { task, .. } => match task.take() {
                Some(task) => task.await.is_ok(),
                None => true,
            },
            Self::Child(child) => loop {
                match child.try_wait().expect("a child can be waited for") {
                    Some(status) => return status.success(),
                    None => smol::Timer::after(LOOK_EVERY).await,
                };
            },
        }
    }

    /// Tells the process to stop, and does not wait.
    pub async fn ask_stop(&mut self) {
        match self {
            Self::Task { stop, .. } => {
                let _ = stop.send(()).await;
            }
            Self::Child(child) => signal(child, "TERM"),
        }
    }

    /// Returns whether it has ended.
    ///
    /// # Panics
    ///
    /// Panics if the system does not tell.
    pub fn has_ended(&mut self) -> bool {
        match self {
            Self::Task { task, .. } => task.as_ref().is_none_or(|task| task.is_finished()),
            Self::Child(child) => child
                .try_wait()
                .expect("a child can be waited for")
                .is_some(),
        }
    }

    /// Kills a process of its own; it has no time to do anything.
    ///
    /// # Panics
    ///
    /// Panics if it is a task, which cannot be killed.
    pub fn kill(&mut self) -> ExitStatus {
        let child = self.child();
        child.kill().expect("our own child can be killed");
        child.wait().expect("a child can be waited for")
    }

    /// Freezes a process of its own: its connections stay open and silent.
    ///
    /// # Panics
    ///
    /// Panics if it is a task, which cannot be frozen.
    pub fn freeze(&mut self) {
        signal(self.child(), "STOP");
    }

    /// Lets a frozen process go on.
    ///
    /// # Panics
    ///
    /// Panics if it is a task, which cannot be frozen.
    pub fn thaw(&mut self) {
        signal(self.child(), "CONT");
    }

    /// Tells a process of its own to read its settings anew.
    ///
    /// # Panics
    ///
    /// Panics if it is a task.
    pub fn hang_up(&mut self) {
        signal(self.child(), "HUP");
    }

    /// Returns the number of the process in the system.
    ///
    /// # Panics
    ///
    /// Panics if it is a task.
    pub fn id(&mut self) -> u32 {
        self.child().id()
    }

    fn child(&mut self) -> &mut Child {
        match self {
            Self::Child(child) => child,
            Self::Task { .. } => panic!("start the site with Mode::Processes for this"),
        }
    }
}

fn signal(child: &Child, name: &str) {
    let sent = Command::new("kill")
        .arg(format!("-{name}"))
        .arg(child.id().to_string())
        .status();
    assert!(
        sent.is_ok_and(|status| status.success()),
        "no signal to {}",
        child.id()
    );
}

impl Drop for Process {
    fn drop(&mut self) {
        if let Self::Child(child) = self {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}
