#include "cassia/standin/engine.h"

#include "cassia/base/digest.h"
#include "cassia/base/log.h"
#include "cassia/standin/answer_text.h"

#include <boost/json.hpp>

#include <algorithm>
#include <cstdlib>
#include <utility>

namespace cassia::standin {

namespace {
constexpr milliseconds step_interval(1);
constexpr milliseconds leave_check(50);
constexpr std::size_t prefix_chars = 256;
constexpr double cached_prefix_factor = 0.4;
constexpr int exit_crashed = 70;
constexpr std::size_t kv_per_stream = 1000;
constexpr std::size_t most_cache_events = 200;
// Cache events get lost on the way: every so many are never published.
constexpr std::uint64_t lost_cache_event = 5;
} // namespace

engine::engine(net::task& task, const schema::standin_settings& settings)
    : task_(task), settings_(settings), announcer_(task, settings, [this] { return load(); }) {}

std::string engine::open() {
    net::http_server_hooks hooks;
    hooks.on_request = [this](exchange_id exchange, const net::http_request& request) {
        on_request(exchange, request);
    };
    hooks.on_gone = [this](exchange_id exchange) { gone(exchange); };
    hooks.on_refused = [](int status) { return net::http_response{status, "text/plain", {}, ""}; };
    constexpr std::size_t body_limit = 64 << 20;
    server_ = std::make_unique<net::http_server>(
        task_,
        net::http_limits{65536, [](const std::string&, const std::string&) { return body_limit; }},
        std::move(hooks));
    const net::result<void> listening = server_->listen(
        http_address(settings_.bind().empty() ? settings_.address() : settings_.bind()));
    if (!listening)
        return listening.error().text;
    task_.every(step_interval, [this] { step(); });
    announcer_.start();
    return "";
}

void engine::leave() {
    announcer_.leave();
    task_.every(leave_check, [this] {
        if (running_.empty() && waiting_.empty() && server_->open_exchanges() == 0)
            task_.quit();
    });
}

reported_load engine::load() const {
    const std::size_t streams = running_.size();
    return {static_cast<std::uint32_t>(streams), static_cast<std::uint32_t>(waiting_.size()),
            streams * kv_per_stream, settings_.max_running() * kv_per_stream};
}

void engine::respond(exchange_id exchange, int status, const boost::json::object& body) {
    net::http_response response;
    response.status = status;
    response.body = boost::json::serialize(body);
    server_->respond(exchange, response);
}

void engine::on_request(exchange_id exchange, const net::http_request& request) {
    const std::string& path = request.path;
    if (path == "/v1/completions" || path == "/v1/chat/completions")
        complete(exchange, request);
    else if (path == "/orders")
        order(exchange, request);
    else if (path == "/faults")
        fault(exchange, request);
    else if (path == "/stats")
        show_stats(exchange);
    else if (path == "/cache/events")
        show_cache_events(exchange);
    else if (path == "/kv/export" || path == "/kv/import")
        respond(exchange, 200, {{"tokens", prefixes_.size()}});
    else if (path == "/health")
        respond(exchange, 200, {{"state", "up"}});
    else
        respond(exchange, 404, {{"error", "no such path"}});
}

static std::string prompt_of(const boost::json::object& body) {
    if (const boost::json::value* messages = body.if_contains("messages"))
        return boost::json::serialize(*messages);
    const boost::json::value* prompt = body.if_contains("prompt");
    return prompt != nullptr && prompt->is_string() ? std::string(prompt->as_string())
                                                    : std::string();
}

static std::uint32_t number_member(const boost::json::object& body, const char* name,
                                   std::uint32_t otherwise) {
    const boost::json::value* member = body.if_contains(name);
    if (member == nullptr || !member->is_int64() || member->as_int64() < 0)
        return otherwise;
    return static_cast<std::uint32_t>(member->as_int64());
}

void engine::complete(exchange_id exchange, const net::http_request& request) {
    if (breaks_) {
        server_->begin_stream(exchange, net::http_response());
        server_->abort_stream(exchange);
        return;
    }
    boost::json::error_code problem;
    const boost::json::value parsed = boost::json::parse(request.body, problem);
    if (problem || !parsed.is_object()) {
        respond(exchange, 400, {{"error", "expected a JSON object"}});
        return;
    }
    const boost::json::object& body = parsed.as_object();
    stream one;
    one.exchange = exchange;
    one.request_id = request.header("cassia-request-id");
    one.prompt = prompt_of(body);
    one.poison =
        !settings_.poison().empty() && one.prompt.find(settings_.poison()) != std::string::npos;
    crash_if_due(one);
    const boost::json::value* streams = body.if_contains("stream");
    one.streams = streams != nullptr && streams->is_bool() && streams->as_bool();
    one.chat = request.path == "/v1/chat/completions";
    one.next = number_member(body, "resume_from", 0);
    one.end = number_member(body, "max_tokens", settings_.default_tokens());
    ++ran_[one.request_id];
    ++ran_text_[one.prompt];
    ++started_;
    if (silent_)
        return;
    waiting_.push_back(std::move(one));
    admit(monotonic_now());
}

void engine::crash_if_due(const stream& one) const {
    if (!one.poison || one.next < settings_.poison_tokens())
        return;
    log_error("crashed").with("request", one.request_id);
    std::_Exit(exit_crashed);
}

microseconds engine::token_time() const {
    const double others = running_.empty() ? 0 : static_cast<double>(running_.size() - 1);
    const double factor = (1 + settings_.slowdown() * others) * slower_;
    return microseconds(static_cast<std::int64_t>(settings_.token_us() * factor));
}

microseconds engine::first_token_time(const stream& one) const {
    const double others = running_.empty() ? 0 : static_cast<double>(running_.size() - 1);
    const double factor =
        (1 + settings_.slowdown() * others) * slower_ * (one.cached ? cached_prefix_factor : 1.0);
    return microseconds(static_cast<std::int64_t>(settings_.first_token_us() * factor));
}

bool engine::remember_prefix(const std::string& prompt) {
    const std::uint64_t prefix = stable_hash(std::string_view(prompt).substr(0, prefix_chars));
    const bool known = prefixes_.count(prefix) > 0;
    prefix_hits_ += known ? 1 : 0;
    prefixes_[prefix] = ++prefix_uses_;
    if (!known && prefix_uses_ % lost_cache_event != 0 && cache_events_.size() < most_cache_events)
        cache_events_.push_back({{"stored", prefix}, {"sequence", prefix_uses_}});
    if (prefixes_.size() > settings_.prefix_cache_entries()) {
        auto oldest =
            std::min_element(prefixes_.begin(), prefixes_.end(),
                             [](const auto& a, const auto& b) { return a.second < b.second; });
        prefixes_.erase(oldest);
    }
    return known;
}

void engine::admit(instant now) {
    while (!waiting_.empty() && running_.size() < settings_.max_running()) {
        running_.push_back(std::move(waiting_.front()));
        waiting_.pop_front();
        stream& one = running_.back();
        one.cached = remember_prefix(one.prompt);
        one.due = now + first_token_time(one);
    }
    most_running_ = std::max(most_running_, static_cast<std::uint32_t>(running_.size()));
}

std::string engine::text_of(const stream& one, std::uint32_t token) const {
    const std::string& version = settings_.software_version();
    return token_text(one.prompt, token) + (version.empty() ? "" : "@" + version);
}

std::string engine::event_of(const stream& one, std::uint32_t token) const {
    const std::string text = text_of(one, token);
    boost::json::object choice{{"index", 0}};
    if (one.chat)
        choice["delta"] = {{"content", text}};
    else
        choice["text"] = text;
    choice["finish_reason"] = nullptr;
    if (token + 1 == one.end)
        choice["finish_reason"] = "length";
    const boost::json::object event{{"id", "cmpl-" + one.request_id},
                                    {"model", settings_.service()},
                                    {"choices", boost::json::array{std::move(choice)}}};
    return "data: " + boost::json::serialize(event) + "\n\n";
}

bool engine::emit(stream& one) {
    const instant now = monotonic_now();
    std::string events;
    while (one.next < one.end && one.due <= now) {
        if (one.streams)
            events += event_of(one, one.next);
        else
            one.text += text_of(one, one.next);
        ++one.next;
        one.due += token_time();
    }
    if (one.streams && !events.empty()) {
        if (!one.begun) {
            one.begun = true;
            net::http_response head;
            head.content_type = "text/event-stream";
            server_->begin_stream(one.exchange, head);
        }
        server_->stream(one.exchange, events);
    }
    crash_if_due(one);
    return one.next >= one.end && one.due <= now + token_time();
}

void engine::finish(const stream& one) {
    ++finished_;
    if (one.streams) {
        if (!one.begun)
            server_->begin_stream(one.exchange, {200, "text/event-stream", {}, ""});
        server_->stream(one.exchange, "data: [DONE]\n\n");
        server_->end_stream(one.exchange);
        return;
    }
    boost::json::object choice{{"index", 0}, {"finish_reason", "length"}};
    if (one.chat)
        choice["message"] = {{"role", "assistant"}, {"content", one.text}};
    else
        choice["text"] = one.text;
    respond(one.exchange, 200,
            {{"id", "cmpl-" + one.request_id},
             {"model", settings_.service()},
             {"choices", boost::json::array{std::move(choice)}},
             {"usage", {{"completion_tokens", one.end}}}});
}

void engine::step() {
    if (running_.empty())
        return;
    std::list<stream> done;
    for (auto one = running_.begin(); one != running_.end();) {
        auto next = std::next(one);
        if (emit(*one))
            done.splice(done.end(), running_, one);
        one = next;
    }
    for (const stream& one : done)
        finish(one);
    if (!done.empty())
        admit(monotonic_now());
}

void engine::gone(exchange_id exchange) {
    const auto is_it = [exchange](const stream& one) { return one.exchange == exchange; };
    const std::size_t before = running_.size() + waiting_.size();
    running_.remove_if(is_it);
    waiting_.erase(std::remove_if(waiting_.begin(), waiting_.end(), is_it), waiting_.end());
    dropped_ += before - running_.size() - waiting_.size();
    admit(monotonic_now());
}

void engine::order(exchange_id exchange, const net::http_request& request) {
    boost::json::error_code problem;
    const boost::json::value parsed = boost::json::parse(request.body, problem);
    if (problem || !parsed.is_object() || !parsed.as_object().contains("fence")) {
        respond(exchange, 400, {{"error", "expected an order with a fence"}});
        return;
    }
    const std::uint64_t fence = number_member(parsed.as_object(), "fence", 0);
    if (settings_.checks_fence() && fence < fence_) {
        respond(exchange, 409, {{"error", "old fence"}, {"fence", fence_}});
        return;
    }
    fence_ = std::max(fence_, fence);
    loaded_ = parsed.as_object();
    respond(exchange, 200, {{"fence", fence_}});
}

void engine::fault(exchange_id exchange, const net::http_request& request) {
    boost::json::error_code problem;
    const boost::json::value parsed = boost::json::parse(request.body, problem);
    if (problem || !parsed.is_object()) {
        respond(exchange, 400, {{"error", "expected a JSON object"}});
        return;
    }
    const boost::json::object& body = parsed.as_object();
    if (const boost::json::value* slower = body.if_contains("slower"))
        slower_ = slower->to_number<double>();
    if (const boost::json::value* silent = body.if_contains("silent"))
        silent_ = silent->is_bool() && silent->as_bool();
    if (const boost::json::value* breaks = body.if_contains("breaks"))
        breaks_ = breaks->is_bool() && breaks->as_bool();
    respond(exchange, 200, {{"silent", silent_}, {"slower", slower_}, {"breaks", breaks_}});
}

void engine::show_stats(exchange_id exchange) {
    boost::json::object ran(ran_.begin(), ran_.end());
    boost::json::object prompts(ran_text_.begin(), ran_text_.end());
    respond(exchange, 200,
            {{"started", started_},
             {"finished", finished_},
             {"dropped", dropped_},
             {"running", running_.size()},
             {"waiting", waiting_.size()},
             {"most_running", most_running_},
             {"prefix_hits", prefix_hits_},
             {"last_order", loaded_},
             {"fence", fence_},
             {"ran", std::move(ran)},
             {"prompts", std::move(prompts)}});
}

void engine::show_cache_events(exchange_id exchange) {
    respond(exchange, 200, {{"events", std::exchange(cache_events_, boost::json::array())}});
}

} // namespace cassia::standin
