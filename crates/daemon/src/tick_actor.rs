//! Sends ticks to the router and keeps the configuration view current.

use crate::core::Core;
use actix::prelude::*;
use shaleline_route::RouteEvent;
use shaleline_types::Offset;
use std::sync::Arc;
use std::time::Duration;

const TICK_INTERVAL: Duration = Duration::from_millis(20);

/// The actor of the router's ticks and the configuration view.
pub(crate) struct TickActor {
    pub(crate) core: Arc<Core>,
}

impl Actor for TickActor {
    type Context = Context<Self>;

    fn started(&mut self, ctx: &mut Self::Context) {
        ctx.run_interval(TICK_INTERVAL, |this, _| this.core.route(RouteEvent::Tick));
        ctx.spawn(follow_config(Arc::clone(&self.core)).into_actor(self));
    }
}

/// Rebuilds the view whenever the configuration changes.
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
