//! Requests and answers in the form in which they travel between hosts.

use std::{sync, time};

use bytes::Bytes;
use yuccatide_steering::{model, numbers};

use super::{Error, generated};
use crate::request;

/// What the receiving host does with a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Purpose {
    /// Decide on it as the home of its idempotency key.
    Home,
    /// Run it on a backend server that the receiver owns.
    Run,
}

/// Turns a request into its wire form; its deadline becomes the time that is left.
pub fn job_to_wire(
    job: &request::Job,
    purpose: Purpose,
    grant: Vec<u8>,
    now: model::Time,
) -> Result<generated::ForwardRequest, Error> {
    let meta = model::RequestMeta {
        deadline: job.left(now),
        ..job.meta.clone()
    };
    let meta = postcard::to_stdvec(&meta).map_err(malformed)?;
    let purpose = match purpose {
        Purpose::Home => generated::Purpose::Home,
        Purpose::Run => generated::Purpose::Run,
    };
    Ok(generated::ForwardRequest {
        deployment: String::new(),
        from: String::new(),
        purpose: purpose.into(),
        meta,
        grant,
        method: job.method.to_string(),
        path: job.path.clone(),
        headers: headers_to_wire(&job.headers),
        body: job.body.to_vec(),
        traceparent: job.traceparent.clone().unwrap_or_default(),
        fingerprint: job.fingerprint,
        caller_id: job.caller_id.clone(),
    })
}

/// Reads a request; its deadline becomes a time again.
pub fn job_from_wire(
    req: generated::ForwardRequest,
    now: model::Time,
) -> Result<(request::Job, Purpose, Vec<u8>), Error> {
    let purpose = match req.purpose() {
        generated::Purpose::Home => Purpose::Home,
        generated::Purpose::Run => Purpose::Run,
        generated::Purpose::Unspecified => {
            return Err(Error::Malformed("the purpose is missing".to_string()));
        }
    };
    let mut meta: model::RequestMeta = postcard::from_bytes(&req.meta).map_err(malformed)?;
    if meta.deadline > numbers::MAX_DURATION {
        return Err(Error::Malformed("the deadline is too far away".to_string()));
    }
    meta.deadline += now;
    let method = http::Method::from_bytes(req.method.as_bytes()).map_err(malformed)?;
    let job = request::Job {
        meta,
        caller_id: req.caller_id,
        method,
        path: req.path,
        headers: sync::Arc::new(headers_from_wire(req.headers)),
        body: Bytes::from(req.body),
        fingerprint: req.fingerprint,
        traceparent: Some(req.traceparent).filter(|t| !t.is_empty()),
    };
    Ok((job, purpose, req.grant))
}

/// Turns an answer into its wire form.
pub fn answer_to_wire(id: model::RequestId, answer: request::Answer) -> generated::ForwardAnswer {
    generated::ForwardAnswer {
        request_id: id.to_be_bytes().to_vec(),
        outcome: answer.outcome.as_str().to_string(),
        reason: answer.reason.unwrap_or_default(),
        status: answer.status.as_u16().into(),
        headers: headers_to_wire(&answer.headers),
        body: answer.body.to_vec(),
        retry_after_ms: answer.retry_after.unwrap_or_default().as_millis() as u64,
        server: answer.server.unwrap_or_default(),
        slot_time_us: answer.slot_time.unwrap_or_default().as_micros() as u64,
    }
}

/// Reads the answer to a request.
pub fn answer_from_wire(
    id: model::RequestId,
    answer: generated::ForwardAnswer,
) -> Result<request::Answer, Error> {
    if answer.request_id != id.to_be_bytes() {
        return Err(Error::Crossed);
    }
    let outcome = model::Outcome::from_header(&answer.outcome)
        .ok_or_else(|| Error::Malformed(format!("there is no outcome {}", answer.outcome)))?;
    let status = u16::try_from(answer.status).map_err(malformed)?;
    let retry_after = time::Duration::from_millis(answer.retry_after_ms);
    Ok(request::Answer {
        outcome,
        reason: Some(answer.reason).filter(|r| !r.is_empty()),
        status: http::StatusCode::from_u16(status).map_err(malformed)?,
        headers: headers_from_wire(answer.headers),
        body: Bytes::from(answer.body),
        retry_after: Some(retry_after).filter(|r| !r.is_zero()),
        server: Some(answer.server).filter(|s| !s.is_empty()),
        slot_time: Some(time::Duration::from_micros(answer.slot_time_us)).filter(|t| !t.is_zero()),
    })
}

fn headers_to_wire(headers: &[request::Header]) -> Vec<generated::Header> {
    headers
        .iter()
        .map(|(name, value)| generated::Header {
            name: name.clone(),
            value: value.clone(),
        })
        .collect()
}

fn headers_from_wire(headers: Vec<generated::Header>) -> Vec<request::Header> {
    headers.into_iter().map(|h| (h.name, h.value)).collect()
}

fn malformed(e: impl ToString) -> Error {
    Error::Malformed(e.to_string())
}
