#include "cassia/net/http_client.h"

#include "cassia/net/raw_client.h"
#include "cassia/net/task.h"

#include <glib.h>

#include <algorithm>
#include <deque>
#include <optional>
#include <utility>

namespace cassia::net {

namespace {
constexpr std::string_view request_id_field = "Cassia-Request-Id";

struct active_call {
    http_call call;
    std::shared_ptr<const http_call_hooks> hooks; ///< outlive a call that is cancelled by one
    timer_id progress_timer;
    call_id wire;          ///< none while the call waits for a connection
    bool repeated = false; ///< over a new connection
    bool sent = false;
};

/// Calls to one address.
struct address_calls {
    unsigned running = 0;
    std::deque<call_id> waiting;
};
} // namespace

struct http_client::state : std::enable_shared_from_this<http_client::state> {
    state(task& task, const std::string& own_ip) : owner(&task), wire(task, own_ip) {}

    task* owner;
    raw_client wire;
    unsigned connections = 1; ///< most to one address
    std::map<call_id, active_call> calls;
    std::map<http_address, address_calls> addresses;
    std::uint64_t last_id = 0;

    void arm_progress_timer(call_id id);
    void begin_waiting(const http_address& to);
    void begin(call_id id);
    void on_head(call_id id, const raw_head& head);
    void on_failure(call_id id, const raw_failure& failure);
    void fail(call_id id, const error& cause);
    std::optional<active_call> remove(call_id id);
};

void http_client::state::arm_progress_timer(call_id id) {
    active_call& call = calls.at(id);
    owner->cancel(call.progress_timer);
    call.progress_timer = owner->after(call.call.progress_timeout, [this, id] {
        fail(id, {errc::silent, "no progress"});
    });
}

void http_client::state::begin_waiting(const http_address& to) {
    auto found = addresses.find(to);
    while (found != addresses.end() && found->second.running < connections &&
           !found->second.waiting.empty()) {
        const call_id next = found->second.waiting.front();
        found->second.waiting.pop_front();
        ++found->second.running;
        begin(next);
        found = addresses.find(to);
    }
}

static raw_request make_request(const http_call& call) {
    raw_request request;
    request.method = call.method;
    request.target = call.path;
    request.fields.add("Host", call.to.str());
    for (const std::pair<const std::string, std::string>& header : call.headers)
        request.fields.set(header.first, header.second);
    if (!call.body.empty())
        request.fields.set("Content-Type", call.content_type);
    if (call.fresh_connection)
        request.fields.set("Connection", "close");
    request.body = call.body;
    return request;
}

// Endpoints that repeat the request id show by it to which call a response belongs; without it, it
// is taken for the call's own.
static response_owner owner_of(const raw_head& head, const std::string& request_id) {
    const std::string_view named = head.fields.find(request_id_field);
    const bool is_foreign = !named.empty() && !request_id.empty() && named != request_id;
    return is_foreign ? response_owner::another_request : response_owner::this_request;
}

void http_client::state::begin(call_id id) {
    active_call& call = calls.at(id);
    raw_call out;
    out.to = call.call.to;
    out.request = make_request(call.call);
    out.fresh_connection = call.call.fresh_connection || call.repeated;
    out.connect_timeout = call.call.progress_timeout;
    out.find_owner = [request_id = std::string(out.request.fields.find(request_id_field))](
                         const raw_head& head) { return owner_of(head, request_id); };
    raw_call_hooks hooks;
    hooks.on_head = [this, id](const raw_head& head) { on_head(id, head); };
    hooks.on_piece = [this, id](std::string_view piece) {
        arm_progress_timer(id);
        const std::shared_ptr<const http_call_hooks> given = calls.at(id).hooks;
        given->on_piece(piece);
    };
    hooks.on_end = [this, id] { remove(id)->hooks->on_end(); };
    hooks.on_failure = [this, id](const raw_failure& failure) { on_failure(id, failure); };
    const call_id wire_id = wire.start(std::move(out), std::move(hooks));
    // The hooks may have run already: then the call is over, or has been repeated.
    auto found = calls.find(id);
    if (found != calls.end() && found->second.wire == call_id())
        found->second.wire = wire_id;
}

void http_client::state::on_head(call_id id, const raw_head& head) {
    arm_progress_timer(id);
    http_head given;
    given.status = head.status;
    for (const http_field& field : head.fields.all()) {
        std::string lower = field.name;
        std::transform(lower.begin(), lower.end(), lower.begin(), g_ascii_tolower);
        given.headers[lower] = field.value;
    }
    auto type = given.headers.find("content-type");
    if (type != given.headers.end())
        given.content_type = type->second;
    const std::shared_ptr<const http_call_hooks> hooks = calls.at(id).hooks;
    hooks->on_head(given);
}

// The other end may close a kept connection just as the request is sent.
void http_client::state::on_failure(call_id id, const raw_failure& failure) {
    active_call& call = calls.at(id);
    call.sent = call.sent || failure.sent;
    call.wire = call_id();
    const bool was_stale = failure.kept && !failure.answered && !call.call.fresh_connection;
    if (was_stale && !std::exchange(call.repeated, true))
        begin(id);
    else
        fail(id, failure.cause);
}

void http_client::state::fail(call_id id, const error& cause) {
    auto found = calls.find(id);
    if (found == calls.end())
        return;
    http_failure failed;
    failed.sent = found->second.sent || wire.was_sent(found->second.wire);
    failed.cause = cause;
    remove(id)->hooks->on_failure(failed);
}

std::optional<active_call> http_client::state::remove(call_id id) {
    auto found = calls.find(id);
    if (found == calls.end())
        return std::nullopt;
    active_call call = std::move(found->second);
    calls.erase(found);
    owner->cancel(call.progress_timer);
    wire.cancel(call.wire);
    address_calls& others = addresses[call.call.to];
    auto waiting = std::find(others.waiting.begin(), others.waiting.end(), id);
    if (waiting != others.waiting.end())
        others.waiting.erase(waiting);
    else
        --others.running;
    if (others.running == 0 && others.waiting.empty())
        addresses.erase(call.call.to);
    else
        owner->post([self = weak_from_this(), to = call.call.to] {
            if (const std::shared_ptr<state> held = self.lock())
                held->begin_waiting(to);
        });
    return call;
}

http_client::http_client(task& owner, unsigned connections, const std::string& own_ip)
    : state_(std::make_shared<state>(owner, own_ip)) {
    state_->connections = connections;
}

http_client::~http_client() {
    while (!state_->calls.empty())
        cancel(state_->calls.begin()->first);
}

// Begun from the loop: callers need not expect a hook in start().
call_id http_client::start(const http_call& call, http_call_hooks hooks) {
    const call_id id(++state_->last_id);
    active_call& active = state_->calls[id];
    active.call = call;
    active.hooks = std::make_shared<const http_call_hooks>(std::move(hooks));
    state_->addresses[call.to].waiting.push_back(id);
    state_->arm_progress_timer(id);
    state_->owner->post([self = state_->weak_from_this(), to = call.to] {
        if (const std::shared_ptr<state> held = self.lock())
            held->begin_waiting(to);
    });
    return id;
}

void http_client::cancel(call_id id) {
    state_->remove(id);
}

std::size_t http_client::open_calls() const {
    return state_->calls.size();
}

call_id fetch(http_client& client, const http_call& call,
              const std::function<void(outcome<http_answer, http_failure>)>& done) {
    std::shared_ptr<http_answer> answer = std::make_shared<http_answer>();
    http_call_hooks hooks;
    hooks.on_head = [answer](const http_head& head) { answer->head = head; };
    hooks.on_piece = [answer](std::string_view piece) { answer->body.append(piece); };
    hooks.on_end = [answer, done] { done(std::move(*answer)); };
    hooks.on_failure = [done](const http_failure& failed) { done(failure(failed)); };
    return client.start(call, std::move(hooks));
}

} // namespace cassia::net
