//! What a process reports of servers to others, and what it hears from them.

use std::sync::Arc;
use std::time::Duration;

use super::Fleet;
use crate::load_map::MAX_SAMPLES;
use crate::load_map::ServerServices;
use crate::load_report::ServerSample;
use crate::load_report::ServerStart;
use crate::place::Place;
use crate::server::ServerState;
use crate::service_loads::OwnUse;
use crate::service_time::ServiceTime;
use crate::time::Time;

impl Fleet {
    /// Returns the parts of prompts that may be shared and that servers met for the
    /// first time, as far as this process knows, after `since`.
    pub fn new_places(&self, since: Time) -> Vec<Place> {
        let newer = self.read.iter().filter(|read| read.at > since);
        newer.map(|read| read.place).collect()
    }

    /// Takes where other processes had parts of prompts read.
    pub fn hear_places(&mut self, now: Time, places: &[Place]) {
        if self.switches.samples {
            self.take_places(now, places);
        }
    }

    /// Returns the servers that reported their load to this process after
    /// `since`, with the latest load of each; none unless samples count.
    pub fn samples(&self, since: Time, now: Time) -> Vec<ServerSample> {
        if !self.switches.samples {
            return Vec::new();
        }
        let members = self.members.values();
        let samples = members.filter_map(|member| {
            let usual = self.usual(&member.server.service);
            member.sample(since, now, usual)
        });
        samples.collect()
    }

    /// Takes the loads that servers reported to other processes, as far as they
    /// are later than what is known.
    pub fn hear_loads(&mut self, now: Time, samples: &[ServerSample]) {
        if !self.switches.samples {
            return;
        }
        self.told = Some(now);
        // Those of a list that is full were chosen, and say nothing of the mean.
        let learns = self.switches.loads && samples.len() < MAX_SAMPLES;
        for sample in samples {
            let at = now.before(Duration::from_millis(u64::from(sample.age_ms)));
            let key = self.starts.get(&sample.start);
            let Some(member) = key.and_then(|&key| self.members.get_mut(key)) else {
                continue;
            };
            let service = member.server.service.clone();
            let mean = self.times.get(&service).map_or(0.0, ServiceTime::load);
            if let Some(others) = member.hear(at, sample.load, mean).filter(|_| learns) {
                self.times.entry(service).or_default().learn_load(others);
            }
        }
    }

    /// Returns what this process has at each service, and how many requests
    /// the servers that take some run at once.
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

impl ServerServices for Fleet {
    fn service(&self, start: ServerStart) -> Option<&Arc<str>> {
        let &key = self.starts.get(&start)?;
        Some(&self.server(key)?.service)
    }
}
