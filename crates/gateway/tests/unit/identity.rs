//! Tests of which requests count as attempts of the same request.

use crate::request::identity_of;
use hyper::http::request::Parts;
use hyper::Request;
use shaleline_edge::CallerAddress;
use shaleline_testkit::cases;
use std::net::IpAddr;

/// The caller's address, method, host, path and body of a request.
type RequestFields = (
    &'static str,
    &'static str,
    &'static str,
    &'static str,
    &'static str,
);

const FIRST: RequestFields = ("10.0.0.1", "POST", "a.example", "/x/1?y", "body");

fn parts(method: &str, path: &str) -> Parts {
    let request = Request::builder().method(method).uri(path);
    request.body(()).expect("a valid request").into_parts().0
}

fn is_same_request((from, method, host, path, body): RequestFields) -> bool {
    let identity = |(from, method, host, path, body): RequestFields| {
        let address: IpAddr = from.parse().expect("an address");
        let caller = Some(CallerAddress(address));
        identity_of(caller, host, &parts(method, path), body.as_bytes()).request
    };
    identity((from, method, host, path, body)) == identity(FIRST)
}

cases! { is_same_request;
    an_identical_request_is_the_same: FIRST => true,
    another_address_of_the_caller_is_the_same: ("10.7.0.9", "POST", "a.example", "/x/1?y", "body") => true,
    another_method_differs: ("10.0.0.1", "PUT", "a.example", "/x/1?y", "body") => false,
    another_host_differs: ("10.0.0.1", "POST", "b.example", "/x/1?y", "body") => false,
    another_path_differs: ("10.0.0.1", "POST", "a.example", "/x/2?y", "body") => false,
    another_query_differs: ("10.0.0.1", "POST", "a.example", "/x/1?z", "body") => false,
    another_body_differs: ("10.0.0.1", "POST", "a.example", "/x/1?y", "bodi") => false,
    the_boundary_between_fields_counts: ("10.0.0.1", "POST", "a.example/x", "/1?y", "body") => false,
}
