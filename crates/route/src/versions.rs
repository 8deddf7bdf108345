//! Requests that are bound to the software version of the upstream that began their answer.

use crate::queue::RouteQueue;
use crate::upstream::UpstreamState;
use crate::{RouteAction, RouteRequest, Router};
use shaleline_types::{ErrorKind, RequestId, SoftwareVersion};

impl Router {
    /// Binds a request to a software version.
    pub(crate) fn bind(&mut self, id: RequestId, version: SoftwareVersion) {
        if let Some(open) = self.open.get_mut(&id) {
            open.request.version = Some(version);
        }
    }

    /// Returns whether a request is bound to a version of which no upstream serves its route.
    pub(crate) fn lacks_version(&self, request: &RouteRequest) -> bool {
        let serves = |b: &UpstreamState| {
            b.routes.contains(&request.route) && !b.is_leaving() && request.allows(&b.info.version)
        };
        request.version.is_some() && !self.upstreams.values().any(serves)
    }

    /// Refuses the queued requests whose version no upstream has any more.
    pub(crate) fn refuse_versionless(&mut self, out: &mut Vec<RouteAction>) {
        let queued = self.queues.values().flat_map(RouteQueue::bound_ids);
        let lacking = queued.filter(|id| {
            let open = self.open.get(id);
            open.is_some_and(|o| self.lacks_version(&o.request))
        });
        let ids: Vec<RequestId> = lacking.collect();
        for id in ids {
            let Some(request) = self.open.get(&id).map(|o| o.request.clone()) else {
                continue;
            };
            self.dequeue(&request);
            self.fail(id, ErrorKind::VersionUnavailable, out);
        }
    }
}
