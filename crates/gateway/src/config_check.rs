//! Checks a configuration before it is published, and compares it with the one in force.
//!
//! The store accepts a configuration that decodes, but one that decodes may still hold routes that
//! no request matches, models that no engine can load, or limits that contradict each other. The
//! command `shaleline check` prints what is found; see `docs/OPERATIONS.md`.

use crate::{OrgRule, Repeat, RouteRule, Table};
use shaleline_fleet::{Catalog, ModelProfile};
use shaleline_types::{Model, Service};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

/// How serious a finding is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Severity {
    /// Requests that it concerns can't be served.
    Error,
    /// It has no effect, or probably not the intended one.
    Warning,
}

impl fmt::Display for Severity {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Error => "error",
            Self::Warning => "warning",
        })
    }
}

/// One finding about an entry of a configuration.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Finding {
    /// How serious it is.
    pub severity: Severity,
    /// The entry, by its kind and name.
    pub entry: String,
    /// What is wrong with it.
    pub problem: String,
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}: {}", self.severity, self.entry, self.problem)
    }
}

/// The lowest priority that has a meaning of its own.
const MAX_PRIORITY: u8 = 9;

#[derive(Default)]
struct Findings(Vec<Finding>);

impl Findings {
    fn add(&mut self, severity: Severity, entry: &str, problem: impl Into<String>) {
        self.0.push(Finding {
            severity,
            entry: entry.to_owned(),
            problem: problem.into(),
        });
    }

    fn error(&mut self, entry: &str, problem: impl Into<String>) {
        self.add(Severity::Error, entry, problem);
    }

    fn warn(&mut self, entry: &str, problem: impl Into<String>) {
        self.add(Severity::Warning, entry, problem);
    }
}

/// Returns what is wrong with a configuration, errors first.
#[must_use]
pub fn check_table(table: &Table) -> Vec<Finding> {
    let mut found = Findings::default();
    for rule in &table.rules {
        check_route(table, rule, &mut found);
    }
    check_matches(table, &mut found);
    for (name, service) in &table.services {
        let entry = format!("service {name}");
        if service.connections == 0 {
            found.error(&entry, "its upstreams accept no connections");
        }
        if !table.rules.iter().any(|r| routes_to(r, name)) {
            found.warn(&entry, "no route leads to it");
        }
        if let Some(catalog) = &service.catalog {
            check_catalog(&entry, catalog, &mut found);
        }
    }
    check_limits(table, &mut found);
    for org in table.orgs.iter().flat_map(|o| o.iter()) {
        check_org(table, org, &mut found);
    }
    found.0.sort();
    found.0
}

fn routes_to(rule: &RouteRule, service: &Service) -> bool {
    rule.services.iter().any(|(s, w)| s == service && *w > 0)
}

fn check_route(table: &Table, rule: &RouteRule, found: &mut Findings) {
    let entry = format!("route {}", rule.name);
    if rule.host.is_empty() {
        found.error(&entry, "it has no host, so no request matches it");
    }
    if !(rule.prefix.starts_with('/') && rule.prefix.ends_with('/')) {
        found.error(
            &entry,
            "its path prefix does not begin and end with a slash",
        );
    }
    if rule.services.iter().all(|(_, weight)| *weight == 0) {
        found.error(&entry, "it leads to no service");
    }
    for (service, weight) in &rule.services {
        if !table.services.contains_key(service) {
            found.error(&entry, format!("service {service} does not exist"));
        } else if *weight == 0 {
            found.warn(
                &entry,
                format!("service {service} gets no share of its requests"),
            );
        }
    }
    if rule.timeout.0 == 0 {
        found.error(&entry, "its timeout is 0, so no request can be served");
    } else if rule.target > rule.timeout {
        let (target, timeout) = (rule.target.0, rule.timeout.0);
        found.warn(
            &entry,
            format!("its target of {target} ms is longer than its timeout of {timeout} ms"),
        );
    }
    if let Some(pause) = rule.pause {
        if !rule.repeat.is_stream() {
            found.warn(
                &entry,
                "a longest pause has no effect, as its answers are no streams",
            );
        } else if pause >= rule.timeout {
            found.warn(&entry, "its longest pause is not shorter than its timeout");
        }
    }
    if rule.priority > MAX_PRIORITY {
        let priority = rule.priority;
        found.warn(
            &entry,
            format!("its priority {priority} is not in 0 to {MAX_PRIORITY}"),
        );
    }
    if rule.repeat == (Repeat::Stream { resumable: true }) && rule.attempts < 2 {
        found.warn(
            &entry,
            "its streams may be resumed, but only one upstream may be tried",
        );
    }
}

/// Finds routes that no request reaches, since another one has the same host and prefix: of two
/// equal prefixes the later one is used.
fn check_matches(table: &Table, found: &mut Findings) {
    let mut names = BTreeSet::new();
    let mut last: BTreeMap<(&str, &str), &RouteRule> = BTreeMap::new();
    for rule in &table.rules {
        if !names.insert(&rule.name) {
            found.error(&format!("route {}", rule.name), "its name occurs twice");
        }
        let key = (rule.host.as_str(), rule.prefix.as_str());
        if let Some(hidden) = last.insert(key, rule) {
            found.error(
                &format!("route {}", hidden.name),
                format!(
                    "no request matches it: route {} has the same host and prefix",
                    rule.name
                ),
            );
        }
    }
}

fn check_catalog(entry: &str, catalog: &Catalog, found: &mut Findings) {
    if catalog.models.is_empty() {
        found.error(entry, "its engines may hold no model");
    }
    if catalog.request_slots == 0 {
        found.warn(entry, "its engines are declared with 0 slots");
    }
    if catalog.load_rate <= 0.0 {
        found.warn(
            entry,
            "the weight store allows no loads, so models are never moved",
        );
    }
    for (name, model) in &catalog.models {
        check_model(entry, catalog, name, model, found);
    }
}

fn check_model(
    entry: &str,
    catalog: &Catalog,
    name: &Model,
    model: &ModelProfile,
    found: &mut Findings,
) {
    let memory = catalog.memory.0;
    let entry = format!("{entry}, model {name}");
    let weights = model.weights_size.0;
    if weights > memory {
        found.error(
            &entry,
            format!("its {weights} MB exceed an engine's {memory} MB"),
        );
    } else if !model.adapters.is_empty() && weights + model.adapter_size.0 > memory {
        let size = model.adapter_size.0;
        found.error(
            &entry,
            format!("with one adapter of {size} MB it exceeds an engine's {memory} MB"),
        );
    }
    if !model.adapters.is_empty() && catalog.adapter_slots == 0 {
        found.error(&entry, "it has adapters, but an engine may hold none");
    }
}

fn check_limits(table: &Table, found: &mut Findings) {
    let limits = &table.limits;
    if limits.head == 0 {
        found.error("limits", "no request fits a head of 0 bytes");
    }
    if limits.body == 0 {
        found.warn("limits", "no request may have a body");
    }
    if limits.arrival.0 == 0 {
        found.error("limits", "requests have 0 ms to arrive");
    }
    if limits.idle.0 == 0 {
        found.warn(
            "limits",
            "each connection serves one request, as none may be idle",
        );
    }
}

fn check_org(table: &Table, org: &OrgRule, found: &mut Findings) {
    let entry = format!("organisation {}", org.name);
    let has_key = table.orgs.as_ref().is_some_and(|o| o.has_key(&org.name));
    if !has_key {
        found.warn(
            &entry,
            "it has no key, so no request is recognised as its own",
        );
    }
    if org.priority.is_some_and(|p| p > MAX_PRIORITY) {
        found.warn(
            &entry,
            format!("its priority is not in 0 to {MAX_PRIORITY}"),
        );
    }
    let Some(allowance) = org.allowance else {
        return;
    };
    // A request is admitted if the allowance covers its whole cost at once.
    let least = org.cost(None) as f64;
    if allowance.rate.max(allowance.burst) < least {
        found.error(
            &entry,
            format!(
                "its allowance of {} a second and a burst of {} never covers a request that costs {least}",
                allowance.rate, allowance.burst
            ),
        );
    }
}

/// Returns what a new configuration changes, a line each.
#[must_use]
pub fn compare_tables(old: &Table, new: &Table) -> Vec<String> {
    let mut lines = Vec::new();
    if new.version <= old.version {
        lines.push(format!(
            "error: version {} is not later than version {} in force",
            new.version, old.version
        ));
    }
    let routes = |t: &Table| {
        let rules = t.rules.iter().map(|r| (r.name.clone(), r.clone()));
        rules.collect::<BTreeMap<_, _>>()
    };
    compare("route", &routes(old), &routes(new), &mut lines);
    compare("service", &old.services, &new.services, &mut lines);
    let orgs = |t: &Table| {
        let rules = t.orgs.iter().flat_map(|o| o.iter());
        let rules = rules.map(|r| (r.name.clone(), r.clone()));
        rules.collect::<BTreeMap<_, _>>()
    };
    compare("organisation", &orgs(old), &orgs(new), &mut lines);
    if old.limits != new.limits {
        lines.push(format!("limits: {:?} -> {:?}", old.limits, new.limits));
    }
    if old.orgs.is_some() != new.orgs.is_some() {
        let now = if new.orgs.is_some() {
            "needed"
        } else {
            "not needed"
        };
        lines.push(format!("keys: {now} from this version on"));
    }
    lines
}

/// Compares entries of one kind by their names. Debug output is precise, and its differences are
/// narrowed to the parts that changed.
fn compare<K: Ord + fmt::Display, V: PartialEq + fmt::Debug>(
    kind: &str,
    old: &BTreeMap<K, V>,
    new: &BTreeMap<K, V>,
    lines: &mut Vec<String>,
) {
    for name in old.keys().filter(|k| !new.contains_key(k)) {
        lines.push(format!("{kind} {name}: removed"));
    }
    for (name, entry) in new {
        match old.get(name) {
            None => lines.push(format!("{kind} {name}: added")),
            Some(before) if before != entry => {
                lines.push(format!("{kind} {name}: {}", changed_parts(before, entry)));
            }
            Some(_) => {}
        }
    }
}

fn changed_parts<V: fmt::Debug>(before: &V, after: &V) -> String {
    let text = |v: &V| format!("{v:#?}");
    let (before, after) = (text(before), text(after));
    let lines = |t: &str| t.lines().map(|l| l.trim().to_owned()).collect::<Vec<_>>();
    let (before, after) = (lines(&before), lines(&after));
    let only = |a: &[String], b: &[String]| {
        let own = a.iter().filter(|l| !b.contains(l));
        own.map(|l| l.trim_end_matches(','))
            .collect::<Vec<_>>()
            .join(" ")
    };
    format!("{} -> {}", only(&before, &after), only(&after, &before))
}
