//! Metrics collected with `opentelemetry` and exported in the Prometheus text format.

use eyre::{Result, WrapErr};
use opentelemetry::metrics::{Counter, Histogram, MeterProvider as _};
use opentelemetry::KeyValue;
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Registry, TextEncoder};

/// The metrics of the daemon.
pub(crate) struct Metrics {
    registry: Registry,
    _provider: SdkMeterProvider,
    requests: Counter<u64>,
    first_token: Histogram<f64>,
    tokens: Counter<u64>,
    pub(crate) appends: Counter<u64>,
    pub(crate) orders: Counter<u64>,
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
        let broken = meter.u64_observable_counter("shaleline_invariants_broken");
        let broken = broken.with_callback(|o| o.observe(crate::guarded::broken(), &[]));
        broken.build();
        let first = meter.f64_histogram("shaleline_first_token_ms");
        Ok(Self {
            registry,
            requests: meter.u64_counter("shaleline_requests").build(),
            first_token: first.with_description("arrival to first token").build(),
            tokens: meter.u64_counter("shaleline_tokens").build(),
            appends: meter.u64_counter("shaleline_log_appends").build(),
            orders: meter.u64_counter("shaleline_orders").build(),
            _provider: provider,
        })
    }

    /// Counts an ended request by its kind of route and its result code.
    pub(crate) fn count_request(&self, route: &'static str, code: &'static str) {
        let labels = [KeyValue::new("route", route), KeyValue::new("code", code)];
        self.requests.add(1, &labels);
    }

    pub(crate) fn record_first_token(&self, millis: u64) {
        self.first_token.record(millis as f64, &[]);
    }

    pub(crate) fn count_tokens(&self, tokens: u64) {
        self.tokens.add(tokens, &[]);
    }

    pub(crate) fn to_text(&self) -> String {
        let families = self.registry.gather();
        TextEncoder::new()
            .encode_to_string(&families)
            .unwrap_or_default()
    }
}
