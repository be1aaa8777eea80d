//! The backend servers known to a process, their load, and the choice of a
//! server for a request.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use slotmap::SlotMap;

use crate::call::Part;
use crate::candidate::Candidate;
use crate::candidate::ServiceStats;
use crate::criteria::Criteria;
use crate::criteria::ServerKey;
use crate::load_report::ServerStart;
use crate::other_load::OtherLoad;
use crate::outlier;
use crate::pace::Baseline;
use crate::pace::PaceChange;
use crate::place::Place;
use crate::request_rates::RequestCounts;
use crate::server::Load;
use crate::server::Server;
use crate::server::ServerOutcome;
use crate::server::ServerState;
use crate::service_time::RequestConditions;
use crate::service_time::ServiceTime;
use crate::service_time::Span;
use crate::switches::Switches;
use crate::time::Time;

mod paces;
mod reports;

/// What a server's entry changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Arrival {
    /// The server was not known before.
    New,
    /// A known server; its description may have changed.
    Known,
    /// The server has restarted and lost its caches.
    Restarted,
    /// The entry describes an earlier start than the known one; ignored.
    Outdated,
}

/// Capacity of the servers of a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Room {
    /// Requests of all gateways that the servers can run and queue.
    pub capacity: u32,
    /// Requests that this process may still send to servers that have not
    /// refused one recently.
    pub spare: u32,
    /// When the first of the servers that refused a request may accept one
    /// again.
    pub available_at: Option<Time>,
}

/// Maximum share of this process's requests at one server, as a multiple of an
/// even share: if all other servers refuse requests, a server that accepts
/// everything may be broken.
const MAX_SERVER_SHARE: f64 = 2.0;
/// Requests that each server is assumed to queue beyond its slots.
const QUEUE_PER_SERVER: u32 = 4;
/// Maximum share of a service's ready servers that are ejected as outliers.
const MAX_EJECTED_SHARE: f64 = 0.34;
/// How long entries that expired during a store outage are kept once the store
/// is back: running servers register again within two seconds.
pub const REGISTER_GRACE: Duration = Duration::from_secs(2);

/// Maximum number of new prompt parts kept for reports to other processes.
const MAX_NEW_PARTS: usize = 1_024;

/// A prompt part that a server had not cached before.
#[derive(Clone, Copy, Debug)]
struct NewPart {
    at: Time,
    place: Place,
}

/// The backend servers known to one process.
#[derive(Debug, Default)]
pub struct Fleet {
    members: SlotMap<ServerKey, Candidate>,
    ids: HashMap<Arc<str>, ServerKey>,
    services: HashMap<Arc<str>, Vec<ServerKey>>,
    /// Servers by the digest that identifies their current start.
    starts: HashMap<ServerStart, ServerKey>,
    times: HashMap<Arc<str>, ServiceTime>,
    /// Requests of this process that ended, by service.
    ended: HashMap<Arc<str>, RequestCounts>,
    /// Prompt parts that servers had not cached before, newest last.
    new_parts: VecDeque<NewPart>,
    /// When reports of other processes about servers last arrived.
    peer_report_at: Option<Time>,
    baselines: HashMap<Arc<str>, Baseline>,
    pace_changes: Vec<PaceChange>,
    switches: Switches,
}

impl Fleet {
    /// Sets which optional decisions are made.
    pub fn set_switches(&mut self, switches: Switches) {
        self.switches = switches;
    }

    /// Inserts or updates a server. A server that restarted is treated as a new
    /// one: its load, caches and health are reset, and requests sent to its
    /// earlier start no longer count.
    pub fn put(&mut self, server: Server) -> Arrival {
        let Some(&key) = self.ids.get(&server.id) else {
            self.insert(server);
            return Arrival::New;
        };
        let member = &mut self.members[key];
        if server.is_before(&member.server) {
            return Arrival::Outdated;
        }
        if server.is_same_start(&member.server) {
            self.starts.remove(&member.server.start());
            self.starts.insert(server.start(), key);
            member.keep_until = None;
            member.server = server;
            return Arrival::Known;
        }
        self.remove(key);
        self.insert(server);
        Arrival::Restarted
    }

    fn insert(&mut self, server: Server) {
        let (id, service) = (server.id.clone(), server.service.clone());
        let start = server.start();
        let times = self.times.get(&service);
        let joined = times.is_some_and(|times| times.load() > 0.0);
        let key = self.members.insert(Candidate::new(server, joined));
        self.ids.insert(id, key);
        self.starts.insert(start, key);
        self.baselines.entry(service.clone()).or_default();
        self.services.entry(service).or_default().push(key);
    }

    /// Removes a server whose entry was deleted.
    pub fn remove_server(&mut self, id: &str) {
        if let Some(&key) = self.ids.get(id) {
            self.remove(key);
        }
    }

    /// Keeps a server until `until` although its entry is missing after a store
    /// outage.
    pub fn keep_until(&mut self, id: &str, until: Time) {
        if let Some(&key) = self.ids.get(id)
            && let Some(member) = self.members.get_mut(key)
        {
            member.keep_until.get_or_insert(until);
        }
    }

    /// Removes the servers whose entries were not renewed in time, and returns
    /// their ids.
    pub fn expire(&mut self, now: Time) -> Vec<Arc<str>> {
        let gone: Vec<ServerKey> = self
            .members
            .iter()
            .filter(|(_, member)| member.keep_until.is_some_and(|until| until <= now))
            .map(|(key, _)| key)
            .collect();
        gone.into_iter()
            .filter_map(|key| self.remove(key))
            .collect()
    }

    fn remove(&mut self, key: ServerKey) -> Option<Arc<str>> {
        let member = self.members.remove(key)?;
        self.ids.remove(&member.server.id);
        self.starts.remove(&member.server.start());
        if let Some(list) = self.services.get_mut(&member.server.service) {
            list.retain(|&other| other != key);
        }
        Some(member.server.id)
    }

    /// Returns whether the server is known and has not restarted since.
    pub fn contains(&self, key: ServerKey) -> bool {
        self.members.contains_key(key)
    }

    /// Returns the key of the server with the given id.
    pub fn key(&self, id: &str) -> Option<ServerKey> {
        self.ids.get(id).copied()
    }

    /// Returns the server with the given key.
    pub fn server(&self, key: ServerKey) -> Option<&Server> {
        self.members.get(key).map(|member| &member.server)
    }

    /// Returns whether the server is known and accepts new requests.
    pub fn is_ready(&self, key: ServerKey) -> bool {
        let server = self.server(key);
        server.is_some_and(|server| server.state == ServerState::Ready)
    }

    /// Returns the number of servers that accept requests.
    pub fn ready_count(&self) -> usize {
        let mut members = self.members.values();
        members
            .by_ref()
            .filter(|member| member.server.state == ServerState::Ready)
            .count()
    }

    /// Returns the number of a service's servers that accept requests.
    pub fn ready(&self, service: &str) -> usize {
        let keys = self.services.get(service).into_iter().flatten();
        keys.filter(|&&key| self.is_ready(key)).count()
    }

    /// Returns the capacity of a service's servers for a process that may have
    /// `limit` requests there; `None` if no server accepts requests.
    pub fn room(&self, now: Time, service: &str, limit: Option<f64>) -> Option<Room> {
        let keys = self.services.get(service)?;
        let unknown = ServiceTime::default();
        let times = self.times.get(service).unwrap_or(&unknown);
        let eject = self.may_eject(now, keys, times);
        let ready = keys.iter().filter(|&&key| self.is_ready(key));
        let ready: Vec<&Candidate> = ready.map(|&key| &self.members[key]).collect();
        let chosen = ready.iter();
        let chosen = chosen.filter(|member| !eject || !member.is_ejected(now, times));
        let chosen: Vec<&&Candidate> = chosen.collect();
        let most = limit.map(|limit| limit * MAX_SERVER_SHARE / chosen.len() as f64);
        let most = most.map_or(u32::MAX, |most| most.ceil().max(1.0) as u32);
        let available_at = chosen.iter().map(|member| member.available_at(now));
        let open = chosen
            .iter()
            .filter(|member| member.available_at(now) <= now);
        let spares = open.map(|member| most.saturating_sub(member.own()));
        let places = ready.iter();
        let places = places.map(|one| one.server.slots.saturating_add(QUEUE_PER_SERVER));
        (!ready.is_empty()).then(|| Room {
            capacity: places.fold(0, u32::saturating_add),
            spare: spares.fold(0, u32::saturating_add),
            available_at: available_at.filter(|&at| at > now).min(),
        })
    }

    /// Returns whether requests at a server are unlikely to be answered soon: it
    /// is gone, or has not responded for longer than its answers usually take.
    pub fn is_lost(&self, now: Time, key: ServerKey) -> bool {
        let Some(member) = self.members.get(key) else {
            return true;
        };
        member.is_silent(now, self.mean_answer(&member.server.service))
    }

    /// Returns the mean time that a service takes to answer; zero if it is not
    /// known yet.
    pub fn mean_answer(&self, service: &str) -> Duration {
        let times = self.times.get(service);
        times.map_or(Duration::ZERO, ServiceTime::answer)
    }

    /// Chooses the server of `service` with the lowest cost for a request: its
    /// queue, the requests it runs and the prompt tokens that it would have to
    /// prefill. Servers that have just failed are chosen only if there are no
    /// others.
    pub fn pick(&self, now: Time, service: &str, criteria: &Criteria<'_>) -> Option<ServerKey> {
        let keys = self.services.get(service)?;
        let unknown = ServiceTime::default();
        let times = self.times.get(service).unwrap_or(&unknown);
        let pace_context = self.pace_context(now, service, keys);
        let stats = ServiceStats {
            times,
            others: self.other_load(times),
        };
        let eject = self.may_eject(now, keys, times);
        let mut best: Option<(bool, f64, ServerKey)> = None;
        let start = (criteria.draw * keys.len() as f64) as usize;
        for at in 0..keys.len() {
            let key = keys[(start + at) % keys.len()];
            if criteria.tried.contains(&key) || !self.is_ready(key) {
                continue;
            }
            let member = &self.members[key];
            if !criteria.allows(&member.server) {
                continue;
            }
            let paused = member.is_paused(now)
                || criteria.avoided.contains(&key)
                || eject && member.is_ejected(now, times);
            let pace = pace_context.map_or(1.0, |context| {
                member.pace(now, &context) * member.pace.reported_factor(now)
            });
            let cost = member.cost(now, key, &stats, criteria, pace);
            if best.is_none_or(|(p, c, _)| (paused, cost) < (p, c)) {
                best = Some((paused, cost, key));
            }
        }
        best.map(|(_, _, key)| key)
    }

    /// Returns whether outliers may be ejected. If most servers look like
    /// outliers, the cause is probably not the servers.
    fn may_eject(&self, now: Time, keys: &[ServerKey], times: &ServiceTime) -> bool {
        if !self.switches.outliers {
            return false;
        }
        let ready = || keys.iter().filter(|&&key| self.is_ready(key));
        let out = ready().filter(|&&key| self.members[key].is_ejected(now, times));
        out.count() as f64 <= ready().count() as f64 * MAX_EJECTED_SHARE
    }

    /// Records that a request of this process is sent to a server, and returns
    /// the conditions it meets there.
    pub fn begin(
        &mut self,
        now: Time,
        key: ServerKey,
        criteria: &Criteria<'_>,
    ) -> RequestConditions {
        let reported_at = self.peer_report_at;
        let Some(member) = self.members.get_mut(key) else {
            return RequestConditions::default();
        };
        let times = self.times.get(&member.server.service);
        let mean = times.map_or(0.0, ServiceTime::load);
        if self.switches.samples {
            let start = member.server.start().0;
            let new = member.uncached(criteria.parts).map(|&part| NewPart {
                at: now,
                place: Place { start, part },
            });
            self.new_parts.extend(new);
            let excess = self.new_parts.len().saturating_sub(MAX_NEW_PARTS);
            self.new_parts.drain(..excess);
        }
        member.begin(now, OtherLoad { mean, reported_at }, criteria)
    }

    fn other_load(&self, times: &ServiceTime) -> OtherLoad {
        OtherLoad {
            mean: times.load(),
            reported_at: self.peer_report_at,
        }
    }

    /// Returns how long a service's servers may fail to respond before they
    /// count as outliers.
    pub fn silence(&self, service: &str) -> Duration {
        outlier::silence(self.mean_answer(service))
    }

    /// Returns by how much a service's streams take longer at the given
    /// utilization of its slots than at idle servers; `None` if nothing was
    /// learned about the service.
    pub fn slowdown(&self, service: &str, utilization: f64) -> Option<Duration> {
        let times = self.times.get(service)?;
        let keys = self.services.get(service).into_iter().flatten();
        let ready = keys.filter(|&&key| self.is_ready(key));
        let slots = ready.map(|&key| f64::from(self.members[key].server.slots));
        let (count, all) = slots.fold((0.0, 0.0), |(count, all), own| (count + 1.0, all + own));
        let mean = all / f64::max(count, 1.0);
        Some(times.slowdown(utilization * mean, mean))
    }

    /// Updates the estimates with the time to a stream's first event.
    pub fn first_event(
        &mut self,
        now: Time,
        key: ServerKey,
        work: &RequestConditions,
        took: Duration,
    ) {
        let span = Span::FirstEvent;
        let took = self.learn_pace(now, key, work, span, took);
        if let Some(times) = self.times_mut(key) {
            times.learn_first(work, took);
        }
    }

    /// Updates the estimates with the end of a stream that ended `took` after
    /// its first event.
    pub fn stream_end(
        &mut self,
        now: Time,
        key: ServerKey,
        work: &RequestConditions,
        took: Duration,
        events: u64,
    ) {
        let took = if events > 1 {
            let span = Span::Events(events - 1);
            self.learn_pace(now, key, work, span, took)
        } else {
            took
        };
        if let Some(times) = self.times_mut(key) {
            times.learn_stream(work, took, events);
        }
    }

    /// Updates the estimates with the duration of a plain answer.
    pub fn plain_end(
        &mut self,
        now: Time,
        key: ServerKey,
        work: &RequestConditions,
        took: Duration,
    ) {
        let span = Span::Whole;
        let took = self.learn_pace(now, key, work, span, took);
        if let Some(times) = self.times_mut(key) {
            times.learn_plain(work, took);
        }
    }

    fn times_mut(&mut self, key: ServerKey) -> Option<&mut ServiceTime> {
        if !self.switches.times {
            return None;
        }
        let service = self.members.get(key)?.server.service.clone();
        Some(self.times.entry(service).or_default())
    }

    /// Returns the learned estimates of each service.
    pub fn service_times(&self) -> impl Iterator<Item = (&Arc<str>, &ServiceTime)> {
        self.times.iter()
    }

    /// Returns a prompt part with the server that caches it, for reports to
    /// other processes.
    pub fn place(&self, key: ServerKey, part: Part) -> Option<Place> {
        let start = self.server(key)?.start().0;
        Some(Place { start, part })
    }

    /// Applies reports of other processes about cached prompt parts. Places that
    /// refer to an earlier start of a server are ignored.
    pub fn apply_places(&mut self, now: Time, places: &[Place]) {
        if !self.switches.places {
            return;
        }
        for place in places {
            let key = self.starts.get(&ServerStart(place.start));
            if let Some(member) = key.and_then(|&key| self.members.get_mut(key)) {
                member.cached.add(now, place.part);
            }
        }
    }

    /// Records the end of a request of this process.
    pub fn end(&mut self, now: Time, key: ServerKey, outcome: ServerOutcome) {
        let Some(member) = self.members.get_mut(key) else {
            return;
        };
        let times = self.times.get(&member.server.service);
        let mean_answer = times.map_or(Duration::ZERO, ServiceTime::answer);
        member.end(now, outcome, mean_answer);
        let service = member.server.service.clone();
        let counts = self.ended.entry(service).or_default();
        match outcome {
            ServerOutcome::Answered | ServerOutcome::Failed => {
                counts.ended = counts.ended.wrapping_add(1)
            }
            ServerOutcome::Full => counts.shed = counts.shed.wrapping_add(1),
            _ => {}
        }
    }

    /// Applies a load that a server reported.
    pub fn report(&mut self, now: Time, key: ServerKey, load: Load) {
        let Some(member) = self.members.get_mut(key) else {
            return;
        };
        let others = member.report(now, load);
        let service = member.server.service.clone();
        if let Some(baseline) = self.baselines.get_mut(&service) {
            baseline.observe_reported(load.pace);
        }
        if self.switches.loads {
            self.times.entry(service).or_default().learn_load(others);
        }
    }
}
