//! Starts the demo and prints commands for a new user to try.

use crate::client::{self, is_ready};
use crate::cluster::{Cluster, OPERATOR_TOKEN};
use crate::deployment::Deployment;
use eyre::{eyre, Result};
use shaleline_standin::Sample;
use std::time::Duration;

const FIRST_PORT: u16 = 7_500;

/// Starts the demo, applies the configuration of the deployment and prints the commands.
pub fn run(sample: Sample) -> Result<()> {
    let cluster = Cluster::start(sample, FIRST_PORT)?;
    let deployment = Deployment::for_sample(sample);
    actix_rt::System::new().block_on(async {
        let client = client::new_client();
        for daemon in &cluster.daemons {
            while !is_ready(&client, daemon.caller).await {
                actix_rt::time::sleep(Duration::from_millis(100)).await;
            }
        }
        let admin = cluster.daemons[0].admin;
        for (i, op) in deployment.ops()?.iter().enumerate() {
            client::apply_change(&client, admin, &format!("guide-{i}"), None, op).await?;
        }
        Ok::<(), eyre::Report>(())
    })?;
    print_commands(&cluster, deployment)?;
    cluster.standins.join();
    Ok(())
}

fn print_commands(cluster: &Cluster, deployment: &Deployment) -> Result<()> {
    let org = deployment
        .orgs()?
        .into_iter()
        .next()
        .ok_or_else(|| eyre!("the sample deployment has no organisations"))?;
    let model = org
        .values
        .get("models")
        .and_then(first_listed)
        .unwrap_or_default();
    let caller = cluster.daemons[0].caller;
    let admin = cluster.daemons[1].admin;
    let tool = "cargo run -q --release --bin shaleline --";
    let service = deployment.service;
    println!(
        "three daemons and the stand-ins of {} are up; stop with Ctrl-C\n",
        deployment.folder
    );
    println!("in another shell, in this folder:\n");
    println!("  export SHALELINE_ADMIN={admin} SHALELINE_TOKEN={OPERATOR_TOKEN}");
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

fn first_listed(value: &shaleline_config::Value) -> Option<String> {
    match value {
        shaleline_config::Value::Names(names) => names.first().cloned(),
        shaleline_config::Value::Integer(_) => None,
    }
}
