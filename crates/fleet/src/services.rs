//! The plans of several services, each with a memory of its own.

use crate::{LoadWindow, Order, PlanNote, PlanView, Planner};
use shaleline_types::{Millis, Service};
use std::collections::BTreeMap;

/// One [`Planner`] for each service. What a planner remembers (engines that left, models that
/// are away, room that is being made) is about the engines it is shown: with one for all
/// services each plan would take the engines of the others for engines that left.
#[derive(Debug, Default)]
pub struct ServicePlanners {
    planners: BTreeMap<Service, Planner>,
}

impl ServicePlanners {
    /// The orders to give now to the engines of a service, and what was decided and why.
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
