//! Which requests are attempts of the same.

use crate::request::identity_of;
use hyper::http::request::Parts;
use hyper::Request;
use shaleline_edge::CallerAddress;
use shaleline_testkit::cases;
use std::net::IpAddr;

/// A request: from which address, how, at which host, for what, with which body.
type Sent = (
    &'static str,
    &'static str,
    &'static str,
    &'static str,
    &'static str,
);

const FIRST: Sent = ("10.0.0.1", "POST", "a.example", "/x/1?y", "body");

fn parts(method: &str, path: &str) -> Parts {
    let request = Request::builder().method(method).uri(path);
    request.body(()).expect("a valid request").into_parts().0
}

fn is_same((from, method, host, path, body): Sent) -> bool {
    let identity = |(from, method, host, path, body): Sent| {
        let address: IpAddr = from.parse().expect("an address");
        let caller = Some(CallerAddress(address));
        identity_of(caller, host, &parts(method, path), body.as_bytes()).request
    };
    identity((from, method, host, path, body)) == identity(FIRST)
}

cases! { is_same;
    the_next_attempt_is_the_same: FIRST => true,
    another_address_of_its_caller_is_the_same: ("10.7.0.9", "POST", "a.example", "/x/1?y", "body") => true,
    another_method_is_another: ("10.0.0.1", "PUT", "a.example", "/x/1?y", "body") => false,
    another_host_is_another: ("10.0.0.1", "POST", "b.example", "/x/1?y", "body") => false,
    another_path_is_another: ("10.0.0.1", "POST", "a.example", "/x/2?y", "body") => false,
    another_query_is_another: ("10.0.0.1", "POST", "a.example", "/x/1?z", "body") => false,
    another_body_is_another: ("10.0.0.1", "POST", "a.example", "/x/1?y", "bodi") => false,
    parts_do_not_run_into_each_other: ("10.0.0.1", "POST", "a.example/x", "/1?y", "body") => false,
}
