//! What a gateway asks and tells keepers of the allowances of workspaces.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use limpetferry_lib::allowance::AllowanceBounds;
use limpetferry_lib::allowance::KeeperDecision;
use limpetferry_lib::allowance::ProcessStart;
use limpetferry_lib::allowance::Shortage;
use limpetferry_lib::allowance::UsageReply;
use limpetferry_lib::allowance::UsageReport;
use limpetferry_lib::keeper_protocol::KeeperReply;
use limpetferry_lib::keeper_protocol::KeeperRequest;
use limpetferry_lib::rate_limiter::Counted;
use limpetferry_lib::rate_limiter::Decision;
use limpetferry_lib::rate_limiter::RateLimiter;
use limpetferry_lib::rate_limiter::ResponsibleKeepers;
use limpetferry_lib::time::Time;
use limpetferry_lib::workspace::Allowance;
use limpetferry_lib::workspace::Workspace;

use crate::clock::Clock;
use crate::replicas::Replicas;
use crate::site::Site;
use crate::timeout::within;

/// Time between tellings of what was sent without asking.
const TELL_EVERY: Duration = Duration::from_millis(250);
/// Longest wait for a keeper's answer before the one that stands in for it is
/// asked: several times the way there and back and a keeper's turn at its
/// processor.
const ANSWER_WAIT: Duration = Duration::from_millis(60);
/// How long a keeper that did not answer is passed over.
const SILENT_WAIT: Duration = Duration::from_millis(500);
/// Keepers that are asked for one request.
const MAX_ASKED: usize = 2;

/// Why a request may not be sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Unaffordable {
    /// The allowance has no room until then.
    Over {
        /// What it has no room for.
        shortage: Shortage,
        /// Time until it has.
        after: Duration,
        /// What the keeper in charge counted, if it was asked.
        counted: Option<UsageReply>,
    },
    /// No keeper can say; another gateway may do better.
    Unknown(Duration),
}

/// A request that counts against its workspace's allowance; it is given back
/// unless it is sent.
#[must_use]
pub struct Charge {
    allowances: Arc<Allowances>,
    counted: Counted,
    sent: AtomicBool,
}

impl Charge {
    /// Notes that the request goes to a server.
    pub fn sent(&self) {
        self.sent.store(true, Ordering::Relaxed);
    }
}

impl Drop for Charge {
    fn drop(&mut self) {
        if !self.sent.load(Ordering::Relaxed) {
            self.allowances.give_back(&self.counted);
        }
    }
}

/// Keeps to the allowances of workspaces.
pub struct Allowances {
    bounds: AllowanceBounds,
    spending: Mutex<RateLimiter>,
    site: Arc<Site>,
    replicas: Arc<Replicas>,
    clock: Clock,
    /// Keepers that may be lost at once.
    faults: usize,
    /// Keepers that did not answer, and when.
    silent: Mutex<HashMap<Arc<str>, Time>>,
}

impl Allowances {
    /// Makes the record of a gateway that starts now. `by_programs` says whether
    /// programs that begin are refused before requests of those that have.
    pub fn new(
        bounds: AllowanceBounds,
        by_programs: bool,
        site: Arc<Site>,
        replicas: Arc<Replicas>,
        faults: usize,
        clock: Clock,
    ) -> Arc<Self> {
        Arc::new(Self {
            bounds,
            spending: Mutex::new(RateLimiter::new(bounds, by_programs, clock.now())),
            site,
            replicas,
            clock,
            faults,
            silent: Mutex::default(),
        })
    }

    /// Returns the requests that are handed out within a window.
    pub fn limit(&self, allowance: &Allowance) -> u32 {
        self.bounds.limit(allowance)
    }

    fn spending(&self) -> MutexGuard<'_, RateLimiter> {
        self.spending.lock().expect("no panic while locked")
    }

    /// Counts a request of a workspace, if its allowance holds it; `None` if it
    /// has no limit.
    ///
    /// # Errors
    ///
    /// Returns an [`Unaffordable`] if it may not be sent.
    ///
    /// # Panics
    ///
    /// Panics if another thread panicked while it held a lock.
    pub async fn charge(
        self: &Arc<Self>,
        workspace: &Workspace,
        program: Option<&str>,
    ) -> Result<Option<Charge>, Unaffordable> {
        let Some(allowance) = &workspace.allowance else {
            return Ok(None);
        };
        let now = self.clock.now();
        let decision = self.spending().decide(now, workspace, allowance, program);
        let (counted, asks) = match decision {
            Decision::Over(shortage, after) => {
                return Err(Unaffordable::Over {
                    shortage,
                    after,
                    counted: None,
                });
            }
            Decision::Go(counted) => (counted, false),
            Decision::Ask(counted) => (counted, true),
        };
        let charge = Charge {
            allowances: self.clone(),
            counted,
            sent: false.into(),
        };
        if asks {
            self.ask(&charge.counted).await?;
        }
        Ok(Some(charge))
    }

    async fn ask(&self, counted: &Counted) -> Result<(), Unaffordable> {
        for _ in 0..MAX_ASKED {
            let Some(keeper) = self.keepers(&counted.workspace).keeper else {
                break;
            };
            let told = self.tell(&counted.workspace, &keeper, Some(counted));
            let Some(reply) = self.spend(&keeper, told.into_iter().collect()).await else {
                self.unheard(&keeper.node, &counted.workspace);
                continue;
            };
            if self.keepers(&counted.workspace).keeper.as_ref() != Some(&keeper) {
                // It says that it has just started: another one knows more.
                continue;
            }
            let reply = reply.into_iter().next();
            let (shortage, after) = match reply.as_ref().and_then(|reply| reply.ruling) {
                Some(KeeperDecision::Full(after)) => (Shortage::Requests, after),
                Some(KeeperDecision::Closed { turn, .. }) => (Shortage::Programs, turn),
                Some(KeeperDecision::Go) | None => {
                    self.spending().record_permitted(self.clock.now(), counted);
                    return Ok(());
                }
            };
            return Err(Unaffordable::Over {
                shortage,
                after,
                counted: reply,
            });
        }
        let now = self.clock.now();
        let alone = self.spending().decide_without_keeper(now, counted);
        alone.map_err(Unaffordable::Unknown)
    }

    /// Returns the keepers that count for a workspace, of those within reach.
    fn keepers(&self, workspace: &str) -> ResponsibleKeepers {
        let keepers = self.site.known().keepers.clone();
        let now = self.clock.now();
        let silent = self.silent.lock().expect("no panic while locked");
        let is_silent = |node: &str| {
            let since = silent.get(node);
            since.is_some_and(|since| now.since(*since) < SILENT_WAIT)
        };
        let order = keepers.ranked_for(workspace);
        let order = order.into_iter().filter(|keeper| !is_silent(&keeper.node));
        let order = order.filter_map(|keeper| {
            let boot = self.replicas.counting(&keeper.node)?;
            let node = keeper.node.clone();
            Some(ProcessStart { node, boot })
        });
        let order: Vec<ProcessStart> = order.collect();
        drop(silent);
        self.spending()
            .responsible_keepers(now, &order, self.faults)
    }

    fn tell(
        &self,
        workspace: &str,
        keeper: &ProcessStart,
        wants: Option<&Counted>,
    ) -> Option<UsageReport> {
        let now = self.clock.now();
        self.spending().report(now, workspace, keeper, wants)
    }

    /// Tells a keeper what was sent, and takes what it answers; `None` if it
    /// does not.
    async fn spend(
        &self,
        keeper: &ProcessStart,
        uses: Vec<UsageReport>,
    ) -> Option<Vec<UsageReply>> {
        let names: Vec<Arc<str>> = uses.iter().map(|told| told.workspace.clone()).collect();
        let (sender, heard) = async_channel::bounded(1);
        if !self
            .replicas
            .ask(&keeper.node, KeeperRequest::Spend(uses), &sender)
        {
            return None;
        }
        let heard = within(ANSWER_WAIT, heard.recv()).await?.ok()?;
        let Some(KeeperReply::Spent(replies)) = heard.reply else {
            return None;
        };
        let now = self.clock.now();
        let mut spending = self.spending();
        for (name, reply) in names.iter().zip(&replies) {
            spending.apply_reply(now, keeper, name, reply);
        }
        Some(replies)
    }

    fn unheard(&self, keeper: &Arc<str>, workspace: &str) {
        let now = self.clock.now();
        let mut silent = self.silent.lock().expect("no panic while locked");
        silent.insert(keeper.clone(), now);
        drop(silent);
        self.spending().record_no_reply(workspace);
    }

    fn give_back(&self, counted: &Counted) {
        self.spending().uncount(self.clock.now(), counted);
    }

    /// Tells keepers what was sent without asking, for as long as the process
    /// runs.
    pub async fn follow(self: Arc<Self>) {
        loop {
            smol::Timer::after(TELL_EVERY).await;
            let now = self.clock.now();
            let active = self.spending().active(now);
            let mut untold: HashMap<ProcessStart, Vec<Arc<str>>> = HashMap::new();
            let mut copies: HashMap<ProcessStart, Vec<UsageReport>> = HashMap::new();
            for workspace in active {
                let ResponsibleKeepers { keeper, standbys } = self.keepers(&workspace);
                if let Some(copy) = self.spending().standby_report(now, &workspace) {
                    for other in standbys {
                        copies.entry(other).or_default().push(copy.clone());
                    }
                }
                let lacks = |keeper: &_| self.spending().has_unreported(&workspace, keeper);
                if let Some(keeper) = keeper.filter(lacks) {
                    untold.entry(keeper).or_default().push(workspace);
                }
            }
            for (keeper, workspaces) in untold {
                let this = self.clone();
                smol::spawn(async move { this.tell_all(&keeper, &workspaces).await }).detach();
            }
            for (keeper, uses) in copies {
                // What it answers is for the one in charge to say.
                let (sender, _) = async_channel::bounded(1);
                let question = KeeperRequest::Spend(uses);
                self.replicas.ask(&keeper.node, question, &sender);
            }
        }
    }

    async fn tell_all(&self, keeper: &ProcessStart, workspaces: &[Arc<str>]) {
        let uses = workspaces.iter();
        let uses = uses.filter_map(|workspace| self.tell(workspace, keeper, None));
        let uses: Vec<UsageReport> = uses.collect();
        if self.spend(keeper, uses).await.is_none() {
            for workspace in workspaces {
                self.unheard(&keeper.node, workspace);
            }
        }
    }
}
