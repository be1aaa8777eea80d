//! A side process as a running process.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use async_channel::Receiver;
use async_channel::Sender;
use eyre::WrapErr as _;
use limpetferry_lib::effect::BackendRequest;
use limpetferry_lib::effect::Effect;
use limpetferry_lib::effect::LogEvent;
use limpetferry_lib::entry;
use limpetferry_lib::id::Boot;
use limpetferry_lib::id::CallId;
use limpetferry_lib::id::ProgramId;
use limpetferry_lib::member::Node;
use limpetferry_lib::member::Role;
use limpetferry_lib::shard_copies::CopyRecord;
use limpetferry_lib::shard_map::BLOCK_SHARDS;
use limpetferry_lib::side::Event;
use limpetferry_lib::side::Side;

use crate::addresses::Listeners;
use crate::addresses::Need;
use crate::backend::Backend;
use crate::clock::Clock;
use crate::copies::CopyError;
use crate::copies::CopyStore;
use crate::copies::FileCopies;
use crate::copies::Found;
use crate::copies::NoCopies;
use crate::copies::machine_run;
use crate::entry_node::block_event;
use crate::essential::Essential;
use crate::http::Bounds;
use crate::http::FLUSH_WAIT;
use crate::http::HEAD_WAIT;
use crate::http::serve;
use crate::keys;
use crate::links::LinkEvent;
use crate::links::LinkTable;
use crate::links::Links;
use crate::links::PeerEvent;
use crate::metrics::Metrics;
use crate::peer::Hello;
use crate::registration::register;
use crate::settings::SideSettings;
use crate::start::identify;
use crate::store::HttpStore;
use crate::store::Store;

/// Time between two ticks of the reducer.
const TICK: Duration = Duration::from_millis(50);
/// Inputs that wait for the reducer.
const MAX_INPUTS: usize = 4_096;
/// Wait before the key-value service is asked again.
const STORE_PAUSE: Duration = Duration::from_millis(500);
/// Bounds of the metrics listener.
const HEALTH: Bounds = Bounds {
    connections: 64,
    head: 8_192,
    wait: HEAD_WAIT,
    flush: FLUSH_WAIT,
};
/// Exit code when stale copies cannot be removed.
const EXIT_COPIES: i32 = 4;
/// Tries of a release that the server does not confirm.
const RELEASE_TRIES: u32 = 5;

/// Runs a side process until `stop` is closed or says so, its calls have
/// ended, and other side processes keep its shards.
///
/// # Errors
///
/// Returns an error if an address is taken, or the data folder cannot be used.
pub async fn run(settings: SideSettings, stop: Receiver<()>) -> eyre::Result<()> {
    let common = &settings.common;
    let essential = Essential::new(common.node.as_str());
    let metrics = Metrics::new().wrap_err("cannot make the metrics")?;
    let (end, ended) = async_channel::bounded::<()>(1);
    let node = common.node.as_str();
    let listeners = Listeners::new(node, Clock::default(), metrics.registry())?;
    let (handler, closed) = (metrics.handler(), ended.clone());
    let health = move |listener| serve(listener, HEALTH, handler, closed);
    let (setting, need) = ("common.metrics", Need::Optional);
    listeners
        .spawn(setting, common.metrics, need, ended.clone(), health)
        .detach();
    // The predecessor has the address until it has ended: from then on nobody else writes to
    // the folder.
    let peers = listeners.bind("common.peers", common.peers, Need::Required);
    let Some(peers) = listeners.until_stop(&stop, peers).await? else {
        crate::log::note(node, &LogEvent::new("stopped"));
        return Ok(());
    };
    let (copies, found) = open_copies(&settings)?;
    let store: Arc<dyn Store> = Arc::new(HttpStore::new(&common.store.to_string()));
    let node = Node {
        id: common.node.clone(),
        role: Role::Side,
        centre: common.centre.clone(),
        address: common.peers.to_string(),
        vm: common.vm.clone(),
    };
    let boot = register(store.clone(), &node, ended).await;
    let mut task = Task::new(&settings, boot, metrics.clone(), store.clone());
    task.recover(copies, found);
    // What an earlier life knew of epochs is read before any order is taken.
    task.read_blocks().await;
    let hello = Hello::new(node.id.clone(), boot, common.key_digest());
    let (link_events, links_in) = async_channel::bounded(MAX_INPUTS);
    let links = Links::new(hello, link_events);
    essential.spawn("peers", links.listen(peers));
    metrics.set_ready(true);
    crate::log::note(
        node.id.as_str(),
        &identify(LogEvent::new("started").with("boot", boot)),
    );
    task.run(links_in, stop).await;
    essential.stop();
    drop(end);
    let _ = store.delete(&keys::node(&node.id)).await;
    crate::log::note(node.id.as_str(), &LogEvent::new("stopped"));
    Ok(())
}

/// Opens the file of copies, if the VM has a disk for it.
fn open_copies(settings: &SideSettings) -> eyre::Result<(Box<dyn CopyStore>, Option<Found>)> {
    let Some(data) = &settings.data else {
        return Ok((Box::new(NoCopies), None));
    };
    let run = machine_run().wrap_err("cannot tell this run of the machine from others")?;
    let (copies, found) = FileCopies::open(data, &settings.common.node, &run)?;
    Ok((Box::new(copies), Some(found)))
}

enum Got {
    Link(LinkEvent),
    Backend(Event),
    Tick,
    Stop,
}

struct Task {
    side: Side,
    settings: SideSettings,
    clock: Clock,
    backend: Backend,
    links: LinkTable,
    metrics: Metrics,
    store: Arc<dyn Store>,
    copies: Box<dyn CopyStore>,
    running: HashMap<(CallId, u64), smol::Task<()>>,
    ends: Sender<Event>,
    ends_in: Receiver<Event>,
}

impl Task {
    fn new(settings: &SideSettings, boot: Boot, metrics: Metrics, store: Arc<dyn Store>) -> Self {
        let (ends, ends_in) = async_channel::bounded(MAX_INPUTS);
        let common = &settings.common;
        Self {
            side: Side::new(common.node.clone(), boot, common.rules.clone()),
            settings: settings.clone(),
            clock: Clock::default(),
            backend: Backend::new(&settings.server.to_string()),
            links: LinkTable::default(),
            metrics,
            store,
            copies: Box::new(NoCopies),
            running: HashMap::new(),
            ends,
            ends_in,
        }
    }

    /// Takes over what an earlier life stored in the data folder.
    fn recover(&mut self, copies: Box<dyn CopyStore>, found: Option<Found>) {
        self.copies = copies;
        let Some(found) = found else { return };
        let note = LogEvent::new("copies_found")
            .with("records", found.records.len())
            .with("torn_bytes", found.torn)
            .with("given_up", found.stale);
        self.side.recover(found.records);
        self.note(&note.with("programs", self.side.keeper().programs()));
    }

    /// Stores a change of the copies. Where that fails the copies stay in
    /// memory only, and what is in the folder is removed: it would be found
    /// as if it lacked nothing.
    fn store_copy(&mut self, record: &CopyRecord) {
        let mut stored = self.copies.append(record);
        let full = matches!(stored, Err(CopyError::Full(..)));
        if full || stored.is_ok() && self.copies.has_grown() {
            // The copies as they stand have the change in them.
            let keeper = self.side.keeper();
            stored = self.copies.rewrite(&mut keeper.records());
        }
        if let Err(error) = stored {
            self.give_up_copies(&error);
        }
    }

    fn give_up_copies(&mut self, why: &CopyError) {
        self.note(&LogEvent::new("copies_given_up").with("why", why));
        if let Err(error) = self.copies.clear() {
            // Nothing else keeps a later life from handing out a stale copy.
            self.note(&LogEvent::new("copies_left").with("why", &error));
            std::process::exit(EXIT_COPIES);
        }
        self.copies = Box::new(NoCopies);
    }

    fn note(&self, note: &LogEvent) {
        crate::log::note(self.settings.common.node.as_str(), note);
    }

    async fn read_blocks(&mut self) {
        let blocks = self.settings.common.rules.shards.div_ceil(BLOCK_SHARDS);
        let items = loop {
            match self.store.list(keys::SHARDS).await {
                Ok((items, _)) => break items,
                Err(_) => {
                    let pause = STORE_PAUSE.mul_f64(rand::random_range(0.5..1.5));
                    smol::Timer::after(pause).await;
                }
            }
        };
        for block in 0..blocks {
            let key = keys::block(block);
            let item = items.iter().find(|item| item.key == key);
            if let entry::Event::Block {
                block,
                revision,
                value,
            } = block_event(block, item)
            {
                self.step(Event::Block {
                    block,
                    revision,
                    value,
                });
            }
        }
    }

    async fn run(&mut self, links: Receiver<LinkEvent>, stop: Receiver<()>) {
        let mut ticks = smol::Timer::interval(TICK);
        let mut stopping: Option<Instant> = None;
        let limit = Duration::from_millis(self.settings.common.stop_ms);
        loop {
            match self
                .wait(&links, &stop, &mut ticks, stopping.is_some())
                .await
            {
                Got::Link(event) => self.link(event),
                Got::Backend(event) => self.backend_event(event),
                Got::Tick => self.tick(),
                Got::Stop => {
                    stopping = Some(Instant::now());
                    self.metrics.set_ready(false);
                    self.step(Event::ShutDown);
                }
            }
            if let Some(since) = stopping
                && self.may_stop(since, limit)
            {
                return;
            }
        }
    }

    fn may_stop(&self, since: Instant, limit: Duration) -> bool {
        if self.side.is_idle() {
            return true;
        }
        let over = since.elapsed() >= limit;
        if over {
            let note = LogEvent::new("stop_cut_short")
                .with("running", self.side.load().running)
                .with("records", self.side.records());
            self.note(&note);
        }
        over
    }

    async fn wait(
        &self,
        links: &Receiver<LinkEvent>,
        stop: &Receiver<()>,
        ticks: &mut smol::Timer,
        stopping: bool,
    ) -> Got {
        use futures_lite::FutureExt as _;
        use futures_lite::StreamExt as _;
        let link = async {
            match links.recv().await {
                Ok(event) => Got::Link(event),
                Err(_) => std::future::pending().await,
            }
        };
        let end = async {
            match self.ends_in.recv().await {
                Ok(event) => Got::Backend(event),
                Err(_) => std::future::pending().await,
            }
        };
        let tick = async {
            ticks.next().await;
            Got::Tick
        };
        let stopped = async {
            if stopping {
                std::future::pending::<()>().await;
            }
            let _ = stop.recv().await;
            Got::Stop
        };
        tick.or(link).or(end).or(stopped).await
    }

    fn link(&mut self, event: LinkEvent) {
        for event in self.links.take(event) {
            let event = match event {
                PeerEvent::Up { node, .. } => Event::LinkUp { node },
                PeerEvent::Down { node, .. } => Event::LinkDown { node },
                PeerEvent::Message { node, message } => Event::Message {
                    from: node,
                    message,
                },
            };
            self.step(event);
        }
    }

    fn backend_event(&mut self, event: Event) {
        if let Event::BackendDone { call, attempt, .. } = &event {
            self.running.remove(&(*call, *attempt));
        }
        self.step(event);
    }

    fn tick(&mut self) {
        self.step(Event::Tick);
        self.metrics.calls.set(i64::from(self.side.load().running));
        self.metrics.waiting.set(i64::from(self.side.load().queued));
        self.metrics
            .programs
            .set(self.side.keeper().programs() as i64);
        self.metrics.links.set(self.links.len() as i64);
        self.metrics.store_calls.set(self.store.calls() as i64);
    }

    fn step(&mut self, event: Event) {
        let mut effects = Vec::new();
        self.side.step(self.clock.now(), event, &mut effects);
        for effect in effects {
            if let Effect::Log(_) = &effect {
                let versions = self.side.documents().versions();
                self.metrics.set_versions(&versions);
            }
            self.perform(effect);
        }
    }

    fn perform(&mut self, effect: Effect) {
        match effect {
            Effect::Send { to, message } => self.links.send(&to, message),
            Effect::Start {
                call,
                attempt,
                work,
            } => self.start(call, attempt, work),
            Effect::Abort { call, attempt } => {
                // Dropping the task closes the connection, which cancels the
                // stream at the server.
                self.running.remove(&(call, attempt));
            }
            Effect::Release { program } => self.release(program),
            Effect::Log(note) => self.note(&note),
            Effect::Store(record) => self.store_copy(&record),
            // For entries only.
            Effect::Chunk { .. }
            | Effect::Finish { .. }
            | Effect::Swap { .. }
            | Effect::ReadBlock { .. } => {}
        }
    }

    fn start(&mut self, call: CallId, attempt: u64, work: BackendRequest) {
        let (backend, ends) = (self.backend.clone(), self.ends.clone());
        let task = smol::spawn(async move {
            let end = backend
                .run(call, work, &ends, |bytes| Event::BackendChunk {
                    call,
                    attempt,
                    bytes,
                })
                .await;
            let _ = ends.send(Event::BackendDone { call, attempt, end }).await;
        });
        self.running.insert((call, attempt), task);
    }

    fn release(&self, program: ProgramId) {
        let backend = self.backend.clone();
        smol::spawn(async move {
            for pause in 1..=RELEASE_TRIES {
                if backend.release(program).await.is_ok() {
                    return;
                }
                smol::Timer::after(STORE_PAUSE * pause).await;
            }
        })
        .detach();
    }
}
