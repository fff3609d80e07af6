/// Names of the header fields that forwarding reads or sets. They are part of the interface toward
/// callers and endpoints, so whoever runs a gateway may choose others.
#pragma once

#include <string>

namespace cassia::gateway {

struct header_names {
    std::string request_id = "Cassia-Request-Id";
    /// Milliseconds that the caller still waits; passed on with what is left.
    std::string deadline = "Cassia-Deadline";
    /// The endpoint that must serve the request; any other refuses it.
    std::string expected_endpoint = "Cassia-Expect-Endpoint";
    /// An endpoint's proof that an answer is its own.
    std::string stamp = "Cassia-Stamp";
    /// An endpoint's word that it did not run the request.
    std::string not_run = "Cassia-Not-Run";
    /// Last event that the caller of a stream has; the endpoint goes on behind it.
    std::string last_event = "Last-Event-Id";
    /// The caller's key; never passed on.
    std::string key = "Cassia-Key";
    /// The team of a request, toward endpoints.
    std::string team = "Cassia-Team";
};

} // namespace cassia::gateway
