//! Brings a daemon up and down.

use crate::caller::{self, Local};
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

const POLL: Duration = Duration::from_millis(20);
const ADMIN_BODY: usize = 16 << 20;
const BACKLOG: u32 = 4_096;

/// Connections that one serving thread holds at the most.
const MOST_CONNECTIONS: usize = 20_000;

/// How long a connection may take to send its request's head.
const HEAD_TIMEOUT: Duration = Duration::from_secs(10);

/// A daemon that is up.
pub struct Daemon {
    /// Where it answers callers.
    pub caller: SocketAddr,
    /// Where it answers operators.
    pub admin: SocketAddr,
    /// Where it answers other daemons.
    pub peer: SocketAddr,
    stop: watch::Sender<bool>,
    thread: Option<JoinHandle<()>>,
}

/// Sockets that are bound before anything is told to others.
struct Bound {
    caller: TcpListener,
    admin: TcpListener,
    peer: TcpListener,
}

fn bind(address: &mut SocketAddr) -> Result<TcpListener> {
    let listener =
        TcpListener::bind(*address).wrap_err_with(|| format!("can't listen at {address}"))?;
    *address = listener.local_addr()?;
    Ok(listener)
}

impl Daemon {
    /// Brings a daemon up in a thread of its own. Port 0 stands for any.
    ///
    /// # Errors
    /// Where an address can't be listened at or a thread can't be had.
    pub fn start(mut settings: Settings) -> Result<Self> {
        let bound = Bound {
            caller: bind(&mut settings.listen)?,
            admin: bind(&mut settings.admin)?,
            peer: bind(&mut settings.peer)?,
        };
        let (caller, admin, peer) = (settings.listen, settings.admin, settings.peer);
        let (stop, stopped) = watch::channel(false);
        let (tell, told) = mpsc::channel();
        let thread = std::thread::Builder::new()
            .name(format!("daemon-{}", settings.instance))
            .spawn(move || {
                let system = actix_rt::System::new();
                system.block_on(async move {
                    let result = run(settings, bound, stopped, &tell).await;
                    if let Err(e) = result {
                        let _ = tell.send(Err(e));
                    }
                });
            })?;
        told.recv().wrap_err("the daemon did not come up")??;
        Ok(Self {
            caller,
            admin,
            peer,
            stop,
            thread: Some(thread),
        })
    }

    /// Asks it to stop. It serves on for a while, refuses what comes after that, and ends
    /// once nothing is in flight.
    pub fn begin_stop(&self) {
        let _ = self.stop.send(true);
    }

    /// Stops it and waits until it has.
    pub fn stop(mut self) {
        self.begin_stop();
        self.wait();
    }

    /// Waits until it has stopped.
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
        let local = Local {
            core: Arc::clone(&core),
            engines: Rc::new(platform.clone()),
            services: Rc::new(platform),
            client: awc::Client::default(),
        };
        App::new()
            .app_data(JsonConfig::default().limit(ADMIN_BODY))
            .app_data(Data::new(local))
            .configure(routes)
    });
    let server = server
        .workers(workers)
        .backlog(BACKLOG)
        .max_connections(MOST_CONNECTIONS)
        .client_request_timeout(HEAD_TIMEOUT)
        .disable_signals()
        .shutdown_timeout(5);
    Ok(server.listen(listener)?.run())
}

async fn run(
    settings: Settings,
    bound: Bound,
    mut stopped: watch::Receiver<bool>,
    tell: &mpsc::Sender<Result<()>>,
) -> Result<()> {
    let workers = settings.workers;
    let core = Core::new(settings)?;
    start_actors(&core);
    let peers = peer_server::serve(&core, bound.peer).await?;
    let callers = serve(&core, bound.caller, caller::routes, workers)?;
    let admins = serve(&core, bound.admin, admin::routes, 1)?;
    let handles = [callers.handle(), admins.handle()];
    actix_rt::spawn(callers);
    actix_rt::spawn(admins);
    emit(LogEvent::Started, core.settings.instance.as_str());
    actix_rt::spawn(announce_ready(Arc::clone(&core)));
    let _ = tell.send(Ok(()));
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
        actix_rt::time::sleep(POLL).await;
    }
    if core.is_ready() {
        emit(LogEvent::Ready, core.settings.instance.as_str());
    }
}

/// A planned stop: first others learn of it while everything is still served; then what
/// comes is refused as not run; what is in flight ends; its records reach the log.
async fn drain(core: &Arc<Core>, handles: &[ServerHandle]) {
    emit(LogEvent::Stopping, core.settings.instance.as_str());
    let mut drain = Drain::new(core.settings.grace, core.settings.stop_limit);
    let mut action = drain.stop(core.now());
    loop {
        match action {
            Some(DrainAction::Announce) => core.begin_leaving(),
            Some(DrainAction::Refuse) => core.begin_refusing(),
            Some(DrainAction::Exit) => break,
            None => actix_rt::time::sleep(POLL).await,
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
