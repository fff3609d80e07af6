#include "cassia/standin/plain_service.h"

#include "cassia/base/log.h"

#include <boost/json.hpp>

#include <algorithm>
#include <cstdlib>
#include <utility>

namespace cassia::standin {

namespace {
constexpr milliseconds leave_check(50);
constexpr std::size_t body_limit = 64 << 20;
constexpr int exit_crashed = 70;
constexpr std::uint32_t us_per_ms = 1000;
} // namespace

static std::unique_ptr<net::http_server>
make_server(net::task& task, std::function<void(exchange_id, const net::http_request&)> on_request,
            std::function<void(exchange_id)> on_gone) {
    net::http_server_hooks hooks;
    hooks.on_request = std::move(on_request);
    hooks.on_gone = std::move(on_gone);
    hooks.on_refused = [](int status) { return net::http_response{status, "text/plain", {}, ""}; };
    return std::make_unique<net::http_server>(
        task,
        net::http_limits{65536, [](const std::string&, const std::string&) { return body_limit; }},
        std::move(hooks));
}

static void respond(net::http_server& server, exchange_id exchange, int status,
                    const boost::json::object& body) {
    net::http_response response;
    response.status = status;
    response.body = boost::json::serialize(body);
    server.respond(exchange, response);
}

plain_service::plain_service(net::task& task, const schema::standin_settings& settings)
    : task_(task), settings_(settings), announcer_(task, settings, [this] {
          return reported_load{static_cast<std::uint32_t>(running_.size()), 0, 0, 0};
      }) {}

std::string plain_service::open() {
    server_ = make_server(
        task_,
        [this](exchange_id exchange, const net::http_request& request) {
            on_request(exchange, request);
        },
        [this](exchange_id exchange) { running_.erase(exchange); });
    const net::result<void> listening = server_->listen(
        http_address(settings_.bind().empty() ? settings_.address() : settings_.bind()));
    if (!listening)
        return listening.error().text;
    announcer_.start();
    return "";
}

void plain_service::leave() {
    announcer_.leave();
    task_.every(leave_check, [this] {
        if (server_->open_exchanges() == 0)
            task_.quit();
    });
}

void plain_service::on_request(exchange_id exchange, const net::http_request& request) {
    if (request.path == "/health") {
        respond(*server_, exchange, 200, {{"state", "up"}});
        return;
    }
    if (request.path == "/stats") {
        respond(*server_, exchange, 200,
                {{"calls", calls_},
                 {"running", running_.size()},
                 {"ran", boost::json::object(ran_.begin(), ran_.end())},
                 {"bodies", boost::json::object(ran_bodies_.begin(), ran_bodies_.end())}});
        return;
    }
    if (request.path == "/faults") {
        silent_ = request.body.find("silent") != std::string::npos;
        dies_after_ = request.body.find("die_after") != std::string::npos;
        respond(*server_, exchange, 200, {{"silent", silent_}, {"die_after", dies_after_}});
        return;
    }
    ++calls_;
    ++ran_[request.header("cassia-request-id")];
    ++ran_bodies_[request.body];
    if (dies_after_)
        std::_Exit(exit_crashed);
    if (silent_)
        return;
    running_.insert(exchange);
    task_.after(milliseconds(settings_.first_token_us() / us_per_ms),
                [this, exchange, request] { answer(exchange, request); });
}

void plain_service::answer(exchange_id exchange, const net::http_request& request) {
    boost::json::error_code problem;
    boost::json::value body = boost::json::parse(request.body, problem);
    if (problem)
        body = boost::json::string(request.body);
    respond(*server_, exchange, 200,
            {{"service", settings_.service()},
             {"method", request.method},
             {"path", request.path},
             {"echo", std::move(body)}});
}

weight_store::weight_store(net::task& task, const schema::standin_settings& settings)
    : task_(task), settings_(settings) {}

std::string weight_store::open() {
    server_ = make_server(
        task_,
        [this](exchange_id exchange, const net::http_request& request) {
            on_request(exchange, request);
        },
        [](exchange_id) {});
    const net::result<void> listening = server_->listen(
        http_address(settings_.bind().empty() ? settings_.address() : settings_.bind()));
    return listening ? "" : listening.error().text;
}

void weight_store::on_request(exchange_id exchange, const net::http_request& request) {
    constexpr std::string_view weights = "/weights/";
    if (request.path.compare(0, weights.size(), weights) != 0) {
        respond(*server_, exchange, 404, {{"error", "no such path"}});
        return;
    }
    const instant now = monotonic_now();
    const double rate = settings_.weights_per_s();
    const double passed = static_cast<double>((now - filled_at_).count()) / 1e6;
    tokens_ = std::min(rate, tokens_ + rate * passed);
    filled_at_ = now;
    if (tokens_ < 1) {
        net::http_response response;
        response.status = 429;
        response.headers["Retry-After"] = "1";
        response.body = R"({"error":"rate limit"})";
        server_->respond(exchange, response);
        return;
    }
    tokens_ -= 1;
    ++served_;
    respond(*server_, exchange, 200, {{"weights", request.path.substr(weights.size())}});
}

} // namespace cassia::standin
