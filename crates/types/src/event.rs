//! The numbered log events, which `docs/EVENTS.md` lists for operators.

/// The severity of an event.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Level {
    /// An operator must act.
    Error,
    /// Something failed that the system handles.
    Warn,
    /// A change of state that is useful for later analysis.
    Info,
}

macro_rules! events {
    ($($name:ident $number:literal $level:ident $text:literal;)+) => {
        /// A numbered log event. The number never changes meaning.
        #[derive(Debug, Clone, Copy, PartialEq, Eq)]
        pub enum LogEvent {
            $(#[doc = $text] $name,)+
        }

        impl LogEvent {
            /// Every event, in the order of `docs/EVENTS.md`.
            pub const ALL: &'static [Self] = &[$(Self::$name,)+];

            /// The stable number.
            #[must_use]
            pub const fn number(self) -> u16 {
                match self { $(Self::$name => $number,)+ }
            }

            /// The severity of the event.
            #[must_use]
            pub const fn level(self) -> Level {
                match self { $(Self::$name => Level::$level,)+ }
            }

            /// A one-sentence description of what happened.
            #[must_use]
            pub const fn text(self) -> &'static str {
                match self { $(Self::$name => $text,)+ }
            }
        }
    };
}

events! {
    Started 1001 Info "The daemon started.";
    Ready 1002 Info "The daemon has its configuration and admits requests.";
    Stopping 1003 Info "The daemon is stopping and finishes the requests in flight.";
    Stopped 1004 Info "The daemon has finished and exits.";
    NotReady 1005 Info "The daemon should receive no new requests: it is stopping, or it stalled and may have missed a configuration version.";
    Suspended 1006 Warn "The instance was suspended; the daemon's information is older by that duration.";
    LogLost 2001 Warn "The platform's log does not answer.";
    LogBack 2002 Info "The platform's log answers again.";
    LogGap 2003 Error "Records were dropped from the log before any snapshot covered them.";
    LogHalted 2004 Error "A record has a newer version than this daemon supports; the daemon stops applying records.";
    SnapshotWritten 2005 Info "A snapshot was written.";
    SnapshotLoaded 2006 Info "State was restored from a snapshot.";
    PeerBoot 2007 Info "State was copied from a peer because the log is unavailable.";
    StoreCalls 2101 Info "The recent number of calls to each topic of the store.";
    TopicGap 2102 Info "Requested records were dropped from a topic; the newest record of each key is read instead.";
    StoreWentBack 2103 Warn "The store came back from an older copy: positions are given out again, and newer records are lost.";
    VersionsStored 2104 Info "The software versions that a service has, or recently had, were read from the store or written to it.";
    ChangeAccepted 3001 Info "A configuration change was accepted.";
    ChangeRefused 3002 Warn "A configuration change was refused.";
    TableInForce 3101 Info "A version of the platform's configuration is in force.";
    TableRefused 3102 Error "A version of the platform's configuration cannot be decoded; the previous version stays in force.";
    EntrySkipped 3103 Warn "A record of the platform's store is skipped: it cannot be decoded, or lacks what the configuration requires of it.";
    SettingsChanged 3104 Info "The settings file changed.";
    SettingsRefused 3105 Warn "The settings file is malformed; the previous settings stay in force.";
    KeysStale 3106 Warn "Callers' API keys can no longer be verified: the configuration may have changed.";
    KeysKnown 3107 Info "Callers' API keys can be verified again.";
    Overloaded 3108 Warn "This daemon has too little processor time and closes most new connections unread, or has enough again.";
    LeaseTaken 4001 Info "This daemon became the owner.";
    LeaseLost 4002 Warn "This daemon is no longer the owner.";
    LeaseChallenged 4003 Info "An owner that appears to have failed was challenged.";
    LeaseInherited 4004 Info "The previous planner's last orders were taken over from its release of the lease.";
    PlannerSilent 4005 Info "Heartbeats of the planner are missing, or are received again; callers get retry-after times that allow for its successor.";
    LeaseReleaseIgnored 4006 Warn "The release of a lease is not behind a record of its writer, or nothing shows whether it is: the lease is not free.";
    OrderSent 5001 Info "An order was sent to an engine.";
    OrderSettled 5002 Info "An engine reported how an order ended.";
    OrderDoubt 5003 Warn "An order received no answer; its outcome is in doubt.";
    Overcommit 5004 Error "An engine reports more memory in use than it has.";
    MovePlanned 5005 Info "A plan moves a model; the line gives the deciding values.";
    ModelAway 5006 Info "Callers request a model that no engine serves.";
    ModelBack 5007 Info "A model that callers requested while it was unserved is served again.";
    PlannerKnows 5008 Info "The demand from callers that the planning daemon knows of.";
    AdapterAway 5009 Info "Callers wait for an adapter that no engine has; the line gives why it was not loaded.";
    EngineReported 5010 Info "An engine reported what it holds; the line says how long the answer took.";
    KeyUnknown 6001 Warn "A keyed request has an unknown outcome.";
    KeyAbandoned 6002 Info "A keyed request was abandoned after its `begun` record and before it was sent.";
    MemberJoined 7001 Info "A daemon joined.";
    MemberLeft 7002 Info "A daemon left or stopped responding.";
    PeerMessageBad 7101 Warn "A datagram between daemons cannot be decoded or encoded.";
    CopyMissed 7102 Info "The records that another daemon has read from the store could not be copied from it.";
    CopyTaken 7103 Info "The records that another daemon has read from the store were copied from it; the line gives size and time.";
    ListDiffers 7104 Warn "The list of upstreams differs from that of the daemon that this one follows, of which it takes a copy; the line gives both digests.";
    UpstreamOpen 8001 Warn "A breaker opened for an upstream.";
    UpstreamLeaving 8002 Info "An upstream is leaving and gets no new work.";
    LateAnswer 8003 Warn "A late answer to an old attempt was dropped.";
    UpstreamGone 8101 Info "An upstream is no longer listed and gets no new work.";
    UpstreamRestarted 8102 Info "An upstream restarted under its name; the state kept for it is dropped.";
    UpstreamEnded 8103 Warn "An upstream ended while it had requests in flight.";
    RequestSuspected 8104 Info "An upstream ended during a request; the request, or a part of its prompt, is watched until it completes.";
    RequestBlocked 8105 Warn "A request, or a part of prompts, during which several upstreams ended is no longer sent.";
    RequestCleared 8106 Info "A request, or a part of prompts, during which upstreams ended has completed, or was cleared by an operator.";
    UpstreamLimited 8107 Info "An upstream named or changed a rate limit or a maximum of rejections, or no longer names it.";
    PathBroken 8108 Warn "This daemon does not reach an upstream that another daemon reaches; requests to it go through that daemon.";
    PathRestored 8109 Info "This daemon reaches an upstream again.";
    LeavingAnswer 8110 Info "An answer says that its upstream is leaving; the line says whether this daemon knew it.";
    RestAsked 8111 Info "An upstream that turned a request away asked for rest; the line says how long, and through which daemon the request went.";
    TunnelMissed 8112 Warn "No daemon opened a tunnel to an upstream; the line gives how many were asked and how they answered.";
    SelectionRefused 8113 Info "The daemon that selects refused a request at once; the line gives how the upstreams of its route are occupied.";
    RemovalKnown 8114 Info "An upstream is removed at short notice; the line gives its earliest time and who reported it.";
    FirstSelection 8115 Info "The daemon selected an upstream for the first time since its start, or asked a hub to; the line gives who selects and what it knows of the others.";
    RequestOvertaken 8120 Info "A queued request was sent before one that comes first by its class; the line gives the reason and the times left.";
    RequestShed 8121 Info "A request was refused on arrival because its predicted wait is too long; the line gives the wait, the time left and the retry-after time.";
    RequestExpired 8122 Info "A queued request was refused after its wait; the line gives what decided its place in the order.";
    RequestEnded 8201 Info "A request ended.";
    RequestRefused 8202 Info "A request was refused without having run.";
    RequestFailed 8203 Warn "A request ended without a complete answer.";
    SendFailed 8204 Info "A send to an upstream failed, or the upstream did not run the request.";
    AllowanceUsed 8205 Info "An organisation has used up the part of its allowance that a daemon holds.";
    SendDelayed 8206 Info "A send waited for a permit or was denied one, because its upstream limits its rate.";
    SendGivenBack 8207 Info "A send went back to the router because its upstream is leaving, rests or has no entry.";
    StreamUnknown 8208 Info "A caller resumes a stream, and the software version that began it is not known.";
    InvariantBroken 9001 Error "An invariant did not hold; the decision was stopped.";
}
