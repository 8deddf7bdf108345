//! Starts and stops a daemon.

use crate::caller::{self, WorkerState};
use crate::core::Core;
use crate::emit::emit;
use crate::journal::Journal;
use crate::log_actor::LogActor;
use crate::member_actor::MemberActor;
use crate::owner_actor::OwnerActor;
use crate::settings::Settings;
use crate::snapshot_actor::SnapshotActor;
use crate::tick_actor::TickActor;
use crate::upstream_actor::UpstreamActor;
use crate::{admin, peer_server};
use actix::Actor;
use actix_web::dev::{Server, ServerHandle};
use actix_web::web::{Data, JsonConfig, ServiceConfig};
use actix_web::{App, HttpServer};
use eyre::{Result, WrapErr};
use shaleline_border::{Engines, InstanceList};
use shaleline_dialect::HttpPlatform;
use shaleline_log::LogService;
use shaleline_route::{Drain, DrainAction, Unfinished};
use shaleline_types::LogEvent;
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::sync::mpsc;
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::Duration;
use tokio::sync::watch;

const POLL_INTERVAL: Duration = Duration::from_millis(20);
const ADMIN_BODY_BYTES: usize = 16 << 20;
const BACKLOG: u32 = 4_096;

/// The maximum number of connections of one serving thread.
const MAX_CONNECTIONS: usize = 20_000;

/// The timeout for receiving a request's head.
const HEAD_TIMEOUT: Duration = Duration::from_secs(10);

/// A running daemon.
pub struct Daemon {
    /// The address for callers.
    pub caller: SocketAddr,
    /// The address for operators.
    pub admin: SocketAddr,
    /// The address for other daemons.
    pub peer: SocketAddr,
    stop: watch::Sender<bool>,
    thread: Option<JoinHandle<()>>,
}

/// The sockets, which are bound before their addresses are announced.
struct Listeners {
    caller: TcpListener,
    admin: TcpListener,
    peer: TcpListener,
}

fn bind(address: &mut SocketAddr) -> Result<TcpListener> {
    let listener =
        TcpListener::bind(*address).wrap_err_with(|| format!("can't listen on {address}"))?;
    *address = listener.local_addr()?;
    Ok(listener)
}

impl Daemon {
    /// Starts a daemon in its own thread. Port 0 selects any free port.
    ///
    /// # Errors
    /// Fails if an address can't be bound or the thread can't be started.
    pub fn start(mut settings: Settings) -> Result<Self> {
        let listeners = Listeners {
            caller: bind(&mut settings.listen)?,
            admin: bind(&mut settings.admin)?,
            peer: bind(&mut settings.peer)?,
        };
        let (caller, admin, peer) = (settings.listen, settings.admin, settings.peer);
        let (stop, stopped) = watch::channel(false);
        let (started, startup) = mpsc::channel();
        let thread = std::thread::Builder::new()
            .name(format!("daemon-{}", settings.instance))
            .spawn(move || {
                let system = actix_rt::System::new();
                system.block_on(async move {
                    let result = run(settings, listeners, stopped, &started).await;
                    if let Err(e) = result {
                        let _ = started.send(Err(e));
                    }
                });
            })?;
        startup.recv().wrap_err("the daemon did not start")??;
        Ok(Self {
            caller,
            admin,
            peer,
            stop,
            thread: Some(thread),
        })
    }

    /// Requests a stop. The daemon serves for a grace period, then refuses new requests, and
    /// exits once no request is in flight.
    pub fn begin_stop(&self) {
        let _ = self.stop.send(true);
    }

    /// Stops the daemon and waits until it has exited.
    pub fn stop(mut self) {
        self.begin_stop();
        self.wait();
    }

    /// Waits until the daemon has exited.
    pub fn join(mut self) {
        self.wait();
    }

    fn wait(&mut self) {
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

fn serve(
    core: &Arc<Core>,
    listener: TcpListener,
    routes: fn(&mut ServiceConfig),
    workers: usize,
) -> Result<Server> {
    let core = Arc::clone(core);
    let server = HttpServer::new(move || {
        let platform = HttpPlatform::new(&core.settings.platform);
        let local = WorkerState {
            core: Arc::clone(&core),
            engines: Rc::new(platform.clone()),
            services: Rc::new(platform),
            client: awc::Client::default(),
        };
        App::new()
            .app_data(JsonConfig::default().limit(ADMIN_BODY_BYTES))
            .app_data(Data::new(local))
            .configure(routes)
    });
    let server = server
        .workers(workers)
        .backlog(BACKLOG)
        .max_connections(MAX_CONNECTIONS)
        .client_request_timeout(HEAD_TIMEOUT)
        .disable_signals()
        .shutdown_timeout(5);
    Ok(server.listen(listener)?.run())
}

async fn run(
    settings: Settings,
    listeners: Listeners,
    mut stopped: watch::Receiver<bool>,
    started: &mpsc::Sender<Result<()>>,
) -> Result<()> {
    let workers = settings.workers;
    let core = Core::new(settings)?;
    start_actors(&core);
    let peers = peer_server::serve(&core, listeners.peer).await?;
    let callers = serve(&core, listeners.caller, caller::routes, workers)?;
    let admins = serve(&core, listeners.admin, admin::routes, 1)?;
    let handles = [callers.handle(), admins.handle()];
    actix_rt::spawn(callers);
    actix_rt::spawn(admins);
    emit(LogEvent::Started, core.settings.instance.as_str());
    actix_rt::spawn(announce_ready(Arc::clone(&core)));
    let _ = started.send(Ok(()));
    let _ = stopped.wait_for(|s| *s).await;
    drain(&core, &handles).await;
    let _ = peers.stop();
    emit(LogEvent::Stopped, core.settings.instance.as_str());
    Ok(())
}

fn start_actors(core: &Arc<Core>) {
    let platform = HttpPlatform::new(&core.settings.platform);
    let log: Rc<dyn LogService> = Rc::new(platform.clone());
    let list: Rc<dyn InstanceList> = Rc::new(platform.clone());
    let engines: Rc<dyn Engines> = Rc::new(platform);
    LogActor::new(core, &log, Rc::new(|c: &Core| &c.config)).start();
    LogActor::new(core, &log, Rc::new(|c: &Core| &c.cell)).start();
    for shard in 0..core.once.len() {
        LogActor::new(core, &log, Rc::new(move |c: &Core| &c.once[shard])).start();
    }
    TickActor {
        core: Arc::clone(core),
    }
    .start();
    MemberActor {
        core: Arc::clone(core),
        list: Rc::clone(&list),
    }
    .start();
    UpstreamActor {
        core: Arc::clone(core),
        list,
        engines: Rc::clone(&engines),
    }
    .start();
    OwnerActor::new(core, engines).start();
    SnapshotActor {
        core: Arc::clone(core),
        log,
    }
    .start();
}

async fn announce_ready(core: Arc<Core>) {
    while !core.is_ready() && !core.is_leaving() {
        actix_rt::time::sleep(POLL_INTERVAL).await;
    }
    if core.is_ready() {
        emit(LogEvent::Ready, core.settings.instance.as_str());
    }
}

/// Runs a planned stop. The daemon first announces it while still serving, then refuses new
/// requests as not run, and waits until requests in flight end and their records are in the log.
async fn drain(core: &Arc<Core>, handles: &[ServerHandle]) {
    emit(LogEvent::Stopping, core.settings.instance.as_str());
    let mut drain = Drain::new(core.settings.grace, core.settings.stop_limit);
    let mut action = drain.stop(core.now());
    loop {
        match action {
            Some(DrainAction::Announce) => core.begin_leaving(),
            Some(DrainAction::Refuse) => core.begin_refusing(),
            Some(DrainAction::Exit) => break,
            None => actix_rt::time::sleep(POLL_INTERVAL).await,
        }
        action = drain.tick(unfinished(core), core.now());
    }
    for handle in handles {
        handle.stop(true).await;
    }
}

fn unfinished(core: &Arc<Core>) -> Unfinished {
    let once: usize = core.once.iter().map(Journal::pending).sum();
    Unfinished {
        requests: core.in_flight(),
        records: once + core.config.pending() + core.cell.pending(),
    }
}
