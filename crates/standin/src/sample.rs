//! Both deployments at their present sizes, and a small one for tests.

use crate::{EngineSpec, Pace, ServiceSpec, StandinSettings, StoreSpec};
use shaleline_types::{DataCentre, Megabytes, Service, Upstream};

/// A sample deployment.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Sample {
    /// Three engines and one service.
    Small,
    /// Mrazník: 12 engines, 3 replicas of the alert gateway; engines check fencing numbers.
    Mraznik,
    /// The Agencia: 18 engines, 3 replicas of the scheduling service; engines ignore fencing numbers.
    Agencia,
}

/// The memory of a sample's accelerator.
const MEMORY: Megabytes = Megabytes(80_000);

impl Sample {
    /// Returns the sample with this name.
    #[must_use]
    pub fn from_name(name: &str) -> Option<Self> {
        match name {
            "small" => Some(Self::Small),
            "mraznik" => Some(Self::Mraznik),
            "agencia" => Some(Self::Agencia),
            _ => None,
        }
    }

    /// Returns the settings of its stand-ins.
    #[must_use]
    pub fn settings(self) -> StandinSettings {
        let (engines, replicas, service, checks) = match self {
            Self::Small => (3, 1, "alerts", true),
            Self::Mraznik => (12, 3, "alerts", true),
            Self::Agencia => (18, 3, "scheduling", false),
        };
        StandinSettings {
            engines: (0..engines).map(|i| engine(i, checks)).collect(),
            services: (0..replicas).map(|i| replica(service, i)).collect(),
            store: StoreSpec::default(),
            ..StandinSettings::default()
        }
    }
}

fn centre(index: usize) -> DataCentre {
    DataCentre::from_text(&format!("dc{}", index % 3 + 1)).expect("the name is valid")
}

fn engine(index: usize, checks: bool) -> EngineSpec {
    EngineSpec {
        name: Upstream::from_text(&format!("engine-{index:02}")).expect("the name is valid"),
        centre: centre(index),
        memory: MEMORY,
        checks,
        slots: 32,
        blocks: 4_096,
        pace: Pace {
            block: 0.5,
            step: 4.0,
            more: 0.1,
        },
    }
}

fn replica(service: &str, index: usize) -> ServiceSpec {
    ServiceSpec {
        name: Upstream::from_text(&format!("{service}-{index}")).expect("the name is valid"),
        service: Service::from_text(service).expect("the name is valid"),
        centre: centre(index),
        slots: 64,
    }
}
