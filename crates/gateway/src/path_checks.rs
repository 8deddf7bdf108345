//! Finds out which paths to upstreams work, and records what connections and tunnels show of them.

use crate::by_service::ByService;
use crate::journal::emit;
use crate::paths::{PathChange, Paths};
use crate::state::Gateway;
use crate::tunnels::{GatewayTunnels, Missed};
use hyper::StatusCode;
use shaleline_edge::{ProbeOutcome, Target, Tunnels};
use shaleline_types::{LogEvent, Millis, Service, Upstream};
use std::rc::Rc;
use std::time::Duration;

/// Time in which a probe of a broken path must connect.
const PROBE_TIMEOUT: Duration = Duration::from_millis(300);

/// Time in which a connection that checks a path must open. A second one follows, as one packet may
/// be lost.
const CHECK_TIMEOUT: Duration = Duration::from_millis(40);

/// The service under which the paths to upstreams are kept that are not listed any more.
const UNLISTED: &str = "unlisted";

impl Gateway {
    /// The service under which the path to an upstream is kept.
    pub(crate) fn path_service(&self, upstream: &Upstream) -> Service {
        let unlisted = || Service::from_text(UNLISTED).expect("a valid name");
        self.service_of(upstream).unwrap_or_else(unlisted)
    }

    /// Reads or changes the paths to the service of an upstream.
    pub(crate) fn with_paths<T>(
        &self,
        upstream: &Upstream,
        action: impl FnOnce(&mut Paths) -> T,
    ) -> T {
        let service = self.path_service(upstream);
        action(self.paths.borrow_mut().of(&service))
    }

    /// Whether this daemon may reach no upstream of the service.
    pub(crate) fn is_unable_for(&self, service: &Service) -> bool {
        let paths = self.paths.borrow();
        paths.get(service).is_some_and(Paths::is_unable)
    }

    /// Forgets what is known of the path to an upstream that has ended or started again.
    pub(crate) fn forget_path(&self, upstream: &Upstream) {
        let mut paths = self.paths.borrow_mut();
        paths.values_mut().for_each(|p| p.forget(upstream));
    }

    /// Drops what is old.
    pub(crate) fn prune_paths(&self, now: Millis) {
        let mut paths = self.paths.borrow_mut();
        paths.values_mut().for_each(|p| p.prune(now));
        let mut relays = self.relays.borrow_mut();
        relays.values_mut().for_each(|r| r.prune(now));
    }

    /// Records whether a direct connection to an upstream was opened.
    pub(crate) fn record_direct(&self, upstream: &Upstream, opened: bool) {
        let now = self.now();
        let change = self.with_paths(upstream, |p| p.on_direct(upstream, opened, now));
        self.on_path_change(upstream, change);
    }

    /// Records whether a tunnel reached an upstream; see [`Paths::on_tunnel`].
    pub(crate) fn record_tunnel(&self, upstream: &Upstream, opened: bool, reliable: bool) {
        let now = self.now();
        let outcome = (opened, reliable);
        let change = self.with_paths(upstream, |p| p.on_tunnel(upstream, outcome, now));
        self.on_path_change(upstream, change);
    }

    /// Records that other daemons lose their paths to the service of an upstream.
    pub(crate) fn doubt_paths(&self, upstream: &Upstream) {
        let now = self.now();
        self.with_paths(upstream, |p| p.on_doubt(now));
    }

    fn on_path_change(&self, upstream: &Upstream, change: Option<PathChange>) {
        let Some(change) = change else {
            return;
        };
        let (broken, cut_off) = self.with_paths(upstream, |p| (p.broken(), p.is_cut_off()));
        let all = total_broken(&self.paths.borrow());
        self.metrics.record_broken_paths(all);
        let relay = self.last_relay.get();
        let relay = relay.map_or("none".to_owned(), |r| r.to_string());
        let service = self.path_service(upstream);
        let detail = format!(
            "upstream={upstream} service={service} broken={broken} cut_off={cut_off} relay={relay}"
        );
        match change {
            PathChange::Broken => {
                emit(LogEvent::PathBroken, &detail);
                self.path_broken.notify_waiters();
            }
            PathChange::Restored(after) => {
                emit(
                    LogEvent::PathRestored,
                    &format!("{detail} after_ms={}", after.0),
                );
            }
        }
    }

    pub(crate) fn log_missed(&self, target: &Target, missed: &[Missed]) {
        if !self.log_budget.take(self.now()) {
            return;
        }
        let count = |status: StatusCode| {
            let same = missed.iter().filter(|m| **m == Missed::Status(status));
            same.count()
        };
        let silent = missed.iter().filter(|m| **m == Missed::Silent).count();
        let (broken, cut_off) = self.with_paths(&target.name, |p| (p.broken(), p.is_cut_off()));
        let detail = format!(
            "upstream={} asked={} silent={silent} unavailable={} unreached={} broken={broken} cut_off={cut_off}",
            target.name,
            missed.len(),
            count(StatusCode::SERVICE_UNAVAILABLE),
            count(StatusCode::BAD_GATEWAY),
        );
        emit(LogEvent::TunnelMissed, &detail);
    }

    /// Probes or checks the paths that are due.
    pub(crate) fn probe_paths(self: &Rc<Self>) {
        let now = self.now();
        let services: Vec<Service> = {
            let paths = self.paths.borrow();
            paths.iter().map(|(service, _)| service.clone()).collect()
        };
        for service in services {
            if self.is_unable_for(&service) {
                self.request_relays(&service);
            }
            let due = self.paths.borrow_mut().of(&service).due_probes(now);
            for upstream in due {
                let gw = Rc::clone(self);
                actix_rt::spawn(async move { gw.check_path(&upstream).await });
            }
        }
    }

    async fn check_path(&self, upstream: &Upstream) {
        let Some(target) = self.target(upstream) else {
            self.forget_path(upstream);
            return;
        };
        let is_broken = self.with_paths(upstream, |p| p.is_broken(upstream));
        let limit = match is_broken {
            true => PROBE_TIMEOUT,
            false => CHECK_TIMEOUT,
        };
        let mut opened = self.connects(&target, limit).await;
        if !opened && !is_broken {
            // The tunnel's outcome is recorded: it shows whether the upstream or the path has failed.
            let again = self.connects(&target, CHECK_TIMEOUT);
            (opened, _) = tokio::join!(again, self.is_reached_by_others(&target));
        }
        self.record_direct(upstream, opened);
    }

    async fn connects(&self, target: &Target, limit: Duration) -> bool {
        let connect = self.connect_directly(target);
        self.pool.probe_by(connect, limit).await == ProbeOutcome::Accepted
    }

    /// Whether another daemon reaches the upstream.
    pub(crate) async fn is_reached_by_others(&self, target: &Target) -> bool {
        let name = &target.name;
        self.with_paths(name, |p| p.is_broken(name))
            || (GatewayTunnels::new(self).is_allowed(target)
                && self.connect_by_tunnel(target).await.is_ok())
    }
}

fn total_broken(paths: &ByService<Paths>) -> usize {
    paths.iter().map(|(_, p)| p.broken()).sum()
}
