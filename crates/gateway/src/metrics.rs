//! Counters and histograms by `opentelemetry`, in the Prometheus text format.

use eyre::{Result, WrapErr};
use opentelemetry::metrics::{Counter, Gauge, Histogram, MeterProvider as _};
use opentelemetry::KeyValue;
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Registry, TextEncoder};
use shaleline_route::UpstreamStats;
use shaleline_types::{Org, Service, Upstream};
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

/// The number of organisations that are counted by name; the rest are counted together.
const MAX_NAMED: usize = 64;
const OTHERS: &str = "others";

/// The metrics of a gateway.
pub(crate) struct Metrics {
    registry: Registry,
    _provider: SdkMeterProvider,
    requests: Counter<u64>,
    admissions: Counter<u64>,
    /// The organisations that are counted by name.
    named: RefCell<BTreeSet<Org>>,
    store: Counter<u64>,
    /// Calls since the last summary, by topic.
    recent_calls: RefCell<BTreeMap<&'static str, u64>>,
    orders: Counter<u64>,
    queue_decisions: Counter<u64>,
    first: Histogram<f64>,
    wait: Histogram<f64>,
    unserved: Histogram<f64>,
    suspects: Gauge<u64>,
    rate_limits: Gauge<f64>,
    /// By service.
    fragile_rejections: Counter<u64>,
    fragile_restarts: Counter<u64>,
    broken_paths: Gauge<u64>,
    skipped: Counter<u64>,
    too_large: Counter<u64>,
    speeds: Gauge<u64>,
    completions: Gauge<u64>,
}

impl fmt::Debug for Metrics {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Metrics").finish_non_exhaustive()
    }
}

fn service_label(service: &Service) -> KeyValue {
    KeyValue::new("service", service.as_str().to_owned())
}

impl Metrics {
    pub(crate) fn new() -> Result<Self> {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .build()
            .wrap_err("metrics")?;
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        let meter = provider.meter("shaleline");
        let dropped = meter.u64_observable_counter("shaleline_log_lines_dropped");
        let dropped = dropped.with_callback(|o| o.observe(crate::journal::dropped(), &[]));
        dropped.build();
        let first = meter.f64_histogram("shaleline_first_byte_ms");
        let wait = meter.f64_histogram("shaleline_wait_ms");
        let away = meter.f64_histogram("shaleline_model_away_ms");
        Ok(Self {
            registry,
            requests: meter.u64_counter("shaleline_requests").build(),
            admissions: meter
                .u64_counter("shaleline_admissions")
                .with_description("requests by organisation and whether its allowance let them in")
                .build(),
            named: RefCell::default(),
            store: meter.u64_counter("shaleline_store_calls").build(),
            recent_calls: RefCell::default(),
            orders: meter.u64_counter("shaleline_orders").build(),
            queue_decisions: meter
                .u64_counter("shaleline_queue_decisions")
                .with_description(
                    "requests sent before more urgent ones or refused for lack of capacity",
                )
                .build(),
            first: first.with_description("arrival to first byte").build(),
            wait: wait.with_description("arrival to first send").build(),
            unserved: away
                .with_description("asked for in vain until served")
                .build(),
            suspects: meter
                .u64_gauge("shaleline_suspect_requests")
                .with_description("requests under which upstreams ended")
                .build(),
            rate_limits: meter
                .f64_gauge("shaleline_upstream_rate_limit")
                .with_description("requests per second that an upstream takes; 0 without a limit")
                .build(),
            broken_paths: meter
                .u64_gauge("shaleline_broken_paths")
                .with_description("upstreams that this daemon reaches through another one alone")
                .build(),
            skipped: meter
                .u64_counter("shaleline_skipped_records")
                .with_description("records of the store that name no upstream, each counted once")
                .build(),
            fragile_rejections: meter
                .u64_counter("shaleline_fragile_rejections")
                .with_description(
                    "Requests that upstreams rejected while their service named a maximum of rejections",
                )
                .build(),
            fragile_restarts: meter
                .u64_counter("shaleline_fragile_restarts")
                .with_description(
                    "Restarts of upstreams while their service named a maximum of rejections",
                )
                .build(),
            too_large: meter
                .u64_counter("shaleline_answers_too_large")
                .with_description("answers of upstreams that exceeded the limit of a head or body")
                .build(),
            speeds: meter
                .u64_gauge("shaleline_upstream_speed_percent")
                .with_description("how long work takes relative to the others of the service")
                .build(),
            completions: meter
                .u64_gauge("shaleline_upstream_completion_ms")
                .with_description("time to the latest first event or whole answer")
                .build(),
            _provider: provider,
        })
    }

    /// Counts an ended request by its result code.
    pub(crate) fn count_request(&self, code: &'static str) {
        self.requests.add(1, &[KeyValue::new("code", code)]);
    }

    /// Counts a request of an organisation by the result of its charge.
    pub(crate) fn count_admission(&self, org: &Org, code: &'static str) {
        let mut named = self.named.borrow_mut();
        if !named.contains(org) && named.len() < MAX_NAMED {
            named.insert(org.clone());
        }
        let name = if named.contains(org) {
            org.as_str().to_owned()
        } else {
            OTHERS.to_owned()
        };
        let labels = [KeyValue::new("org", name), KeyValue::new("code", code)];
        self.admissions.add(1, &labels);
    }

    /// Counts a call to the store.
    pub(crate) fn count_store(&self, call: &'static str, ok: bool) {
        *self.recent_calls.borrow_mut().entry(call).or_default() += 1;
        let labels = [KeyValue::new("call", call), KeyValue::new("ok", ok)];
        self.store.add(1, &labels);
    }

    /// The number of calls by topic since the previous summary, as `key=value` pairs.
    pub(crate) fn take_store_calls(&self) -> String {
        let calls = std::mem::take(&mut *self.recent_calls.borrow_mut());
        let pairs = calls.iter().map(|(topic, n)| format!("{topic}={n}"));
        pairs.collect::<Vec<_>>().join(" ")
    }

    /// Counts an answer whose head, or else its body, exceeded its limit.
    pub(crate) fn count_too_large(&self, head: bool) {
        let part = if head { "head" } else { "body" };
        self.too_large.add(1, &[KeyValue::new("part", part)]);
    }

    /// Counts a rejection by an upstream whose service names a maximum of rejections.
    pub(crate) fn count_fragile_rejection(&self, service: &Service) {
        self.fragile_rejections.add(1, &[service_label(service)]);
    }

    /// Counts a restart of such an upstream.
    pub(crate) fn count_fragile_restart(&self, service: &Service) {
        self.fragile_restarts.add(1, &[service_label(service)]);
    }

    /// Counts a record of the store that names no upstream.
    pub(crate) fn count_skipped(&self) {
        self.skipped.add(1, &[]);
    }

    /// Counts an order by the engine's reply.
    pub(crate) fn count_order(&self, reply: &'static str) {
        self.orders.add(1, &[KeyValue::new("reply", reply)]);
    }

    /// Counts a request that overtook another or was refused, by the reason.
    pub(crate) fn count_queue_decision(&self, outcome: &'static str) {
        self.queue_decisions
            .add(1, &[KeyValue::new("outcome", outcome)]);
    }

    pub(crate) fn record_first_byte(&self, millis: u64) {
        self.first.record(millis as f64, &[]);
    }

    pub(crate) fn record_wait(&self, millis: u64) {
        self.wait.record(millis as f64, &[]);
    }

    /// Records for how long a model with demand was unserved.
    pub(crate) fn record_unserved(&self, millis: u64) {
        self.unserved.record(millis as f64, &[]);
    }

    /// Records the number of requests with crash records, and how many of them are blocked.
    pub(crate) fn record_suspects(&self, known: usize, blocked: usize) {
        let watched = known - blocked;
        for (state, count) in [("watched", watched), ("blocked", blocked)] {
            self.suspects
                .record(count as u64, &[KeyValue::new("state", state)]);
        }
    }

    /// Records the rate limit of an upstream, or 0 if it names none any more.
    pub(crate) fn record_rate_limit(&self, upstream: &Upstream, rate: f64) {
        let label = KeyValue::new("upstream", upstream.to_string());
        self.rate_limits.record(rate, &[label]);
    }

    /// Records the number of upstreams that this daemon does not reach itself.
    pub(crate) fn record_broken_paths(&self, count: usize) {
        self.broken_paths.record(count as u64, &[]);
    }

    /// Records the present speed of each upstream that answered, and what was predicted and measured
    /// of its latest answer.
    pub(crate) fn record_completions(&self, upstreams: &[UpstreamStats]) {
        for stats in upstreams {
            let (Some(predicted), Some(measured)) = (stats.predicted_ms, stats.measured_ms) else {
                continue;
            };
            let label = KeyValue::new("upstream", stats.name.clone());
            self.speeds
                .record(stats.speed_percent, std::slice::from_ref(&label));
            for (kind, millis) in [("predicted", predicted), ("measured", measured)] {
                let labels = [label.clone(), KeyValue::new("kind", kind)];
                self.completions.record(millis, &labels);
            }
        }
    }

    pub(crate) fn to_text(&self) -> String {
        let families = self.registry.gather();
        TextEncoder::new()
            .encode_to_string(&families)
            .unwrap_or_else(|e| format!("# metrics can't be encoded: {e}\n"))
    }
}
