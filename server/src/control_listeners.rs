//! Listeners of a control replica for backend servers, operators and callers of direct dispatch.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use heatherring_lib::clock::Clock;
use heatherring_lib::settings::DirectControlSettings;
use http::Request;
use http::Response;
use tokio::net::TcpListener;
use tokio::task::JoinHandle;
use tokio_util::sync::CancellationToken;

use crate::answer_body::AnswerBody;
use crate::fleet_control::FleetControl;
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
use crate::interface::LookUpInterface;
use crate::look_up_handler::LookUpHandler;
use crate::request_body::RequestBody;

/// Largest number of open connections at one listener; several hundred backend servers keep one
/// each.
const MAX_CONNECTIONS: usize = 1_500;

/// Limits of one connection, which may be idle for many heartbeat intervals.
const LIMITS: ConnectionLimits = ConnectionLimits {
    max_header_bytes: 16 << 10,
    header_timeout: Duration::from_secs(30),
    idle_timeout: Duration::from_secs(30),
};

#[derive(Clone, Debug)]
struct ControlHandler {
    interface: Arc<dyn ControlInterface>,
    control: FleetControl,
}

impl Handler for ControlHandler {
    async fn handle(&self, _arrival: Arrival, req: Request<RequestBody>) -> Response<AnswerBody> {
        let control = self.control.clone();
        self.interface.answer_control(control, req).await
    }
}

/// Bound listeners that are not served yet.
#[derive(Debug)]
pub struct ControlListeners {
    control_listener: TcpListener,
    look_ups: Option<TcpListener>,
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
        })
    }

    /// Serves until `stop` is cancelled and all requests read by then are answered; the returned
    /// task then ends. It does not wait for the listener of look-ups.
    pub fn serve(
        self,
        interface: &Arc<dyn ControlInterface>,
        control: &FleetControl,
        clock: &Arc<dyn Clock>,
        stop: &CancellationToken,
    ) -> JoinHandle<()> {
        let control_handler = ControlHandler {
            interface: Arc::clone(interface),
            control: control.clone(),
        };
        let look_ups = LookUpHandler {
            interface: Arc::clone(interface) as Arc<dyn LookUpInterface>,
            source: Arc::new(control.clone()),
        };
        if let Some(listener) = self.look_ups {
            tokio::spawn(serve(listener, look_ups, Arc::clone(clock), stop));
        }
        tokio::spawn(serve(
            self.control_listener,
            control_handler,
            Arc::clone(clock),
            stop,
        ))
    }
}

fn serve(
    listener: TcpListener,
    handler: impl Handler,
    clock: Arc<dyn Clock>,
    stop: &CancellationToken,
) -> impl Future<Output = ()> + Send + 'static {
    let bounds = HttpBounds {
        max_connections: MAX_CONNECTIONS,
        usage: ConnectionUsage::default(),
        limits: LimitsSource::fixed(LIMITS),
        versions: HttpVersions::Http1,
        clock,
    };
    let stops = stop.clone().into();
    http_server::serve(listener, Admittance::Anybody, bounds, handler, stops)
}
