/// The HTTP interface for operators, which any entry serves: /v1/operator/.
#pragma once

#include "cassia/entry/http_task.h"

#include <functional>
#include <string>

namespace cassia::entry {

class operator_api {
public:
    operator_api(http_context& context, std::function<void()> drain)
        : context_(context), drain_(std::move(drain)) {}

    void serve(exchange_id exchange, const net::http_request& request,
               const std::string& request_id);

private:
    void apply(exchange_id exchange, const net::http_request& request,
               const std::string& request_id);
    void history(exchange_id exchange, const std::string& request_id);
    void explain(exchange_id exchange, const std::string& subject);
    void status(exchange_id exchange);

    http_context& context_;
    std::function<void()> drain_;
};

} // namespace cassia::entry
