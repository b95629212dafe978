//! An answer on its way from a handler to the listener.

use crate::request::AnswerBody;
use bytes::Bytes;
use http::{HeaderName, HeaderValue, Response, StatusCode};
use std::fmt;

/// An answer for hyper to write.
pub(crate) type Answer = Response<AnswerBody>;

/// The connection is to be broken, so that the answer doesn't look whole.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Cut;

impl fmt::Display for Cut {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the answer can't be completed")
    }
}

impl std::error::Error for Cut {}

/// An answer with a plain sentence as its body.
pub(crate) fn plain(status: StatusCode, headers: &[(&str, &str)], text: &str) -> Answer {
    let body = AnswerBody::whole(Bytes::copy_from_slice(text.as_bytes()));
    let mut answer = head(status.as_u16(), headers, body).unwrap_or_else(|(_, body)| {
        let mut answer = Response::new(body);
        *answer.status_mut() = status;
        answer
    });
    answer
        .headers_mut()
        .insert(http::header::CONTENT_TYPE, HeaderValue::from_static("text/plain; charset=utf-8"));
    answer
}

/// Builds an answer; on a status or header that HTTP forbids it names that and gives the body back.
pub(crate) fn head(
    status: u16,
    headers: &[(&str, &str)],
    body: AnswerBody,
) -> Result<Answer, (String, AnswerBody)> {
    let Ok(status) = StatusCode::from_u16(status) else {
        return Err((format!("the handler gave a status out of range: {status}"), body));
    };
    let mut answer = Response::new(body);
    *answer.status_mut() = status;
    for (name, value) in headers {
        let parsed = HeaderName::try_from(*name).ok().zip(HeaderValue::try_from(*value).ok());
        let Some((name, value)) = parsed else {
            return Err((
                format!("the handler gave a malformed header: {name}"),
                answer.into_body(),
            ));
        };
        answer.headers_mut().append(name, value);
    }
    Ok(answer)
}
