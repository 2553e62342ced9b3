//! HTTP handler of callers' look-ups.

use std::fmt;
use std::sync::Arc;

use http::Request;
use http::Response;

use crate::answer_body::AnswerBody;
use crate::http_server::Arrival;
use crate::http_server::Handler;
use crate::interface::LookUpInterface;
use crate::interface::LookUpSource;
use crate::request_body::RequestBody;

/// Answers look-ups from a source of entry VMs.
#[derive(Clone)]
pub struct LookUpHandler {
    /// Defines how look-ups and answers are written.
    pub interface: Arc<dyn LookUpInterface>,
    /// Knows the entry VMs that accept requests.
    pub source: Arc<dyn LookUpSource>,
}

impl fmt::Debug for LookUpHandler {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("LookUpHandler")
    }
}

impl Handler for LookUpHandler {
    async fn handle(&self, _arrival: Arrival, req: Request<RequestBody>) -> Response<AnswerBody> {
        self.interface.answer_look_up(&*self.source, &req)
    }
}
