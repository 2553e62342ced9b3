//! Listeners of a control replica for backend servers, operators and callers of direct dispatch.

use std::net::SocketAddr;
use std::sync::Arc;

use heatherring_lib::clock::Clock;
use heatherring_lib::settings::DirectControlSettings;
use http::Request;
use http::Response;
use tokio::net::TcpListener;
use tokio::task::JoinHandle;
use tokio_util::sync::CancellationToken;

use crate::answer_body::AnswerBody;
use crate::http_server;
use crate::http_server::Admittance;
use crate::http_server::Arrival;
use crate::http_server::ConnectionLimits;
use crate::http_server::ConnectionUsage;
use crate::http_server::Handler;
use crate::http_server::HttpBounds;
use crate::http_server::HttpVersions;
use crate::http_server::LimitsSource;
use crate::interface::ControlInterface;
use crate::late_control::LateControl;
use crate::request_body::RequestBody;

/// Largest number of open connections at one listener, unless the settings tell the number of
/// descriptors. Backend servers keep one each, and at first they all call the seeds.
const MAX_CONNECTIONS: usize = 1_500;

/// Largest size of a request's head, in bytes.
const MAX_HEADER_BYTES: usize = 16 << 10;

/// Returns the largest number of open connections at one listener: of a known number of descriptors,
/// half are left for the other listeners, connections to replicas and the disk.
fn max_connections(settings: &DirectControlSettings) -> usize {
    let half = settings.max_descriptors.map(|number| number / 2);
    half.map_or(MAX_CONNECTIONS, |half| half.max(1) as usize)
}

/// Returns the limits of one connection, which is idle between two heartbeats.
fn connection_limits(settings: &DirectControlSettings) -> ConnectionLimits {
    let idle = settings.heartbeat_timing().idle_connection();
    ConnectionLimits {
        max_header_bytes: MAX_HEADER_BYTES,
        header_timeout: idle,
        idle_timeout: idle,
    }
}

#[derive(Clone, Debug)]
struct ControlHandler {
    interface: Arc<dyn ControlInterface>,
    control: LateControl,
}

impl Handler for ControlHandler {
    async fn handle(&self, _arrival: Arrival, req: Request<RequestBody>) -> Response<AnswerBody> {
        match self.control.get() {
            Some(control) => self.interface.answer_control(control.clone(), req).await,
            None => self.interface.answer_unstarted(),
        }
    }
}

#[derive(Clone, Debug)]
struct LateLookUpHandler {
    interface: Arc<dyn ControlInterface>,
    control: LateControl,
}

impl Handler for LateLookUpHandler {
    async fn handle(&self, _arrival: Arrival, req: Request<RequestBody>) -> Response<AnswerBody> {
        match self.control.get() {
            Some(control) => self.interface.answer_look_up(control, &req),
            None => self.interface.answer_unstarted(),
        }
    }
}

/// Bound listeners that are not served yet.
#[derive(Debug)]
pub struct ControlListeners {
    control_listener: TcpListener,
    look_ups: Option<TcpListener>,
    max_connections: usize,
    limits: ConnectionLimits,
}

impl ControlListeners {
    /// Binds the listeners of the settings.
    ///
    /// # Errors
    ///
    /// Returns the address that cannot be bound, and the error of the operating system.
    pub async fn bind(
        settings: &DirectControlSettings,
    ) -> Result<Self, (SocketAddr, std::io::Error)> {
        let bind = async |address| {
            TcpListener::bind(address)
                .await
                .map_err(|source| (address, source))
        };
        Ok(Self {
            control_listener: bind(settings.listen).await?,
            look_ups: match settings.look_ups {
                Some(address) => Some(bind(address).await?),
                None => None,
            },
            max_connections: max_connections(settings),
            limits: connection_limits(settings),
        })
    }

    /// Serves until `stop` is cancelled and all requests read by then are answered; the returned
    /// task then ends. It does not wait for the listener of look-ups. Requests are refused until
    /// `control` is set.
    pub fn serve(
        self,
        interface: &Arc<dyn ControlInterface>,
        control: &LateControl,
        clock: &Arc<dyn Clock>,
        stop: &CancellationToken,
    ) -> JoinHandle<()> {
        let control_handler = ControlHandler {
            interface: Arc::clone(interface),
            control: control.clone(),
        };
        let look_ups = LateLookUpHandler {
            interface: Arc::clone(interface),
            control: control.clone(),
        };
        let bounds = || HttpBounds {
            max_connections: self.max_connections,
            usage: ConnectionUsage::default(),
            limits: LimitsSource::fixed(self.limits),
            versions: HttpVersions::Http1,
            clock: Arc::clone(clock),
        };
        if let Some(listener) = self.look_ups {
            tokio::spawn(serve(listener, look_ups, bounds(), stop));
        }
        tokio::spawn(serve(
            self.control_listener,
            control_handler,
            bounds(),
            stop,
        ))
    }
}

fn serve(
    listener: TcpListener,
    handler: impl Handler,
    bounds: HttpBounds,
    stop: &CancellationToken,
) -> impl Future<Output = ()> + Send + 'static {
    let stops = stop.clone().into();
    http_server::serve(listener, Admittance::Anybody, bounds, handler, stops)
}
