#include "cassia/net/http_client.h"

#include "cassia/net/task.h"

#include <libsoup/soup.h>

#include <utility>

namespace cassia::net {

namespace {
constexpr gsize piece_bytes = 65536;

struct active_call {
    SoupMessage* message = nullptr;
    GCancellable* cancellable = nullptr;
    GInputStream* stream = nullptr;
    http_call_hooks hooks;
    milliseconds progress_timeout{};
    timer_id progress_timer;
    bool sent = false;
    bool timed_out = false;
};

/// What a libsoup callback needs to find its call again, which may be gone by then.
struct call_reference {
    std::weak_ptr<http_client::state> client;
    call_id id;
};
} // namespace

struct http_client::state : std::enable_shared_from_this<http_client::state> {
    task* owner = nullptr;
    SoupSession* session = nullptr;
    std::map<call_id, active_call> calls;
    std::map<SoupMessage*, call_id> ids;
    std::uint64_t last_id = 0;
};

static void release(http_client::state* client, std::map<call_id, active_call>::iterator call) {
    client->owner->cancel(call->second.progress_timer);
    client->ids.erase(call->second.message);
    g_signal_handlers_disconnect_by_data(call->second.message, client);
    if (call->second.stream != nullptr)
        g_object_unref(call->second.stream);
    g_object_unref(call->second.message);
    g_object_unref(call->second.cancellable);
    client->calls.erase(call);
}

static void fail(http_client::state* client, call_id id, const GError* problem) {
    auto found = client->calls.find(id);
    if (found == client->calls.end())
        return;
    active_call& call = found->second;
    http_failure failed;
    failed.sent = call.sent;
    failed.cause.code = call.sent ? errc::connection_lost : errc::cannot_connect;
    failed.cause.text = problem != nullptr ? problem->message : "connection lost";
    if (call.timed_out)
        failed.cause = {errc::silent, "no progress"};
    http_call_hooks hooks = std::move(call.hooks);
    release(client, found);
    hooks.on_failure(failed);
}

static void arm_progress_timer(http_client::state* client, call_id id) {
    active_call& call = client->calls.at(id);
    client->owner->cancel(call.progress_timer);
    call.progress_timer = client->owner->after(call.progress_timeout, [client, id] {
        auto found = client->calls.find(id);
        if (found == client->calls.end())
            return;
        found->second.timed_out = true;
        g_cancellable_cancel(found->second.cancellable);
    });
}

static void read_more(http_client::state* client, call_id id);

static void on_read(GObject* source, GAsyncResult* async, void* data) {
    std::unique_ptr<call_reference> reference(static_cast<call_reference*>(data));
    GError* problem = nullptr;
    GBytes* piece = g_input_stream_read_bytes_finish(G_INPUT_STREAM(source), async, &problem);
    const std::shared_ptr<http_client::state> held = reference->client.lock();
    http_client::state* client = held.get();
    if (piece == nullptr || client == nullptr) {
        if (client != nullptr)
            fail(client, reference->id, problem);
        g_clear_error(&problem);
        g_clear_pointer(&piece, g_bytes_unref);
        return;
    }
    gsize size = 0;
    const char* content = static_cast<const char*>(g_bytes_get_data(piece, &size));
    auto found = client->calls.find(reference->id);
    if (found != client->calls.end() && size == 0) {
        http_call_hooks hooks = std::move(found->second.hooks);
        release(client, found);
        hooks.on_end();
    } else if (found != client->calls.end()) {
        arm_progress_timer(client, reference->id);
        found->second.hooks.on_piece(std::string_view(content, size));
        if (client->calls.count(reference->id) > 0)
            read_more(client, reference->id);
    }
    g_bytes_unref(piece);
}

static void read_more(http_client::state* client, call_id id) {
    active_call& call = client->calls.at(id);
    g_input_stream_read_bytes_async(call.stream, piece_bytes, G_PRIORITY_DEFAULT, call.cancellable,
                                    on_read, new call_reference{client->weak_from_this(), id});
}

static void add_header(const char* name, const char* value, void* data) {
    char* lower = g_ascii_strdown(name, -1);
    (*static_cast<std::map<std::string, std::string>*>(data))[lower] = value;
    g_free(lower);
}

static void on_head(GObject* source, GAsyncResult* async, void* data) {
    std::unique_ptr<call_reference> reference(static_cast<call_reference*>(data));
    GError* problem = nullptr;
    GInputStream* stream = soup_session_send_finish(SOUP_SESSION(source), async, &problem);
    const std::shared_ptr<http_client::state> held = reference->client.lock();
    http_client::state* client = held.get();
    if (stream == nullptr || client == nullptr) {
        if (client != nullptr)
            fail(client, reference->id, problem);
        g_clear_error(&problem);
        g_clear_object(&stream);
        return;
    }
    auto found = client->calls.find(reference->id);
    if (found == client->calls.end()) {
        g_object_unref(stream);
        return;
    }
    found->second.stream = stream;
    arm_progress_timer(client, reference->id);
    http_head head;
    head.status = static_cast<int>(soup_message_get_status(found->second.message));
    SoupMessageHeaders* headers = soup_message_get_response_headers(found->second.message);
    soup_message_headers_foreach(headers, add_header, &head.headers);
    auto type = head.headers.find("content-type");
    if (type != head.headers.end())
        head.content_type = type->second;
    found->second.hooks.on_head(head);
    if (client->calls.count(reference->id) > 0)
        read_more(client, reference->id);
}

static void on_starting(SoupMessage* message, void* data) {
    http_client::state* client = static_cast<http_client::state*>(data);
    auto found = client->ids.find(message);
    if (found != client->ids.end())
        client->calls.at(found->second).sent = true;
}

http_client::http_client(task& owner, unsigned connections, const std::string& own_ip)
    : state_(std::make_shared<state>()) {
    constexpr unsigned most_connections = 20000;
    constexpr unsigned idle_seconds = 30;
    state_->owner = &owner;
    // libsoup works on the context that is the thread's default when it is called, and callers may
    // call before their task runs.
    g_main_context_push_thread_default(owner.context());
    GInetSocketAddress* local =
        own_ip.empty()
            ? nullptr
            : G_INET_SOCKET_ADDRESS(g_inet_socket_address_new_from_string(own_ip.c_str(), 0));
    state_->session = soup_session_new_with_options(
        "local-address", local, "max-conns", most_connections, "max-conns-per-host", connections,
        "idle-timeout", idle_seconds, "timeout", 0U, nullptr);
    g_clear_object(&local);
    soup_session_set_proxy_resolver(state_->session, nullptr);
    g_main_context_pop_thread_default(owner.context());
}

http_client::~http_client() {
    while (!state_->calls.empty())
        cancel(state_->calls.begin()->first);
    soup_session_abort(state_->session);
    g_object_unref(state_->session);
}

call_id http_client::start(const http_call& call, http_call_hooks hooks) {
    const call_id id(++state_->last_id);
    active_call& active = state_->calls[id];
    const std::string uri = "http://" + call.to.str() + call.path;
    active.message = soup_message_new(call.method.c_str(), uri.c_str());
    active.cancellable = g_cancellable_new();
    active.hooks = std::move(hooks);
    active.progress_timeout = call.progress_timeout;
    if (active.message == nullptr) {
        // Reported from the loop, as every failure is: callers need not expect a hook in start().
        active.message = soup_message_new("GET", "http://127.0.0.1/");
        http_client::state* client = state_.get();
        state_->owner->post([client, id] { fail(client, id, nullptr); });
        return id;
    }
    state_->ids[active.message] = id;
    SoupMessageHeaders* headers = soup_message_get_request_headers(active.message);
    for (const std::pair<const std::string, std::string>& header : call.headers)
        soup_message_headers_replace(headers, header.first.c_str(), header.second.c_str());
    if (!call.body.empty()) {
        GBytes* body = g_bytes_new(call.body.data(), call.body.size());
        soup_message_set_request_body_from_bytes(active.message, call.content_type.c_str(), body);
        g_bytes_unref(body);
    }
    soup_message_add_flags(active.message, SOUP_MESSAGE_NO_REDIRECT);
    // libsoup sends a POST over a kept connection only if it may be repeated; else it opens a new
    // one for each and keeps them all, and every turn of the main loop then polls hundreds of them.
    if (call.fresh_connection) {
        soup_message_add_flags(active.message, SOUP_MESSAGE_NEW_CONNECTION);
        soup_message_headers_replace(headers, "Connection", "close");
    } else {
        soup_message_add_flags(active.message, SOUP_MESSAGE_IDEMPOTENT);
    }
    g_signal_connect(active.message, "starting", G_CALLBACK(on_starting), state_.get());
    arm_progress_timer(state_.get(), id);
    g_main_context_push_thread_default(state_->owner->context());
    soup_session_send_async(state_->session, active.message, G_PRIORITY_DEFAULT, active.cancellable,
                            on_head, new call_reference{state_, id});
    g_main_context_pop_thread_default(state_->owner->context());
    return id;
}

void http_client::cancel(call_id id) {
    auto found = state_->calls.find(id);
    if (found == state_->calls.end())
        return;
    GCancellable* cancellable = found->second.cancellable;
    g_object_ref(cancellable);
    release(state_.get(), found);
    g_cancellable_cancel(cancellable);
    g_object_unref(cancellable);
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
