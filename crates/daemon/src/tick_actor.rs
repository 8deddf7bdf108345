//! Passes time to the router and keeps the configuration view fresh.

use crate::core::Core;
use actix::prelude::*;
use shaleline_route::RouteEvent;
use shaleline_types::Offset;
use std::sync::Arc;
use std::time::Duration;

const TICK: Duration = Duration::from_millis(20);

/// Ticks.
pub(crate) struct TickActor {
    pub(crate) core: Arc<Core>,
}

impl Actor for TickActor {
    type Context = Context<Self>;

    fn started(&mut self, ctx: &mut Self::Context) {
        ctx.run_interval(TICK, |this, _| this.core.route(RouteEvent::Tick));
        ctx.spawn(follow_config(Arc::clone(&self.core)).into_actor(self));
    }
}

/// Resolves the view as soon as the configuration moves on.
async fn follow_config(core: Arc<Core>) {
    let mut watch = core.config.watch();
    let mut last = Offset(0);
    loop {
        let next = core.config.next();
        if next != last {
            last = next;
            core.refresh_view();
        }
        watch.changed().await;
    }
}
