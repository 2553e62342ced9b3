//! Answers callers' look-ups over HTTP.

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

/// Answers look-ups with what a source knows.
#[derive(Clone)]
pub struct LookUpHandler {
    /// How questions and answers are written.
    pub interface: Arc<dyn LookUpInterface>,
    /// What is known.
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
