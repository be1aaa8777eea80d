//! Load and cache reports to other processes, and the reports that they send.

use std::sync::Arc;
use std::time::Duration;

use super::Fleet;
use crate::load_estimator::OwnUse;
use crate::load_map::MAX_SAMPLES;
use crate::load_map::ServiceOfServer;
use crate::load_report::ServerSample;
use crate::load_report::ServerStart;
use crate::place::Place;
use crate::server::ServerState;
use crate::service_time::ServiceTime;
use crate::time::Time;

impl Fleet {
    /// Returns the shareable prompt parts that servers cached for the first time
    /// after `since`, as far as this process knows.
    pub fn new_places(&self, since: Time) -> Vec<Place> {
        let newer = self.new_parts.iter().filter(|part| part.at > since);
        newer.map(|part| part.place).collect()
    }

    /// Applies reports of other processes about cached prompt parts.
    pub fn apply_peer_places(&mut self, now: Time, places: &[Place]) {
        if self.switches.samples {
            self.apply_places(now, places);
        }
    }

    /// Returns the latest load of each server that reported to this process
    /// after `since`; empty unless the `samples` switch is on.
    pub fn samples(&self, since: Time, now: Time) -> Vec<ServerSample> {
        if !self.switches.samples {
            return Vec::new();
        }
        let members = self.members.values();
        let samples = members.filter_map(|member| {
            let mean_answer = self.mean_answer(&member.server.service);
            member.sample(since, now, mean_answer)
        });
        samples.collect()
    }

    /// Applies server loads that other processes received, if they are newer
    /// than what is known.
    pub fn apply_peer_loads(&mut self, now: Time, samples: &[ServerSample]) {
        if !self.switches.samples {
            return;
        }
        self.peer_report_at = Some(now);
        // A full list holds selected samples, so it is no measure of the mean.
        let learns = self.switches.loads && samples.len() < MAX_SAMPLES;
        for sample in samples {
            let at = now.before(Duration::from_millis(u64::from(sample.age_ms)));
            let key = self.starts.get(&sample.start);
            let Some(member) = key.and_then(|&key| self.members.get_mut(key)) else {
                continue;
            };
            let service = member.server.service.clone();
            let mean = self.times.get(&service).map_or(0.0, ServiceTime::load);
            if let Some(others) = member
                .apply_relayed_load(at, sample.load, mean)
                .filter(|_| learns)
            {
                self.times.entry(service).or_default().learn_load(others);
            }
        }
    }

    /// Returns the requests of this process at each service, and the slots of
    /// the service's ready servers.
    pub fn own_uses(&self) -> impl Iterator<Item = OwnUse> {
        self.services.iter().map(|(service, keys)| {
            let mut counts = self.ended.get(service).copied().unwrap_or_default();
            let mut slots = 0_u32;
            for member in keys.iter().map(|&key| &self.members[key]) {
                counts.running = counts.running.saturating_add(member.own());
                if member.server.state == ServerState::Ready {
                    slots = slots.saturating_add(member.server.slots);
                }
            }
            OwnUse {
                service: service.clone(),
                slots,
                counts,
            }
        })
    }
}

impl ServiceOfServer for Fleet {
    fn service_of(&self, start: ServerStart) -> Option<&Arc<str>> {
        let &key = self.starts.get(&start)?;
        Some(&self.server(key)?.service)
    }
}
