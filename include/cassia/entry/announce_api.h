/// Handles the periodic announcements of endpoints: POST /v1/announce.
#pragma once

#include "cassia/entry/http_task.h"

#include <string>

namespace cassia::entry {

class announce_api {
public:
    explicit announce_api(http_context& context) : context_(context) {}

    void serve(exchange_id exchange, const net::http_request& request,
               const std::string& request_id);

private:
    http_context& context_;
};

} // namespace cassia::entry
