//! Starts the stand-ins.

use crate::engine_server::{self, EngineShared};
use crate::platform_server::{self, PlatformShared};
use crate::service_server::{self, ServiceShared, ServiceSpec};
use crate::{EngineSpec, EngineState, StoreSpec, WeightStore};
use actix_web::dev::{Server, ServerHandle};
use actix_web::web::{Data, JsonConfig, ServiceConfig};
use actix_web::{App, HttpServer};
use eyre::{Result, WrapErr};
use shaleline_border::{InstanceKind, ListedInstance};
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::sync::mpsc;
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::Duration;

const BODY_LIMIT: usize = 64 << 20;

/// The settings of the stand-ins.
#[derive(Debug, Clone)]
pub struct StandinSettings {
    /// The address that all listen at.
    pub ip: IpAddr,
    /// The platform's port; the others use the ports that follow. 0 selects any free ports.
    pub port: u16,
    /// The engines.
    pub engines: Vec<EngineSpec>,
    /// The replicas of plain services.
    pub services: Vec<ServiceSpec>,
    /// The limits of the weight store.
    pub store: StoreSpec,
    /// The number of appends per second that the log accepts.
    pub log_rate: u64,
    /// The duration of an append in milliseconds.
    pub append_ms: u64,
    /// The delay until the list of instances shows a change.
    pub list_lag: Duration,
    /// The maximum age of an engine's report.
    pub report_lag: Duration,
    /// The seed of the random generators.
    pub seed: u64,
}

impl Default for StandinSettings {
    fn default() -> Self {
        Self {
            ip: IpAddr::V4(Ipv4Addr::LOCALHOST),
            port: 0,
            engines: Vec::new(),
            services: Vec::new(),
            store: StoreSpec::default(),
            log_rate: 400,
            append_ms: 1,
            list_lag: Duration::from_millis(500),
            report_lag: Duration::from_millis(100),
            seed: 1,
        }
    }
}

/// The running stand-ins.
pub struct Standins {
    /// The address of the log and the list.
    pub platform: SocketAddr,
    /// The address of each engine, in order.
    pub engines: Vec<SocketAddr>,
    /// The address of each replica of a plain service, in order.
    pub services: Vec<SocketAddr>,
    handles: Vec<ServerHandle>,
    thread: Option<JoinHandle<()>>,
}

struct Bound {
    listener: TcpListener,
    address: SocketAddr,
}

struct Ports {
    ip: IpAddr,
    next: u16,
}

impl Ports {
    fn bind(&mut self) -> Result<Bound> {
        let asked = SocketAddr::new(self.ip, self.next);
        let listener =
            TcpListener::bind(asked).wrap_err_with(|| format!("can't listen at {asked}"))?;
        let address = listener.local_addr()?;
        if self.next > 0 {
            self.next += 1;
        }
        Ok(Bound { listener, address })
    }
}

fn serve<T: Send + Sync + 'static>(
    bound: Bound,
    shared: &Data<T>,
    routes: fn(&mut ServiceConfig),
) -> Result<Server> {
    let shared = shared.clone();
    let server = HttpServer::new(move || {
        App::new()
            .app_data(JsonConfig::default().limit(BODY_LIMIT))
            .app_data(shared.clone())
            .configure(routes)
    });
    let server = server.workers(1).disable_signals().shutdown_timeout(1);
    Ok(server.listen(bound.listener)?.run())
}

/// The servers of all stand-ins and their addresses.
struct Planned {
    servers: Vec<Server>,
    platform: SocketAddr,
    engines: Vec<SocketAddr>,
    services: Vec<SocketAddr>,
}

fn plan(settings: &StandinSettings) -> Result<Planned> {
    let mut ports = Ports {
        ip: settings.ip,
        next: settings.port,
    };
    let platform = PlatformShared::new(settings.log_rate, settings.append_ms, settings.list_lag);
    let platform = Data::new(platform);
    let store = Arc::new(WeightStore::new(settings.store));
    let bound = ports.bind()?;
    let mut planned = Planned {
        platform: bound.address,
        servers: vec![serve(bound, &platform, platform_server::routes)?],
        engines: Vec::new(),
        services: Vec::new(),
    };
    for (i, spec) in settings.engines.iter().enumerate() {
        let bound = ports.bind()?;
        planned.engines.push(bound.address);
        platform.put(listed_engine(spec, bound.address), true);
        let state = EngineState::new(spec.clone(), settings.seed + i as u64);
        let shared = EngineShared::new(state, Arc::clone(&store), settings.report_lag);
        planned
            .servers
            .push(serve(bound, &Data::new(shared), engine_server::routes)?);
    }
    for spec in &settings.services {
        let bound = ports.bind()?;
        planned.services.push(bound.address);
        platform.put(listed_service(spec, bound.address), true);
        let shared = Data::new(ServiceShared::new(spec.clone()));
        planned
            .servers
            .push(serve(bound, &shared, service_server::routes)?);
    }
    Ok(planned)
}

fn listed_engine(spec: &EngineSpec, address: SocketAddr) -> ListedInstance {
    ListedInstance {
        name: spec.name.to_string(),
        kind: InstanceKind::Engine,
        address: address.to_string(),
        centre: spec.centre.clone(),
        service: None,
        leaving: false,
    }
}

fn listed_service(spec: &ServiceSpec, address: SocketAddr) -> ListedInstance {
    ListedInstance {
        name: spec.name.to_string(),
        kind: InstanceKind::Service,
        address: address.to_string(),
        centre: spec.centre.clone(),
        service: Some(spec.service.to_string()),
        leaving: false,
    }
}

impl Standins {
    /// Starts the stand-ins in a separate thread.
    ///
    /// # Errors
    /// Fails if an address can't be bound.
    pub fn start(settings: StandinSettings) -> Result<Self> {
        let (sender, receiver) = mpsc::channel();
        let thread = std::thread::Builder::new()
            .name("standins".to_owned())
            .spawn(move || run(&settings, &sender))?;
        let mut standins = receiver.recv().wrap_err("the stand-ins did not start")??;
        standins.thread = Some(thread);
        Ok(standins)
    }

    /// Stops the stand-ins and waits until they have ended.
    pub fn stop(mut self) {
        for handle in &self.handles {
            drop(handle.stop(false));
        }
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }

    /// Waits until the stand-ins end.
    pub fn join(mut self) {
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

fn run(settings: &StandinSettings, sender: &mpsc::Sender<Result<Standins>>) {
    actix_web::rt::System::new().block_on(async {
        let planned = match plan(settings) {
            Ok(planned) => planned,
            Err(e) => {
                let _ = sender.send(Err(e));
                return;
            }
        };
        let standins = Standins {
            platform: planned.platform,
            engines: planned.engines,
            services: planned.services,
            handles: planned.servers.iter().map(Server::handle).collect(),
            thread: None,
        };
        let _ = sender.send(Ok(standins));
        let _ = futures_util::future::join_all(planned.servers).await;
    });
}
