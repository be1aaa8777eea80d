//! An entry as a running process: listeners, links, the key-value service,
//! and the task that runs the reducer.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use async_channel::Receiver;
use async_channel::Sender;
use eyre::WrapErr as _;
use futures_lite::future;
use limpetferry_lib::document::Documents;
use limpetferry_lib::effect::CallerKey;
use limpetferry_lib::effect::Effect;
use limpetferry_lib::effect::LogEvent;
use limpetferry_lib::entry::Entry;
use limpetferry_lib::entry::Event;
use limpetferry_lib::id::Boot;
use limpetferry_lib::id::NodeId;
use limpetferry_lib::member::Node;
use limpetferry_lib::member::Role;
use limpetferry_lib::member::VmState;
use limpetferry_lib::message::Reply;
use limpetferry_lib::message::Request;
use limpetferry_lib::shard_map::Block;

use crate::addresses::Listeners;
use crate::addresses::Need;
use crate::clock::Clock;
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
use crate::settings::EntrySettings;
use crate::start::identify;
use crate::store::HttpStore;
use crate::store::Item;
use crate::store::Store;
use crate::store::SwapEnd;

/// Time between two ticks of the reducer.
const TICK: Duration = Duration::from_millis(25);
/// Inputs that wait for the reducer.
const MAX_INPUTS: usize = 4_096;
/// Wait before the key-value service is asked again after a failure.
const STORE_PAUSE: Duration = Duration::from_millis(500);
/// Inputs handled before effects are carried out.
const BATCH: usize = 64;

/// A piece of an answer, or its end, for one caller.
#[derive(Clone, Debug, PartialEq)]
pub enum Piece {
    /// Bytes of the answer.
    Bytes(Vec<u8>),
    /// The last word.
    End(Reply),
}

/// A question to the entry's state.
pub type Query = Box<dyn FnOnce(&Entry) + Send>;

/// What reaches the reducer's task from within the process.
pub enum Input {
    /// An event for the reducer.
    Event(Event),
    /// A caller's request.
    Caller {
        /// The caller.
        caller: CallerKey,
        /// What it asks.
        request: Request,
        /// Bytes of the answer that it has.
        offset: u64,
        /// Takes the answer.
        pieces: Sender<Piece>,
    },
    /// A question to the state.
    Query(Query),
}

/// What the listeners of an entry share.
#[derive(Clone)]
pub struct EntryHandle {
    inputs: Sender<Input>,
    callers: Arc<AtomicU64>,
    documents: Arc<Mutex<Arc<Documents>>>,
    /// The settings of the process.
    pub settings: Arc<EntrySettings>,
    /// The key-value service.
    pub store: Arc<dyn Store>,
    /// The metrics of the process.
    pub metrics: Metrics,
}

impl EntryHandle {
    /// Returns the settings in force.
    ///
    /// # Panics
    ///
    /// Panics if another thread panicked while it held the lock.
    pub fn documents(&self) -> Arc<Documents> {
        self.documents
            .lock()
            .expect("no panic while locked")
            .clone()
    }

    /// Asks for something in a caller's name; the pieces of the answer come
    /// by the channel, for as long as the guard lives.
    pub async fn ask(&self, request: Request, offset: u64) -> (Receiver<Piece>, CallerGuard) {
        let caller = CallerKey(self.callers.fetch_add(1, Ordering::Relaxed));
        let (pieces, receiver) = async_channel::unbounded();
        let input = Input::Caller {
            caller,
            request,
            offset,
            pieces,
        };
        let _ = self.inputs.send(input).await;
        let guard = CallerGuard {
            caller,
            inputs: self.inputs.clone(),
        };
        (receiver, guard)
    }

    /// Passes an event to the reducer.
    pub async fn event(&self, event: Event) {
        let _ = self.inputs.send(Input::Event(event)).await;
    }

    /// Asks the state a question.
    pub async fn query<T: Send + 'static>(
        &self,
        question: impl FnOnce(&Entry) -> T + Send + 'static,
    ) -> Option<T> {
        let (give, take) = async_channel::bounded(1);
        let query: Query = Box::new(move |entry| {
            let _ = give.try_send(question(entry));
        });
        self.inputs.send(Input::Query(query)).await.ok()?;
        take.recv().await.ok()
    }
}

/// Tells the reducer that a caller has gone when it is dropped.
#[derive(Debug)]
pub struct CallerGuard {
    caller: CallerKey,
    inputs: Sender<Input>,
}

impl Drop for CallerGuard {
    fn drop(&mut self) {
        let _ = self
            .inputs
            .try_send(Input::Event(Event::CallerGone(self.caller)));
    }
}

/// Runs an entry until `stop` is closed or says so, and its shards are given
/// away and its callers answered.
///
/// # Errors
///
/// Returns an error if an address is taken or the key-value service does not
/// take the registration.
pub async fn run(settings: EntrySettings, stop: Receiver<()>) -> eyre::Result<()> {
    let common = settings.common.clone();
    let essential = Essential::new(common.node.as_str());
    let metrics = Metrics::new().wrap_err("cannot make the metrics")?;
    let listening = Bounds {
        connections: settings.limits.connections,
        head: settings.limits.head,
        wait: HEAD_WAIT,
        flush: FLUSH_WAIT,
    };
    let (end, ended) = async_channel::bounded::<()>(1);
    let node = common.node.as_str();
    let listeners = Listeners::new(node, Clock::default(), metrics.registry())?;
    let (handler, closed) = (metrics.handler(), ended.clone());
    let health = move |listener| serve(listener, listening, handler, closed);
    let (setting, need) = ("common.metrics", Need::Optional);
    listeners
        .spawn(setting, common.metrics, need, ended.clone(), health)
        .detach();
    let bound = future::try_zip(
        listeners.bind("common.peers", common.peers, Need::Required),
        future::try_zip(
            listeners.bind("callers", settings.callers, Need::Required),
            listeners.bind("operators", settings.operators, Need::Required),
        ),
    );
    let Some((peers, (callers, operators))) = listeners.until_stop(&stop, bound).await? else {
        crate::log::note(node, &LogEvent::new("stopped"));
        return Ok(());
    };
    let store: Arc<dyn Store> = Arc::new(HttpStore::new(&common.store.to_string()));
    let node = Node {
        id: common.node.clone(),
        role: Role::Entry,
        centre: common.centre.clone(),
        address: common.peers.to_string(),
        vm: common.vm.clone(),
    };
    let boot = register(store.clone(), &node, ended.clone()).await;
    let (link_events, links_in) = async_channel::bounded(MAX_INPUTS);
    let hello = Hello::new(node.id.clone(), boot, common.key_digest());
    let links = Links::new(hello, link_events);
    essential.spawn("peers", links.clone().listen(peers));

    let (inputs, inputs_in) = async_channel::bounded(MAX_INPUTS);
    let handle = EntryHandle {
        inputs: inputs.clone(),
        callers: Arc::default(),
        documents: Arc::default(),
        settings: Arc::new(settings),
        store: store.clone(),
        metrics: metrics.clone(),
    };
    essential.spawn(
        "store",
        follow_store(store.clone(), handle.clone(), links, node),
    );
    if let Some(vms) = common.vms {
        essential.spawn("vms", crate::vms::follow(vms, handle.clone()));
    }
    let caller_stop = ended.clone();
    let serving = crate::callers::handler(handle.clone());
    essential.spawn("callers", serve(callers, listening, serving, caller_stop));
    let operating = crate::operators::handler(handle.clone());
    essential.spawn("operators", serve(operators, listening, operating, ended));
    metrics.set_ready(true);
    crate::log::note(
        common.node.as_str(),
        &identify(LogEvent::new("started").with("boot", boot)),
    );

    let task = Task::new(&handle, boot);
    task.run(inputs_in, links_in, stop).await;
    essential.stop();
    // Connections end after the answer under way; the task has seen to it
    // that none is left.
    drop(end);
    let _ = store.delete(&keys::node(&common.node)).await;
    crate::log::note(common.node.as_str(), &LogEvent::new("stopped"));
    Ok(())
}

/// The task that runs the reducer.
struct Task {
    entry: Entry,
    clock: Clock,
    handle: EntryHandle,
    links: LinkTable,
    callers: HashMap<CallerKey, Sender<Piece>>,
    versions: Vec<(limpetferry_lib::id::Operator, limpetferry_lib::id::Version)>,
}

enum Got {
    Input(Input),
    Link(LinkEvent),
    Tick,
    Stop,
}

impl Task {
    fn new(handle: &EntryHandle, boot: Boot) -> Self {
        let common = &handle.settings.common;
        let entry = Entry::new(
            common.node.clone(),
            common.centre.clone(),
            boot,
            common.rules.clone(),
            rand::random(),
        );
        Self {
            entry,
            clock: Clock::default(),
            handle: handle.clone(),
            links: LinkTable::default(),
            callers: HashMap::new(),
            versions: Vec::new(),
        }
    }

    async fn run(
        mut self,
        inputs: Receiver<Input>,
        links: Receiver<LinkEvent>,
        stop: Receiver<()>,
    ) {
        let mut ticks = smol::Timer::interval(TICK);
        let mut stopping: Option<std::time::Instant> = None;
        let limit = Duration::from_millis(self.handle.settings.common.stop_ms);
        loop {
            let got = self
                .wait(&inputs, &links, &stop, &mut ticks, stopping.is_some())
                .await;
            if matches!(got, Got::Stop) {
                stopping = Some(std::time::Instant::now());
                self.handle.metrics.set_ready(false);
                self.step(Event::Stop);
                continue;
            }
            self.take(got);
            for _ in 0..BATCH {
                if let Ok(event) = links.try_recv() {
                    self.take(Got::Link(event));
                } else if let Ok(input) = inputs.try_recv() {
                    self.take(Got::Input(input));
                } else {
                    break;
                }
            }
            if let Some(since) = stopping
                && self.may_stop(since, limit)
            {
                return;
            }
        }
    }

    fn may_stop(&self, since: std::time::Instant, limit: Duration) -> bool {
        let alone = !self.entry.members().iter().any(|member| {
            member.node.role == Role::Entry && member.boot().is_some() && !member.is_leaving()
        });
        let given = self.entry.shards_owned() == 0 || alone;
        if given && self.entry.is_idle() {
            return true;
        }
        let over = since.elapsed() >= limit;
        if over {
            let note = LogEvent::new("stop_cut_short")
                .with("callers", self.entry.callers().len())
                .with("shards", self.entry.shards_owned());
            crate::log::note(self.handle.settings.common.node.as_str(), &note);
        }
        over
    }

    async fn wait(
        &self,
        inputs: &Receiver<Input>,
        links: &Receiver<LinkEvent>,
        stop: &Receiver<()>,
        ticks: &mut smol::Timer,
        stopping: bool,
    ) -> Got {
        use futures_lite::FutureExt as _;
        use futures_lite::StreamExt as _;
        let input = async {
            match inputs.recv().await {
                Ok(input) => Got::Input(input),
                Err(_) => std::future::pending().await,
            }
        };
        let link = async {
            match links.recv().await {
                Ok(event) => Got::Link(event),
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
        tick.or(link).or(input).or(stopped).await
    }

    fn take(&mut self, got: Got) {
        match got {
            Got::Input(Input::Event(event)) => {
                if let Event::CallerGone(caller) = &event
                    && self.callers.remove(caller).is_none()
                {
                    return;
                }
                self.step(event);
            }
            Got::Input(Input::Caller {
                caller,
                request,
                offset,
                pieces,
            }) => {
                self.callers.insert(caller, pieces);
                self.step(Event::Caller {
                    caller,
                    request,
                    offset,
                });
            }
            Got::Input(Input::Query(query)) => query(&self.entry),
            Got::Link(event) => self.link(event),
            Got::Tick => {
                self.step(Event::Tick);
                self.measure();
            }
            Got::Stop => {}
        }
    }

    fn link(&mut self, event: LinkEvent) {
        for event in self.links.take(event) {
            let event = match event {
                PeerEvent::Up { node, boot } => Event::LinkUp { node, boot },
                PeerEvent::Down { node, why } => {
                    let note = LogEvent::new("link_down")
                        .with("peer", &node)
                        .with("why", why);
                    crate::log::note(self.handle.settings.common.node.as_str(), &note);
                    Event::LinkDown { node }
                }
                PeerEvent::Message { node, message } => Event::Message {
                    from: node,
                    message,
                },
            };
            self.step(event);
        }
    }

    fn step(&mut self, event: Event) {
        let mut effects = Vec::new();
        self.entry.step(self.clock.now(), event, &mut effects);
        for effect in effects {
            self.perform(effect);
        }
        let versions = self.entry.documents().versions();
        if versions != self.versions {
            self.handle.metrics.set_versions(&versions);
            self.versions = versions;
            let documents = Arc::new(self.entry.documents().clone());
            if let Ok(mut shared) = self.handle.documents.lock() {
                *shared = documents;
            }
        }
    }

    fn perform(&mut self, effect: Effect) {
        match effect {
            Effect::Send { to, message } => self.links.send(&to, message),
            Effect::Chunk { caller, bytes } => {
                if let Some(pieces) = self.callers.get(&caller) {
                    let _ = pieces.try_send(Piece::Bytes(bytes));
                }
            }
            Effect::Finish { caller, reply } => {
                if let Some(pieces) = self.callers.remove(&caller) {
                    let _ = pieces.try_send(Piece::End(reply));
                }
            }
            Effect::Swap {
                block,
                revision,
                value,
            } => self.swap(block, revision, value),
            Effect::ReadBlock { block } => self.reread(block),
            Effect::Log(note) => {
                crate::log::note(self.handle.settings.common.node.as_str(), &note);
            }
            // For side processes only.
            Effect::Start { .. }
            | Effect::Abort { .. }
            | Effect::Release { .. }
            | Effect::Store(_) => {}
        }
    }

    fn swap(&self, block: u16, revision: u64, value: Block) {
        let handle = self.handle.clone();
        smol::spawn(async move {
            let key = keys::block(block);
            let text = serde_json::to_string(&value).unwrap_or_default();
            let swapped = handle
                .store
                .swap(&key, revision, vec![(key.clone(), text)])
                .await;
            let event = match swapped {
                Ok(SwapEnd::Done(revision)) => Event::Swapped {
                    block,
                    revision,
                    value,
                },
                Ok(SwapEnd::Conflict) | Err(_) => Event::SwapFailed { block },
            };
            handle.event(event).await;
        })
        .detach();
    }

    fn reread(&self, block: u16) {
        let handle = self.handle.clone();
        smol::spawn(async move {
            loop {
                let Ok((items, _)) = handle.store.list(&keys::block(block)).await else {
                    smol::Timer::after(STORE_PAUSE.mul_f64(rand::random_range(0.5..1.5))).await;
                    continue;
                };
                handle.event(block_event(block, items.first())).await;
                return;
            }
        })
        .detach();
    }

    fn measure(&self) {
        let metrics = &self.handle.metrics;
        metrics.waiting.set(self.entry.callers().len() as i64);
        metrics
            .calls
            .set(self.entry.owner().open_call_count() as i64);
        metrics
            .programs
            .set(self.entry.owner().program_count() as i64);
        metrics.shards.set(self.entry.shards_owned() as i64);
        metrics.kept.set(self.entry.owner().shards_kept() as i64);
        metrics.links.set(self.links.len() as i64);
        metrics.store_calls.set(self.handle.store.calls() as i64);
    }
}

/// Makes the event of a block's reading.
pub(crate) fn block_event(block: u16, item: Option<&Item>) -> Event {
    let value = item.and_then(|item| serde_json::from_str(&item.value).ok());
    Event::Block {
        block,
        revision: item.map_or(0, |item| item.revision),
        value: value.unwrap_or_default(),
    }
}

/// What the key-value service holds, as far as an entry follows it.
#[derive(Default)]
struct Picture {
    nodes: BTreeMap<String, Node>,
    drains: BTreeMap<String, NodeId>,
}

/// Reads everything once, then watches, anew after each failure.
async fn follow_store(store: Arc<dyn Store>, handle: EntryHandle, links: Arc<Links>, own: Node) {
    loop {
        if follow_once(&*store, &handle, &links, &own).await.is_none() {
            let pause = STORE_PAUSE.mul_f64(rand::random_range(0.5..1.5));
            smol::Timer::after(pause).await;
        }
    }
}

async fn follow_once(
    store: &dyn Store,
    handle: &EntryHandle,
    links: &Arc<Links>,
    own: &Node,
) -> Option<()> {
    let (items, revision) = store.list(keys::WATCHED).await.ok()?;
    let mut picture = Picture::default();
    let blocks = handle
        .settings
        .common
        .rules
        .shards
        .div_ceil(limpetferry_lib::shard_map::BLOCK_SHARDS);
    for block in 0..blocks {
        let key = keys::block(block);
        let item = items.iter().find(|item| item.key == key);
        handle.event(block_event(block, item)).await;
    }
    picture.take(items, handle).await;
    picture.tell(handle, links, own).await;
    let changes = store.watch(keys::WATCHED, revision + 1).await.ok()?;
    while let Ok(items) = changes.recv().await {
        for item in items
            .iter()
            .filter(|item| item.key.starts_with(keys::SHARDS))
        {
            let number = item.key.strip_prefix(keys::SHARDS)?;
            handle
                .event(block_event(number.parse().ok()?, Some(item)))
                .await;
        }
        if picture.take(items, handle).await {
            picture.tell(handle, links, own).await;
        }
    }
    None
}

impl Picture {
    /// Takes changes over; returns whether the processes changed.
    async fn take(&mut self, items: Vec<Item>, handle: &EntryHandle) -> bool {
        let mut changed = false;
        for item in items {
            if item.key.starts_with(keys::CONFIG) && !item.deleted {
                handle.event(Event::Document(item.value)).await;
            } else if item.key.starts_with(keys::NODES) {
                changed = true;
                match serde_json::from_str(&item.value) {
                    Ok(node) if !item.deleted => {
                        self.nodes.insert(item.key, node);
                    }
                    _ => {
                        self.nodes.remove(&item.key);
                    }
                }
            } else if let Some(name) = item.key.strip_prefix(keys::DRAINS) {
                changed = true;
                if item.deleted {
                    self.drains.remove(&item.key);
                } else {
                    let name = NodeId::new(name);
                    self.drains.insert(item.key, name);
                }
            }
        }
        changed
    }

    /// Tells the reducer which processes there are, and dials them. Of two
    /// entries, the one whose name is lower dials.
    async fn tell(&self, handle: &EntryHandle, links: &Arc<Links>, own: &Node) {
        let nodes: Vec<Node> = self.nodes.values().cloned().collect();
        let dialled: Vec<(NodeId, String)> = nodes
            .iter()
            .filter(|node| node.role == Role::Side || node.id > own.id)
            .map(|node| (node.id.clone(), node.address.clone()))
            .collect();
        handle.event(Event::Registry(nodes)).await;
        let drains = self.drains.values().cloned().collect();
        handle.event(Event::DrainList(drains)).await;
        links.dial(&dialled);
    }
}

/// Returns the state of a VM as the VM list writes it.
pub(crate) fn listed(word: &str) -> VmState {
    match word {
        "leaving" => VmState::Leaving,
        _ => VmState::Live,
    }
}
