//! The listeners of a control replica for those who aren't part of the system.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use heatherring_lib::settings::DirectControlSettings;
use http::Request;
use http::Response;
use hyper::body::Incoming;
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

use crate::answer_body::AnswerBody;
use crate::fleet_control::FleetControl;
use crate::http_server;
use crate::http_server::Admittance;
use crate::http_server::Handler;
use crate::http_server::HttpBounds;
use crate::http_server::HttpVersions;
use crate::interface::ControlInterface;
use crate::interface::LookUpInterface;
use crate::look_up_handler::LookUpHandler;

/// Connections open at one listener; several hundred backend servers keep one each.
const MAX_CONNECTIONS: usize = 1_500;

/// Bytes of a request's head.
const MAX_HEADER_BYTES: usize = 16 << 10;

/// Time for which a connection may be idle: many heartbeats.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

#[derive(Clone, Debug)]
struct ControlHandler {
    interface: Arc<dyn ControlInterface>,
    control: FleetControl,
}

impl Handler for ControlHandler {
    async fn handle(&self, _peer: SocketAddr, req: Request<Incoming>) -> Response<AnswerBody> {
        let control = self.control.clone();
        self.interface.answer_control(control, req).await
    }
}

/// Holds the bound listeners.
#[derive(Debug)]
pub struct ControlListeners {
    orders: TcpListener,
    look_ups: Option<TcpListener>,
}

impl ControlListeners {
    /// Binds the listeners of the settings.
    ///
    /// # Errors
    ///
    /// Returns the address that can't be listened on, and what the system said.
    pub async fn bind(
        settings: &DirectControlSettings,
    ) -> Result<Self, (SocketAddr, std::io::Error)> {
        let bind = async |address| {
            TcpListener::bind(address)
                .await
                .map_err(|source| (address, source))
        };
        Ok(Self {
            orders: bind(settings.listen).await?,
            look_ups: match settings.look_ups {
                Some(address) => Some(bind(address).await?),
                None => None,
            },
        })
    }

    /// Serves until `stop` is cancelled.
    pub fn serve(
        self,
        interface: &Arc<dyn ControlInterface>,
        control: &FleetControl,
        stop: &CancellationToken,
    ) {
        let orders = ControlHandler {
            interface: Arc::clone(interface),
            control: control.clone(),
        };
        let look_ups = LookUpHandler {
            interface: Arc::clone(interface) as Arc<dyn LookUpInterface>,
            source: Arc::new(control.clone()),
        };
        spawn(self.orders, orders, stop);
        if let Some(listener) = self.look_ups {
            spawn(listener, look_ups, stop);
        }
    }
}

fn spawn(listener: TcpListener, handler: impl Handler, stop: &CancellationToken) {
    let bounds = HttpBounds {
        max_connections: MAX_CONNECTIONS,
        max_header_bytes: MAX_HEADER_BYTES,
        header_timeout: IDLE_TIMEOUT,
        versions: HttpVersions::Http1,
    };
    let stop = stop.clone();
    tokio::spawn(http_server::serve(
        listener,
        Admittance::Anybody,
        bounds,
        handler,
        stop,
    ));
}
