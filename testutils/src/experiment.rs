//! Simulation of the policy under load, in virtual time. Placement and queue
//! are the real ones of the decision library; engines are modelled with slots,
//! prefill, decode and a bounded prefix cache. Network and machines are not
//! modelled.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BinaryHeap;
use std::time::Duration;

use limpetferry_lib::document::Weights;
use limpetferry_lib::id::Deployment;
use limpetferry_lib::placement::Affinity;
use limpetferry_lib::placement::CallView;
use limpetferry_lib::placement::LeastLoaded;
use limpetferry_lib::placement::Placement;
use limpetferry_lib::placement::RoundRobin;
use limpetferry_lib::placement::ServerView;
use limpetferry_lib::placement::Sticky;
use limpetferry_lib::program::Urgency;
use limpetferry_lib::queue::Fifo;
use limpetferry_lib::queue::LeastAttained;
use limpetferry_lib::queue::Queue;
use limpetferry_lib::queue::RankPolicy;
use limpetferry_lib::queue::Waiting;
use limpetferry_lib::speed::Speed;
use limpetferry_lib::time::Time;
use rand::Rng as _;
use rand::SeedableRng as _;
use rand::rngs::SmallRng;

/// Number of engines in the model.
const ENGINES: usize = 10;
/// Number of calls that an engine runs at once.
const SLOTS: usize = 8;
/// Prompt tokens that an engine computes per second and call.
const PREFILL: f64 = 8_000.0;
/// Answer tokens that an engine generates per second and call.
const DECODE: f64 = 40.0;
/// Tokens that an engine's cache holds.
const CACHE: u64 = 400_000;
/// Time between two load reports, in microseconds.
const REPORT: u64 = 1_000_000;
/// Number of entries. Each sees the calls of its own programs immediately, and
/// those of the other entries only through load reports.
const ENTRIES: u64 = 2;
/// Number of programs in one run.
const PROGRAMS: u64 = 1_500;

/// A kind of program.
#[derive(Clone, Copy, Debug)]
struct Kind {
    share: f64,
    turns: u64,
    first: u64,
    more: u64,
    answer: u64,
    pause: f64,
    urgent: bool,
}

/// Mix of programs that a user runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mix {
    /// Lookups and transfers.
    Registrars,
    /// Drafts, long reworks and urgent notices.
    Clydeforth,
}

impl Mix {
    fn kinds(self) -> &'static [Kind] {
        const REGISTRARS: [Kind; 2] = [
            Kind {
                share: 0.85,
                turns: 3,
                first: 1_500,
                more: 300,
                answer: 60,
                pause: 0.3,
                urgent: false,
            },
            Kind {
                share: 0.15,
                turns: 8,
                first: 3_000,
                more: 600,
                answer: 150,
                pause: 1.0,
                urgent: false,
            },
        ];
        const CLYDEFORTH: [Kind; 3] = [
            Kind {
                share: 0.60,
                turns: 4,
                first: 4_000,
                more: 800,
                answer: 200,
                pause: 1.0,
                urgent: false,
            },
            Kind {
                share: 0.30,
                turns: 25,
                first: 10_000,
                more: 1_500,
                answer: 300,
                pause: 8.0,
                urgent: false,
            },
            Kind {
                share: 0.10,
                turns: 2,
                first: 1_000,
                more: 200,
                answer: 40,
                pause: 0.2,
                urgent: true,
            },
        ];
        match self {
            Self::Registrars => &REGISTRARS,
            Self::Clydeforth => &CLYDEFORTH,
        }
    }

    fn weights(self) -> Weights {
        match self {
            Self::Registrars => Weights {
                latency: 1.0,
                waste: 0.5,
            },
            Self::Clydeforth => Weights {
                latency: 1.0,
                waste: 2.0,
            },
        }
    }
}

impl Kind {
    /// Returns the seconds for which one program occupies a slot if no prompt
    /// token is computed twice.
    fn work(&self) -> f64 {
        let prompts = (self.first + self.more * (self.turns - 1)) as f64;
        prompts / PREFILL + (self.answer * self.turns) as f64 / DECODE
    }

    /// Returns the seconds from start to end on idle engines.
    fn idle_latency(&self) -> f64 {
        self.work() + self.pause * (self.turns - 1) as f64
    }
}

/// A way to place and order calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Policy {
    /// Round robin, first come first served.
    RoundRobin,
    /// Least loaded, first come first served.
    LeastLoaded,
    /// Always the same server, first come first served.
    Sticky,
    /// Weighs cached prompts against queue length; first come first served.
    AffinityFirstCome,
    /// Weighs cached prompts against queue length; least attained service. This
    /// is the shipped policy.
    Shipped,
}

impl Policy {
    /// All policies, baselines first.
    pub const ALL: [Self; 5] = [
        Self::RoundRobin,
        Self::LeastLoaded,
        Self::Sticky,
        Self::AffinityFirstCome,
        Self::Shipped,
    ];

    fn placement(self) -> Box<dyn Placement> {
        match self {
            Self::RoundRobin => Box::new(RoundRobin::default()),
            Self::LeastLoaded => Box::new(LeastLoaded),
            Self::Sticky => Box::new(Sticky),
            Self::AffinityFirstCome | Self::Shipped => Box::new(Affinity::default()),
        }
    }

    fn ordering(self) -> Box<dyn RankPolicy> {
        match self {
            Self::Shipped => Box::new(LeastAttained),
            _ => Box::new(Fifo),
        }
    }
}

/// Parameters of one run.
#[derive(Clone, Copy, Debug)]
pub struct Setup {
    /// The programs.
    pub mix: Mix,
    /// Load, as a share of the engines' capacity if no prompt token is computed
    /// twice.
    pub load: f64,
    /// Whether one engine works at a tenth of its speed.
    pub slow: bool,
    /// Seed of the random number generator.
    pub seed: u64,
}

/// Results of one run.
#[derive(Clone, Copy, Debug, Default)]
pub struct Figures {
    /// Median of a program's latency divided by its latency on idle engines.
    pub p50: f64,
    /// 95th percentile of the same.
    pub p95: f64,
    /// 99th percentile of the same.
    pub p99: f64,
    /// Share of the computed prompt tokens that had been computed before.
    pub waste: f64,
    /// Share of urgent programs that took over three seconds longer than on idle
    /// engines.
    pub late: f64,
}

#[derive(Clone, Debug)]
struct Program {
    kind: Kind,
    start: u64,
    turn: u64,
    context: u64,
    known: u64,
    last_engine: Option<usize>,
    attained: u64,
}

#[derive(Debug, Default)]
struct Engine {
    queue: Queue<u64>,
    running: usize,
    cache: BTreeMap<u64, (u64, u64)>,
    sent: [u32; ENTRIES as usize],
    backlog: [u64; ENTRIES as usize],
    reported: (u32, u64),
    /// Start, end and token count of the answer of each running call.
    answers: BTreeMap<u64, (u64, u64, u64)>,
    speed: Speed,
    pace: u32,
}

impl Engine {
    /// Updates the pace as a side process does: from the answer pieces since the
    /// last report and the time for which calls ran.
    fn measure(&mut self, now: u64) {
        let since = now - REPORT;
        let mut pieces = 0.0;
        for (first, end, tokens) in self.answers.values() {
            let (from, to) = ((*first).max(since), (*end).min(now));
            let share = to.saturating_sub(from) as f64 / (end - first).max(1) as f64;
            pieces += share * *tokens as f64;
        }
        let busy = Duration::from_micros(REPORT) * self.answers.len() as u32;
        self.speed.record(busy, pieces as u32);
        self.pace = self.speed.pace();
        self.speed.decay();
    }

    fn held(&self, program: u64) -> u64 {
        self.cache.get(&program).map_or(0, |(tokens, _)| *tokens)
    }

    fn store(&mut self, program: u64, tokens: u64, now: u64) {
        self.cache.insert(program, (tokens, now));
        let mut total: u64 = self.cache.values().map(|(tokens, _)| tokens).sum();
        while total > CACHE && self.cache.len() > 1 {
            let oldest = self.cache.iter().min_by_key(|(_, (_, used))| *used);
            let Some(oldest) = oldest.map(|(program, _)| *program) else {
                return;
            };
            total -= self.cache.remove(&oldest).map_or(0, |(tokens, _)| tokens);
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrive(u64),
    Call(u64),
    Done(u64, usize),
    Report,
}

struct Model {
    setup: Setup,
    rng: SmallRng,
    now: u64,
    events: BinaryHeap<Reverse<(u64, Event)>>,
    programs: BTreeMap<u64, Program>,
    engines: Vec<Engine>,
    placement: Box<dyn Placement>,
    ordering: Box<dyn RankPolicy>,
    slowdowns: Vec<f64>,
    urgent: (u64, u64),
    prefilled: u64,
    recomputed: u64,
    remaining: u64,
}

/// Runs one setup under one policy.
pub fn run(setup: Setup, policy: Policy) -> Figures {
    let mut model = Model {
        setup,
        rng: SmallRng::seed_from_u64(setup.seed),
        now: 0,
        events: BinaryHeap::new(),
        programs: BTreeMap::new(),
        engines: (0..ENGINES).map(|_| Engine::default()).collect(),
        placement: policy.placement(),
        ordering: policy.ordering(),
        slowdowns: Vec::new(),
        urgent: (0, 0),
        prefilled: 0,
        recomputed: 0,
        remaining: PROGRAMS,
    };
    model.plan_arrivals();
    while model.remaining > 0 {
        let Some(Reverse((at, event))) = model.events.pop() else {
            break;
        };
        model.now = at;
        model.handle(event);
    }
    model.figures()
}

fn micros(secs: f64) -> u64 {
    (secs * 1e6) as u64
}

impl Model {
    fn plan_arrivals(&mut self) {
        let kinds = self.setup.mix.kinds();
        let work: f64 = kinds.iter().map(|kind| kind.share * kind.work()).sum();
        let rate = self.setup.load * (ENGINES * SLOTS) as f64 / work;
        let mut at = 0.0;
        for id in 1..=PROGRAMS {
            let gap: f64 = self.rng.random_range(1e-9..1.0);
            at += -gap.ln() / rate;
            let mut draw: f64 = self.rng.random();
            let kind = kinds.iter().find(|kind| {
                draw -= kind.share;
                draw <= 0.0
            });
            let kind = *kind.unwrap_or(&kinds[0]);
            let program = Program {
                kind,
                start: micros(at),
                turn: 0,
                context: kind.first,
                known: 0,
                last_engine: None,
                attained: 0,
            };
            self.programs.insert(id, program);
            self.events.push(Reverse((micros(at), Event::Arrive(id))));
        }
        self.events.push(Reverse((REPORT, Event::Report)));
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive(id) | Event::Call(id) => self.call(id),
            Event::Done(id, engine) => self.done(id, engine),
            Event::Report => self.report(),
        }
    }

    fn report(&mut self) {
        for engine in &mut self.engines {
            let calls = engine.running + engine.queue.len();
            engine.reported = (calls as u32, engine.backlog.iter().sum());
            engine.measure(self.now);
        }
        self.events
            .push(Reverse((self.now + REPORT, Event::Report)));
    }

    fn call(&mut self, id: u64) {
        let program = &self.programs[&id];
        let entry = (id % ENTRIES) as usize;
        let view = |(index, engine): (usize, &Engine)| ServerView {
            slots: SLOTS as u32,
            active_calls: engine.sent[entry].max(engine.reported.0),
            backlog: engine.backlog[entry].max(engine.reported.1),
            cached_tokens: if program.last_engine == Some(index) {
                program.known
            } else {
                0
            },
            pace: engine.pace,
        };
        let views: Vec<ServerView> = self.engines.iter().enumerate().map(view).collect();
        let call = CallView {
            prompt: program.context,
            weights: self.setup.mix.weights(),
            program: id,
        };
        let chosen = self.placement.choose(&call, &views, &mut self.rng);
        let index = chosen.expect("there are engines");
        let now = Time::from_elapsed(Duration::from_micros(self.now));
        let waiting = Waiting {
            arrived: now,
            deadline: now + Duration::from_secs(300),
            urgency: if program.kind.urgent {
                Urgency::Urgent
            } else {
                Urgency::Normal
            },
            attained: program.attained,
            deployment: Deployment::new("all"),
        };
        let need = program.context + program.kind.answer;
        let engine = &mut self.engines[index];
        engine.sent[entry] += 1;
        engine.backlog[entry] += need;
        engine
            .queue
            .push(id, &waiting.deployment, self.ordering.rank(&waiting));
        self.start(index);
    }

    fn start(&mut self, index: usize) {
        while self.engines[index].running < SLOTS {
            let engine = &mut self.engines[index];
            let Some(id) = engine.queue.pop() else {
                return;
            };
            let program = &self.programs[&id];
            let held = engine.held(id).min(program.context);
            let missing = program.context - held;
            self.prefilled += missing;
            self.recomputed += program.known.saturating_sub(held);
            engine.running += 1;
            engine.store(id, program.context, self.now);
            let slower = if self.setup.slow && index == 0 {
                10.0
            } else {
                1.0
            };
            let took = missing as f64 / PREFILL + program.kind.answer as f64 / DECODE;
            let at = self.now + micros(took * slower);
            let first = self.now + micros(missing as f64 / PREFILL * slower);
            let answer = (first, at, program.kind.answer);
            self.engines[index].answers.insert(id, answer);
            self.events.push(Reverse((at, Event::Done(id, index))));
        }
    }

    fn done(&mut self, id: u64, index: usize) {
        let now = self.now;
        let Some(program) = self.programs.get_mut(&id) else {
            return;
        };
        let need = program.context + program.kind.answer;
        program.attained += need;
        program.turn += 1;
        program.known = need;
        program.last_engine = Some(index);
        program.context = need + program.kind.more;
        let over = program.turn >= program.kind.turns;
        let (kind, start) = (program.kind, program.start);
        let entry = (id % ENTRIES) as usize;
        let engine = &mut self.engines[index];
        engine.running -= 1;
        engine.answers.remove(&id);
        engine.sent[entry] -= 1;
        engine.backlog[entry] -= need;
        engine.store(id, need, now);
        if over {
            let took = (now - start) as f64 / 1e6;
            self.slowdowns.push(took / kind.idle_latency());
            self.urgent.0 += u64::from(kind.urgent);
            self.urgent.1 += u64::from(kind.urgent && took > 3.0 + kind.idle_latency());
            // The end of a program releases its cache.
            for engine in &mut self.engines {
                engine.cache.remove(&id);
            }
            self.programs.remove(&id);
            self.remaining -= 1;
        } else {
            let pause = micros(kind.pause);
            self.events.push(Reverse((now + pause, Event::Call(id))));
        }
        self.start(index);
    }

    fn figures(mut self) -> Figures {
        self.slowdowns.sort_by(f64::total_cmp);
        let at = |share: f64| {
            let last = self.slowdowns.len().saturating_sub(1);
            self.slowdowns
                .get((last as f64 * share) as usize)
                .copied()
                .unwrap_or(0.0)
        };
        Figures {
            p50: at(0.5),
            p95: at(0.95),
            p99: at(0.99),
            waste: self.recomputed as f64 / self.prefilled.max(1) as f64,
            late: self.urgent.1 as f64 / self.urgent.0.max(1) as f64,
        }
    }
}
