//! Keeps a separate planner for each service.

use crate::{LoadWindow, Order, PlanNote, PlanView, Planner};
use shaleline_types::{Millis, Service};
use std::collections::BTreeMap;

/// One [`Planner`] for each service. The state of a planner (engines that left, models without a
/// replica, reservations) is about the engines of its plans: a planner shared by all services would
/// take the engines of the other services for engines that left.
#[derive(Debug, Default)]
pub struct ServicePlanners {
    planners: BTreeMap<Service, Planner>,
}

impl ServicePlanners {
    /// Returns the orders to send now to the engines of a service, and the decisions with their
    /// reasons.
    #[must_use]
    pub fn plan(
        &mut self,
        service: &Service,
        view: &PlanView<'_>,
        window: &mut LoadWindow,
        now: Millis,
    ) -> (Vec<Order>, Vec<PlanNote>) {
        let planner = self.planners.entry(service.clone()).or_default();
        let orders = planner.plan(view, window, now);
        (orders, planner.take_notes())
    }
}
