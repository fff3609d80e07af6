#include "cassia/entry/http_task.h"

#include "cassia/base/digest.h"
#include "cassia/base/log.h"
#include "cassia/entry/announce_api.h"
#include "cassia/entry/authentication.h"
#include "cassia/entry/batch_api.h"
#include "cassia/entry/online_calls.h"
#include "cassia/entry/operator_api.h"
#include "cassia/entry/request_text.h"

#include <boost/json.hpp>

#include <algorithm>
#include <csignal>
#include <utility>

namespace cassia::entry {

namespace {
constexpr milliseconds tick_interval(20);
constexpr milliseconds drained_check_interval(50);
constexpr std::size_t max_kept_decisions = 20000;
} // namespace

void http_context::reject(exchange_id exchange, const rejection& rejected,
                          const std::string& request_id) {
    server->respond(exchange, to_http_response(rejected, request_id));
}

static bool starts_with(const std::string& text, std::string_view prefix) {
    return text.compare(0, prefix.size(), prefix) == 0;
}

http_task::http_task(const schema::entry_settings& settings, control_task& control,
                     http_task_hooks hooks)
    : settings_(settings), hooks_(std::move(hooks)), task_("front"),
      decisions_(max_kept_decisions), context_{settings_,  task_,   control, metrics_,
                                               decisions_, nullptr, nullptr, false} {
    context_.view = std::make_shared<cluster_view>();
}

http_task::~http_task() = default;

std::string http_task::open() {
    net::http_limits limits;
    limits.header_bytes = settings_.max_header_bytes();
    limits.body_bytes = [this](const std::string&, const std::string& path) -> std::size_t {
        return path == "/v1/batches" ? settings_.max_batch_bytes() : settings_.max_body_bytes();
    };
    // The largest body has a place when nothing else is held.
    limits.all_bodies_bytes = settings_.max_batch_bytes();
    net::http_server_hooks hooks;
    hooks.on_request = [this](exchange_id exchange, net::http_request request) {
        on_request(exchange, std::move(request));
    };
    hooks.on_gone = [this](exchange_id exchange) { online_->on_caller_disconnected(exchange); };
    hooks.on_refused = [this](int status) {
        const bool header_too_large = status == http_status_of(rejection_code::header_too_large);
        const std::string limit = std::to_string(header_too_large ? settings_.max_header_bytes()
                                                                  : settings_.max_body_bytes());
        const rejection rejected{header_too_large ? rejection_code::header_too_large
                                                  : rejection_code::too_large,
                                 header_too_large ? "headers are over " + limit + " bytes"
                                                  : "the body is over the limit"};
        return to_http_response(rejected, random_name("r-"));
    };
    hooks.on_crowded = [this](const net::http_request& request) {
        metrics_.count("bodies_refused");
        return to_http_response({rejection_code::crowded, "too many bytes of others are held",
                                 run_state_before_lookup(request), default_retry_after},
                                random_name("r-"));
    };
    server_ = std::make_unique<net::http_server>(task_, std::move(limits), std::move(hooks));
    context_.server = server_.get();
    online_ = std::make_unique<online_calls>(context_, [this](batch_capacities capacities) {
        hooks_.on_batch_capacities(std::move(capacities));
    });
    batch_ = std::make_unique<batch_api>(context_);
    operators_ = std::make_unique<operator_api>(context_, [this] { drain(); });
    announcements_ = std::make_unique<announce_api>(context_);
    const net::result<void> listen_result = server_->listen(http_address(settings_.http_address()));
    if (!listen_result)
        return listen_result.error().text;
    task_.every(tick_interval, [this] {
        online_->tick(monotonic_now());
        if (context_.draining)
            check_drained();
    });
    net::on_signal(task_, SIGTERM, [this] { drain(); });
    net::on_signal(task_, SIGINT, [this] { drain(); });
    net::on_signal(task_, SIGUSR1, [this] { log_state_dump(); });
    net::on_signal(task_, SIGHUP, [] { log_info("settings_kept"); });
    return "";
}

void http_task::run() {
    net::deliver_signals();
    task_.run();
}

void http_task::set_view(cluster_view_ptr view) {
    task_.post([this, view = std::move(view)] {
        context_.view = view;
        online_->on_view_changed();
    });
}

void http_task::set_batch_uses(std::vector<endpoint_use> uses) {
    task_.post([this, uses = std::move(uses)] { online_->set_batch_uses(uses); });
}

void http_task::add_decision(decision added) {
    task_.post([this, added = std::move(added)] {
        decisions_.add(added.kind, added.subject, added.object, added.reason);
    });
}

// Callers may cache the list of entries for its max_age. This entry therefore first leaves the
// list, keeps accepting requests until every cached list that names it has expired, and stops when
// its open requests are done or the drain timeout expires.
void http_task::drain() {
    task_.post([this] {
        if (context_.draining)
            return;
        context_.draining = true;
        draining_since_ = monotonic_now();
        log_info("draining").with("open", server_->open_exchanges());
        context_.control.set_draining();
        hooks_.drain_batch();
    });
}

void http_task::check_drained() {
    const microseconds elapsed = monotonic_now() - draining_since_;
    const bool lists_expired = elapsed >= milliseconds(settings_.entries_max_age_ms());
    if (!lists_expired)
        return;
    server_->stop_listening();
    const bool all_completed = server_->open_exchanges() == 0;
    const bool timed_out = elapsed >= milliseconds(settings_.drain_timeout_ms());
    if (!all_completed && !timed_out)
        return;
    log_info("drained").with("cut_off", server_->open_exchanges());
    hooks_.on_drained();
    task_.quit();
}

void http_task::on_request(exchange_id exchange, net::http_request request) {
    const std::string request_id = random_name("r-");
    metrics_.count("requests");
    const std::string& path = request.path;
    // Names are sent to the keepers in protobuf string fields. A message whose string is not valid
    // UTF-8 would be dropped on the way, and the caller would wait for a response that never comes.
    if (!is_valid_utf8(path) || !is_valid_utf8(request.header("idempotency-key"))) {
        context_.reject(exchange, {rejection_code::bad_request, "path and key must be UTF-8"},
                        request_id);
        return;
    }
    if (path == "/v1/announce") {
        announcements_->serve(exchange, request, request_id);
        return;
    }
    if (path == "/v1/entries") {
        serve_entries(exchange, request_id);
        return;
    }
    if (path == "/debug/dump") {
        serve_dump(exchange);
        return;
    }
    if (path == "/metrics") {
        serve_metrics(exchange);
        return;
    }
    if (starts_with(path, "/v1/operator/")) {
        operators_->serve(exchange, request, request_id);
        return;
    }
    const bool is_model_call = path == "/v1/completions" || path == "/v1/chat/completions";
    const bool is_service_call = starts_with(path, "/v1/services/");
    const bool is_batch_request = path == "/v1/batches" || starts_with(path, "/v1/batches/");
    if (!is_model_call && !is_service_call && !is_batch_request) {
        context_.reject(exchange, {rejection_code::not_found, "no such path"}, request_id);
        return;
    }
    const bool lists_expired =
        context_.draining &&
        monotonic_now() - draining_since_ >= milliseconds(settings_.entries_max_age_ms());
    if (lists_expired) {
        context_.reject(exchange,
                        {rejection_code::draining, "this entry is leaving",
                         run_state_before_lookup(request), default_retry_after},
                        request_id);
        return;
    }
    const std::optional<authenticated_caller> caller = authenticate(exchange, request, request_id);
    if (!caller)
        return;
    if (is_model_call)
        online_->serve_model(exchange, std::move(request), *caller, request_id);
    else if (is_service_call)
        online_->serve_service(exchange, std::move(request), *caller, request_id);
    else
        batch_->serve(exchange, request, *caller, request_id);
}

std::optional<authenticated_caller> http_task::authenticate(exchange_id exchange,
                                                            const net::http_request& request,
                                                            const std::string& request_id) {
    // Neither whether a key is valid nor whether it is unknown can be told without a current
    // configuration. This task may resume from a freeze before the control task has published a new
    // view, so the age of the configuration is judged here.
    const bool has_catalog = context_.view->catalog != nullptr;
    if (!has_catalog || context_.view->is_stale(monotonic_now())) {
        const char* reason = has_catalog ? "this entry is cut off from the configuration"
                                         : "this entry has no configuration yet";
        metrics_.count("refused_stale");
        context_.reject(
            exchange,
            {rejection_code::stale, reason, run_state_before_lookup(request), default_retry_after},
            request_id);
        return std::nullopt;
    }
    authenticated_caller caller;
    caller.catalog = context_.view->catalog;
    caller.plan = caller.catalog->find_by_key(bearer_token(request));
    if (caller.plan != nullptr)
        return caller;
    context_.reject(exchange, {rejection_code::unauthorized, "unknown key"}, request_id);
    return std::nullopt;
}

void http_task::serve_entries(exchange_id exchange, const std::string& request_id) {
    boost::json::array entries;
    for (const listed_entry& entry : context_.view->entries)
        entries.push_back({{"address", entry.address}, {"zone", entry.zone.str()}, {"weight", 1}});
    const boost::json::object body = {{"entries", std::move(entries)},
                                      {"max_age", settings_.entries_max_age_ms()},
                                      {"version", context_.view->entries_version}};
    net::http_response response;
    response.body = boost::json::serialize(body);
    constexpr unsigned ms_per_second = 1000;
    response.headers["Cache-Control"] =
        "max-age=" + std::to_string(settings_.entries_max_age_ms() / ms_per_second);
    response.headers["Cassia-Request-Id"] = request_id;
    server_->respond(exchange, response);
}

void http_task::serve_dump(exchange_id exchange) {
    const std::string online = boost::json::serialize(online_->dump(monotonic_now()));
    context_.control.dump(task_, [this, exchange, online](const std::string& control) {
        hooks_.dump_batch([this, exchange, online, control](const std::string& batch) {
            net::http_response response;
            response.body = "{\"entry\":\"" + settings_.name() + "\",\"zone\":\"" +
                            settings_.zone() + "\",\"control\":" + control +
                            ",\"online\":" + online + ",\"batch\":" + batch + "}";
            server_->respond(exchange, response);
        });
    });
}

void http_task::serve_metrics(exchange_id exchange) {
    net::http_response response;
    response.content_type = "text/plain; version=0.0.4";
    response.body = metrics_.to_text("cassia_entry_");
    server_->respond(exchange, response);
}

void http_task::log_state_dump() {
    const std::string online = boost::json::serialize(online_->dump(monotonic_now()));
    context_.control.dump(task_, [online](const std::string& control) {
        log_info("state_dump").with("control", control).with("online", online);
    });
}

} // namespace cassia::entry
