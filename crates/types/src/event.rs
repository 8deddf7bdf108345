//! The numbered log events, catalogued for people in `docs/EVENTS.md`.

/// How loud an event is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Level {
    /// An operator must act.
    Error,
    /// Something failed that the system handles.
    Warn,
    /// A change of state worth reading later.
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

            /// How loud the event is.
            #[must_use]
            pub const fn level(self) -> Level {
                match self { $(Self::$name => Level::$level,)+ }
            }

            /// What happened, in one sentence.
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
    Stopping 1003 Info "The daemon was told to stop and finishes what is in flight.";
    Stopped 1004 Info "The daemon has finished and stops.";
    NotReady 1005 Info "The daemon should get no new callers: it stops, or it stalled and may have missed a version.";
    Suspended 1006 Warn "The instance was suspended; what the daemon believes is older by as much.";
    LogLost 2001 Warn "The platform's log does not answer.";
    LogBack 2002 Info "The platform's log answers again.";
    LogGap 2003 Error "Records were dropped from the log before any snapshot covered them.";
    LogHalted 2004 Error "A record is newer than this daemon understands; it stops applying.";
    SnapshotWritten 2005 Info "A snapshot was written.";
    SnapshotLoaded 2006 Info "State was restored from a snapshot.";
    PeerBoot 2007 Info "State was taken from a peer because the log is away.";
    StoreCalls 2101 Info "How often each topic of the store was called lately.";
    TopicGap 2102 Info "Records asked for are gone from a topic; the newest of each key are read instead.";
    ChangeAccepted 3001 Info "A configuration change was accepted.";
    ChangeRefused 3002 Warn "A configuration change was refused.";
    TableInForce 3101 Info "A version of the platform's configuration is in force.";
    TableRefused 3102 Error "A version of the platform's configuration can't be understood; the one before stays in force.";
    EntrySkipped 3103 Warn "A record of the platform's store can't be understood and is skipped.";
    SettingsChanged 3104 Info "The settings file changed.";
    SettingsRefused 3105 Warn "The settings file can't be understood; the settings before stay in force.";
    KeysStale 3106 Warn "Callers' API keys can't be relied on any more: the configuration may be another one.";
    KeysKnown 3107 Info "Callers' API keys can be relied on again.";
    LeaseTaken 4001 Info "This daemon became the owner.";
    LeaseLost 4002 Warn "This daemon is no longer the owner.";
    LeaseChallenged 4003 Info "An owner that seems gone was challenged.";
    LeaseInherited 4004 Info "What the planner before ordered last was taken over from its release.";
    OrderSent 5001 Info "An order was sent to an engine.";
    OrderSettled 5002 Info "An engine reported how an order ended.";
    OrderDoubt 5003 Warn "An order got no answer and stays in doubt.";
    Overcommit 5004 Error "An engine reports more memory in use than it has.";
    MovePlanned 5005 Info "A plan moves a model, with what decided it.";
    ModelAway 5006 Info "Callers ask for a model that no engine serves.";
    ModelBack 5007 Info "A model that callers asked for in vain is served again.";
    PlannerKnows 5008 Info "What the daemon that plans knows of what callers ask for.";
    AdapterAway 5009 Info "Callers wait for an adapter that no engine has, and why it was not loaded.";
    KeyUnknown 6001 Warn "A keyed request has an unknown outcome.";
    KeyAbandoned 6002 Info "A begun keyed request was given up before it was sent.";
    MemberJoined 7001 Info "A daemon joined.";
    MemberLeft 7002 Info "A daemon left or fell silent.";
    PeerMessageBad 7101 Warn "A datagram between daemons can't be understood or made.";
    CopyMissed 7102 Info "What another daemon has read of the store could not be taken over from it.";
    UpstreamOpen 8001 Warn "A breaker opened for an upstream.";
    UpstreamLeaving 8002 Info "An upstream is leaving and gets no new work.";
    LateAnswer 8003 Warn "A late answer to an old attempt was dropped.";
    UpstreamGone 8101 Info "An upstream is no longer listed and gets no new work.";
    UpstreamRestarted 8102 Info "An upstream has started again under its name; what was known of it is dropped.";
    UpstreamEnded 8103 Warn "An upstream ended while requests were under way there.";
    RequestSuspected 8104 Info "An upstream ended under a request; it is watched until it ends well.";
    RequestBlocked 8105 Warn "A request under which several upstreams ended is not sent any more.";
    RequestCleared 8106 Info "A request under which upstreams ended has ended well, or was cleared by an operator.";
    RequestEnded 8201 Info "A request ended.";
    RequestRefused 8202 Info "A request was refused without having run.";
    RequestFailed 8203 Warn "A request ended without a whole answer.";
    SendFailed 8204 Info "A send to an upstream failed, or the upstream did not run the request.";
    AllowanceUsed 8205 Info "An organisation has used up what a daemon keeps of its allowance.";
    InvariantBroken 9001 Error "An invariant did not hold; the decision was stopped.";
}
