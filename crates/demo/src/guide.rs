//! What a newcomer types next.

use crate::client::{self, is_ready};
use crate::deployment::Deployment;
use crate::system::{System, OPERATOR};
use eyre::{eyre, Result};
use shaleline_standin::Sample;
use std::time::Duration;

const FIRST_PORT: u16 = 7_500;

/// Brings the demo up, sets the deployment up and prints the commands.
pub fn run(sample: Sample) -> Result<()> {
    let system = System::start(sample, FIRST_PORT)?;
    let deployment = Deployment::of(sample);
    actix_rt::System::new().block_on(async {
        let client = client::new_client();
        for daemon in &system.daemons {
            while !is_ready(&client, daemon.caller).await {
                actix_rt::time::sleep(Duration::from_millis(100)).await;
            }
        }
        let admin = system.daemons[0].admin;
        for (i, op) in deployment.ops()?.iter().enumerate() {
            client::change(&client, admin, &format!("guide-{i}"), None, op).await?;
        }
        Ok::<(), eyre::Report>(())
    })?;
    print(&system, deployment)?;
    system.standins.join();
    Ok(())
}

fn print(system: &System, deployment: &Deployment) -> Result<()> {
    let org = deployment
        .orgs()?
        .into_iter()
        .next()
        .ok_or_else(|| eyre!("no organisation"))?;
    let model = org
        .values
        .get("models")
        .and_then(first_name)
        .unwrap_or_default();
    let caller = system.daemons[0].caller;
    let admin = system.daemons[1].admin;
    let tool = "cargo run -q --release --bin shaleline --";
    let service = deployment.service;
    println!(
        "three daemons and the stand-ins of {} are up; stop with Ctrl-C\n",
        deployment.folder
    );
    println!("in another shell, in this folder:\n");
    println!("  export SHALELINE_ADMIN={admin} SHALELINE_TOKEN={OPERATOR}");
    println!("  {tool} members");
    println!("  {tool} show");
    println!("  {tool} org put {}/{}.toml", deployment.folder, org.name);
    println!(
        "  TOKEN=$({tool} token new {} | sed -n 's/.*\"token\": \"\\(.*\\)\".*/\\1/p')",
        org.name
    );
    println!("  curl -N {caller}/v1/chat/completions -H \"Authorization: Bearer $TOKEN\" \\");
    println!("    -d '{{\"model\":\"{model}\",\"stream\":true,\"max_tokens\":8,\"messages\":[{{\"role\":\"user\",\"content\":\"frost?\"}}]}}'");
    println!(
        "  curl -i {caller}/v1/services/{service}/confirm -H \"Authorization: Bearer $TOKEN\" \\"
    );
    println!("    -H 'Idempotency-Key: first-call' -d 'valve 7'");
    println!("  {tool} drain engine-00");
    println!("  {tool} upstreams");
    println!("  {tool} undrain engine-00");
    println!("  {tool} state");
    Ok(())
}

fn first_name(value: &shaleline_config::Value) -> Option<String> {
    match value {
        shaleline_config::Value::Names(names) => names.first().cloned(),
        shaleline_config::Value::Integer(_) => None,
    }
}
