//! The choice of a server for a request.

use limpetferry_lib::criteria::Criteria;
use limpetferry_lib::criteria::ServerKey;
use limpetferry_lib::load_report::ServerStart;
use limpetferry_lib::stream_origin::StreamBinding;
use limpetferry_lib::stream_origin::StreamOrigin;

use crate::attempt::BUSY_PAUSE;
use crate::attempt::LEAST_LEFT;
use crate::attempt::Progress;
use crate::clearance::Clearance;
use crate::lease::Lease;
use crate::quarantine::Quarantine;
use crate::quarantine::Withheld;
use crate::relay::Job;

impl Job {
    /// Returns what its choice of a server depends on.
    pub(crate) fn wish<'a>(
        &'a self,
        tried: &'a [ServerKey],
        origin: Option<&'a StreamOrigin>,
    ) -> Criteria<'a> {
        Criteria {
            avoided: &[],
            origin,
            parts: &self.call.parts,
            object: self.call.object.as_deref(),
            tried,
            idle_connections: None,
            centre: &self.gateway.centre,
            draw: rand::random(),
        }
    }

    /// Chooses a server among those that are not `excluded`.
    fn pick(
        &self,
        excluded: &[ServerKey],
        avoided: &[ServerKey],
        origin: Option<&StreamOrigin>,
    ) -> Option<(ServerKey, ServerStart)> {
        // The fleet is locked before the connections, as where those of servers
        // that are gone are closed.
        let known = self.gateway.site.known();
        let warm = self.gateway.pool.warm(self.now(), self.runs_once());
        let wish = Criteria {
            avoided,
            idle_connections: Some(&warm),
            ..self.wish(excluded, origin)
        };
        let key = known.fleet.pick(self.now(), &self.service, &wish)?;
        Some((key, known.fleet.server(key)?.start()))
    }

    /// Chooses a server for a run that is permitted, and reserves it if the run goes
    /// alone.
    pub(crate) async fn place(
        &self,
        progress: &Progress,
        mut clearance: Clearance,
    ) -> Option<Lease> {
        let quarantine = &self.gateway.quarantine;
        let mut reserved = Vec::new();
        loop {
            let avoided = quarantine.avoided(&clearance);
            let excluded = [&progress.tried[..], &reserved[..]].concat();
            let origin = progress.binding.origin();
            let Some((key, start)) = self.pick(&excluded, &avoided, origin) else {
                if reserved.is_empty() || self.left() < BUSY_PAUSE + LEAST_LEFT {
                    return None;
                }
                reserved.clear();
                smol::Timer::after(BUSY_PAUSE).await;
                continue;
            };
            if Quarantine::goes_alone(&clearance) {
                match quarantine.reserve(start).await {
                    Ok(reservation) => clearance.reserve(reservation),
                    Err(Withheld::Unavailable) => {}
                    Err(_) => {
                        reserved.push(key);
                        continue;
                    }
                }
            }
            return self.lease(key, &progress.binding, clearance);
        }
    }

    /// Notes that the request goes to a server; `None` if the server takes none or
    /// may not serve its stream.
    pub(crate) fn lease(
        &self,
        key: ServerKey,
        binding: &StreamBinding,
        clearance: Clearance,
    ) -> Option<Lease> {
        let mut known = self.gateway.site.known();
        if !known.fleet.is_ready(key) {
            return None;
        }
        let wish = self.wish(&[], binding.origin());
        let server = known.fleet.server(key)?;
        if !wish.allows(server) {
            return None;
        }
        let server = server.clone();
        let now = self.now();
        let work = known.fleet.begin(now, key, &wish);
        self.steps.expect(&work);
        drop(known);
        let gateway = self.gateway.clone();
        let identity = self.identity().clone();
        let mut lease = Lease::new(gateway, now, key, &server, work, clearance, identity);
        lease.continues = binding.origin().is_some();
        Some(lease)
    }
}
