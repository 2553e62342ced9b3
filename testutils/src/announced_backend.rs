//! A backend server in this process that announces itself to control and answers every request
//! with the name of its service.

use std::convert::Infallible;
use std::io;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::SystemTime;

use bytes::Bytes;
use http::Method;
use http::Request;
use http::Response;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use serde_json::json;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;
use tokio::time::timeout;

use crate::control_addresses::ControlAddresses;
use crate::http_call::call;
use crate::loopback::SERVICE_PORT;

/// Time between two announcements; less than what control expects.
const ANNOUNCE_EVERY: Duration = Duration::from_millis(500);
/// Time for which the answer to an announcement is awaited.
const ANNOUNCE_TIMEOUT: Duration = Duration::from_secs(1);
/// Header by which a backend server names itself.
const BACKEND_HEADER: &str = "heatherring-backend";
/// Header that identifies a request, and is repeated in the answer.
const REQUEST_ID_HEADER: &str = "heatherring-request-id";

/// Describes a backend server.
#[derive(Clone, Debug)]
pub struct BackendPlan {
    /// Its name.
    pub name: String,
    /// Its service.
    pub service: String,
    /// Its place.
    pub place: String,
    /// Its address.
    pub ip: IpAddr,
    /// Where control replicas take announcements.
    pub controls: ControlAddresses,
    /// The one that is asked first.
    pub first_control: usize,
}

/// Holds a backend server; dropping it ends it.
#[derive(Debug)]
pub struct AnnouncedBackend {
    tasks: [JoinHandle<()>; 2],
}

impl AnnouncedBackend {
    /// Starts it.
    ///
    /// # Errors
    ///
    /// Returns an error if its address can't be used.
    pub async fn start(plan: BackendPlan) -> io::Result<Self> {
        let address = SocketAddr::new(plan.ip, SERVICE_PORT);
        let listener = TcpListener::bind(address).await?;
        let serving = serve(listener, plan.name.clone(), plan.service.clone());
        let announcing = announce(plan, address);
        Ok(Self {
            tasks: [tokio::spawn(serving), tokio::spawn(announcing)],
        })
    }
}

impl Drop for AnnouncedBackend {
    fn drop(&mut self) {
        for task in &self.tasks {
            task.abort();
        }
    }
}

async fn serve(listener: TcpListener, name: String, service: String) {
    loop {
        if let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(serve_connection(stream, name.clone(), service.clone()));
        }
    }
}

async fn serve_connection(stream: TcpStream, name: String, service: String) {
    let answering = service_fn(|req: Request<Incoming>| {
        let body = Full::new(Bytes::from(service.clone()));
        let mut response = Response::builder().header(BACKEND_HEADER, &name);
        if let Some(id) = req.headers().get(REQUEST_ID_HEADER) {
            response = response.header(REQUEST_ID_HEADER, id);
        }
        let response = response.body(body).unwrap_or_default();
        async { Ok::<_, Infallible>(response) }
    });
    // An error ends the connection, which its caller sees.
    let _ = http1::Builder::new()
        .serve_connection(TokioIo::new(stream), answering)
        .await;
}

async fn announce(plan: BackendPlan, address: SocketAddr) {
    let since_epoch = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    let born = u64::try_from(since_epoch.unwrap_or_default().as_millis()).unwrap_or_default();
    let mut control = plan.first_control;
    for sequence in 1_u64.. {
        let body = json!({
            "backend": plan.name,
            "record": {
                "service": plan.service, "address": address, "place": plan.place, "slots": 64,
                "state": "Ready", "born": born, "sequence": sequence,
                "cold_for": {"secs": 0, "nanos": 0},
            },
        });
        let Some(asked) = plan.controls.get(control) else {
            return;
        };
        let body = Bytes::from(body.to_string());
        let call = call(asked, Method::POST, "/v1/announcements", body);
        let answer = timeout(ANNOUNCE_TIMEOUT, call).await.ok().flatten();
        if answer.is_some_and(|(status, _)| status.is_success()) {
            tokio::time::sleep(ANNOUNCE_EVERY).await;
        } else {
            control = (control + 1) % plan.controls.count();
            tokio::time::sleep(ANNOUNCE_EVERY / 5).await;
        }
    }
}
