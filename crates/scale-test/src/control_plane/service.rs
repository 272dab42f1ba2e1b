//! Responds to the requests of forwarders: endpoint lists, watches and delivery notices.

use std::convert::Infallible;
use std::sync::atomic::Ordering;

use bytes::Bytes;
use futures_util::stream;
use http::{Method, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::body::{Frame, Incoming};

use super::watch_stream::watch_body;
use super::{Body, ConnectionContext, ControlPlane};

/// Responds to one request, after a partition of the listener has ended.
pub(super) async fn respond(
    request: Request<Incoming>,
    mut context: ConnectionContext,
) -> Result<Response<Body>, Infallible> {
    context.wait_while_partitioned().await;
    context.traffic.count_message();
    let (parts, body) = request.into_parts();
    let query = parts.uri.query().unwrap_or_default();
    let response = match (&parts.method, parts.uri.path()) {
        (&Method::GET, "/v1/servers") if query.split('&').any(|pair| pair == "stream=1") => {
            respond_with_watch(query, context)
        }
        (&Method::GET, "/v1/servers") => respond_with_full_list(&context.control_plane).await,
        (&Method::POST, "/v2/finals") => receive_notices(body, &context.control_plane).await,
        _ => respond_with_text(StatusCode::NOT_FOUND, ""),
    };
    Ok(response)
}

fn respond_with_text(status: StatusCode, text: &'static str) -> Response<Body> {
    let body = Full::new(Bytes::from(text)).map_err(|never| match never {}).boxed_unsync();
    let mut response = Response::new(body);
    *response.status_mut() = status;
    response
}

fn respond_with_watch(query: &str, context: ConnectionContext) -> Response<Body> {
    let index = query.split('&').find_map(|pair| pair.strip_prefix("index="));
    match index.unwrap_or("0").parse() {
        Ok(generation) => Response::new(watch_body(context, generation)),
        Err(_) => respond_with_text(
            StatusCode::BAD_REQUEST,
            "index: expected a generation (a non-negative integer)\n",
        ),
    }
}

async fn respond_with_full_list(control_plane: &ControlPlane) -> Response<Body> {
    let full_list = control_plane.list.full_list().await;
    let chunks = full_list.chunks.clone().into_iter().map(|chunk| Ok(Frame::data(chunk)));
    Response::new(StreamBody::new(stream::iter(chunks)).boxed_unsync())
}

/// Reads the body and counts its delivery notices, one per line.
async fn receive_notices(mut body: Incoming, control_plane: &ControlPlane) -> Response<Body> {
    while let Some(Ok(frame)) = body.frame().await {
        let lines = frame.into_data().map_or(0, |data| data.iter().filter(|byte| **byte == b'\n').count());
        control_plane.notices.fetch_add(lines as u64, Ordering::Relaxed);
    }
    respond_with_text(StatusCode::NO_CONTENT, "")
}
