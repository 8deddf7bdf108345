//! The configuration files in `examples/` of each sample deployment.

use eyre::{eyre, Result};
use shaleline_config::{Fleet, Op, Organisation, Template};
use shaleline_standin::Sample;

/// The configuration files of a sample deployment.
pub struct Deployment {
    /// The folder of the files, relative to the root of the repository.
    pub folder: &'static str,
    fleet: &'static str,
    /// The name and TOML text of each template.
    templates: &'static [(&'static str, &'static str)],
    /// The name and TOML text of each organisation.
    orgs: &'static [(&'static str, &'static str)],
    /// The name of the plain service that the demo calls.
    pub service: &'static str,
}

const MRAZNIK: Deployment = Deployment {
    folder: "examples/mraznik",
    fleet: include_str!("../../../examples/mraznik/fleet.toml"),
    templates: &[
        (
            "urgent",
            include_str!("../../../examples/mraznik/urgent.toml"),
        ),
        (
            "written",
            include_str!("../../../examples/mraznik/written.toml"),
        ),
    ],
    orgs: &[
        (
            "mraznik-alerts",
            include_str!("../../../examples/mraznik/mraznik-alerts.toml"),
        ),
        (
            "mraznik-summaries",
            include_str!("../../../examples/mraznik/mraznik-summaries.toml"),
        ),
    ],
    service: "alerts",
};

const AGENCIA: Deployment = Deployment {
    folder: "examples/agencia",
    fleet: include_str!("../../../examples/agencia/fleet.toml"),
    templates: &[(
        "booking",
        include_str!("../../../examples/agencia/booking.toml"),
    )],
    orgs: &[
        (
            "montevideo",
            include_str!("../../../examples/agencia/montevideo.toml"),
        ),
        (
            "interior",
            include_str!("../../../examples/agencia/interior.toml"),
        ),
    ],
    service: "scheduling",
};

impl Deployment {
    /// Returns the deployment of a sample.
    pub fn for_sample(sample: Sample) -> &'static Self {
        match sample {
            Sample::Agencia => &AGENCIA,
            Sample::Mraznik | Sample::Small => &MRAZNIK,
        }
    }

    /// Parses the fleet.
    pub fn fleet(&self) -> Result<Fleet> {
        Ok(toml::from_str(self.fleet)?)
    }

    /// Returns the changes that configure the deployment, in the order in which to apply them.
    pub fn ops(&self) -> Result<Vec<Op>> {
        let mut ops = vec![Op::PutFleet(self.fleet()?)];
        for (_, text) in self.templates {
            ops.push(Op::PutTemplate(Box::new(toml::from_str::<Template>(text)?)));
        }
        for (_, text) in self.orgs {
            ops.push(Op::PutOrganisation(toml::from_str::<Organisation>(text)?));
        }
        Ok(ops)
    }

    /// Parses the organisations.
    pub fn orgs(&self) -> Result<Vec<Organisation>> {
        let parse =
            |(name, text): &(&str, &str)| toml::from_str(text).map_err(|e| eyre!("{name}: {e}"));
        self.orgs.iter().map(parse).collect()
    }
}
