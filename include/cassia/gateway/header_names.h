/// Names of the HTTP header fields that the gateway reads or sets. They are part of its interface
/// to callers and endpoints, so a deployment may choose others.
#pragma once

#include <string>

namespace cassia::gateway {

struct header_names {
    std::string request_id = "Cassia-Request-Id";
    /// Time in milliseconds that the caller is willing to wait; forwarded with what is left of it.
    std::string deadline = "Cassia-Deadline";
    /// Id of the endpoint that the request is meant for; any other endpoint rejects it.
    std::string expected_endpoint = "Cassia-Expect-Endpoint";
    /// Set by endpoints on their responses; shows that a response comes from an endpoint.
    std::string stamp = "Cassia-Stamp";
    /// Set by an endpoint that did not run the request.
    std::string not_run = "Cassia-Not-Run";
    /// Id of the last event of a stream that the caller has; the endpoint resumes after it.
    std::string last_event = "Last-Event-Id";
    /// Id of the attempt that brought the first event of a stream that the caller takes up again.
    std::string resumes = "Resumes";
    /// The caller's API key; never forwarded.
    std::string key = "Cassia-Key";
    /// Name of the caller's team; set on requests to endpoints.
    std::string team = "Cassia-Team";
    /// Load of the endpoint, set by endpoints on their responses; see load_report.h.
    std::string load = "Cassia-Load";
};

} // namespace cassia::gateway
