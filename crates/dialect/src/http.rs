//! Access to the instance list and engines over HTTP.

use awc::error::{ConnectError, SendRequestError};
use awc::{Client, ClientBuilder, Connector};
use eventsource_stream::Eventsource;
use futures_util::future::LocalBoxFuture;
use futures_util::StreamExt;
use shaleline_border::{
    Engines, GenerateEvent, GenerateRequest, GenerateStream, InstanceList, ListError,
    ListedInstance, SendError, UpstreamReport,
};
use shaleline_place::Order;
use shaleline_types::RequestId;
use std::time::Duration;

/// The timeout for opening a connection.
pub(crate) const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_000);

/// The timeout for short calls.
const SHORT_TIMEOUT: Duration = Duration::from_millis(1_500);

/// The timeout for a whole request. The router abandons stalled requests much earlier.
pub(crate) const REQUEST_TIMEOUT: Duration = Duration::from_secs(600);

const CONFLICT: u16 = 409;
const REPORT_BODY_BYTES: usize = 4 << 20;

/// A client of the platform over HTTP. Each thread has its own, because connections belong to
/// one thread.
#[derive(Clone)]
pub struct HttpPlatform {
    client: Client,
    platform: String,
}

impl HttpPlatform {
    /// Creates a client of the log and the list at `platform`, an `IP:PORT`.
    #[must_use]
    pub fn new(platform: &str) -> Self {
        let connector = Connector::new().timeout(CONNECT_TIMEOUT).limit(0);
        let client = ClientBuilder::new()
            .connector(connector)
            .timeout(REQUEST_TIMEOUT)
            .disable_redirects()
            .finish();
        Self {
            client,
            platform: platform.to_owned(),
        }
    }

    pub(crate) fn client(&self) -> &Client {
        &self.client
    }

    pub(crate) fn platform(&self) -> &str {
        &self.platform
    }
}

/// Distinguishes a failure before the first byte from a later one. The client also reports a
/// connection closed without a response as a failure to connect, although the request may have
/// run.
pub(crate) fn send_error(error: &SendRequestError) -> SendError {
    match error {
        SendRequestError::Connect(ConnectError::Disconnected) => SendError::Broken,
        SendRequestError::Connect(_) | SendRequestError::Url(_) => SendError::NotSent,
        _ => SendError::Broken,
    }
}

fn status_error(status: u16) -> SendError {
    if status == CONFLICT {
        SendError::Refused
    } else {
        SendError::Broken
    }
}

impl InstanceList for HttpPlatform {
    fn list(&self) -> LocalBoxFuture<'_, Result<Vec<ListedInstance>, ListError>> {
        Box::pin(async move {
            let url = format!("http://{}/instances", self.platform);
            let sent = self.client.get(url).timeout(SHORT_TIMEOUT).send().await;
            let mut response = sent.map_err(|_| ListError)?;
            let body = response
                .json::<Vec<ListedInstance>>()
                .limit(REPORT_BODY_BYTES)
                .await;
            body.map_err(|_| ListError)
        })
    }
}

impl Engines for HttpPlatform {
    fn report<'a>(
        &'a self,
        address: &'a str,
    ) -> LocalBoxFuture<'a, Result<UpstreamReport, SendError>> {
        Box::pin(async move {
            let url = format!("http://{address}/v1/report");
            let sent = self.client.get(url).timeout(SHORT_TIMEOUT).send().await;
            let mut response = sent.map_err(|e| send_error(&e))?;
            let body = response
                .json::<UpstreamReport>()
                .limit(REPORT_BODY_BYTES)
                .await;
            body.map_err(|_| SendError::Broken)
        })
    }

    fn order<'a>(
        &'a self,
        address: &'a str,
        order: &'a Order,
    ) -> LocalBoxFuture<'a, Result<(), SendError>> {
        Box::pin(async move {
            let url = format!("http://{address}/v1/orders");
            let sent = self
                .client
                .post(url)
                .timeout(SHORT_TIMEOUT)
                .send_json(order)
                .await;
            let response = sent.map_err(|e| send_error(&e))?;
            if response.status().is_success() {
                return Ok(());
            }
            Err(status_error(response.status().as_u16()))
        })
    }

    fn generate<'a>(
        &'a self,
        address: &'a str,
        request: &'a GenerateRequest,
    ) -> LocalBoxFuture<'a, Result<GenerateStream, SendError>> {
        Box::pin(async move {
            let url = format!("http://{address}/v1/generate");
            let sent = self.client.post(url).send_json(request).await;
            let response = sent.map_err(|e| send_error(&e))?;
            if !response.status().is_success() {
                return Err(status_error(response.status().as_u16()));
            }
            let events = response.eventsource().map(|event| {
                let event = event.map_err(|_| SendError::Broken)?;
                serde_json::from_str::<GenerateEvent>(&event.data).map_err(|_| SendError::Broken)
            });
            Ok(events.boxed_local())
        })
    }

    fn cancel<'a>(
        &'a self,
        address: &'a str,
        id: RequestId,
        attempt: u32,
    ) -> LocalBoxFuture<'a, ()> {
        Box::pin(async move {
            let url = format!("http://{address}/v1/cancel?id={}&attempt={attempt}", id.0);
            let _ = self.client.post(url).timeout(SHORT_TIMEOUT).send().await;
        })
    }
}
