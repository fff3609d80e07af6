#include "cassia/net/http_server.h"

#include "cassia/net/task.h"

#include <libsoup/soup.h>

#include <charconv>
#include <set>
#include <utility>

namespace cassia::net {

namespace {
// Most requests are smaller: large bodies of some callers don't keep them out.
constexpr std::size_t small_body = 64UL * 1024;
} // namespace

struct http_server::state {
    task* owner = nullptr;
    http_limits limits;
    http_server_hooks hooks;
    SoupServer* server = nullptr;
    std::map<exchange_id, SoupServerMessage*> open;
    std::set<exchange_id> answered;  ///< wholly handed over
    std::set<exchange_id> streaming; ///< begun and not ended
    std::map<SoupServerMessage*, exchange_id> ids;
    std::map<SoupServerMessage*, std::size_t> bodies; ///< bytes of those that aren't over
    std::uint64_t last_id = 0;

    SoupServerMessage* find(exchange_id id) const {
        auto found = open.find(id);
        return found == open.end() ? nullptr : found->second;
    }
};

static const std::string empty_text;

const std::string& http_request::header(const std::string& lower_case_name) const {
    auto found = headers.find(lower_case_name);
    return found == headers.end() ? empty_text : found->second;
}

const std::string& http_request::parameter(const std::string& name) const {
    auto found = query.find(name);
    return found == query.end() ? empty_text : found->second;
}

result<ip_and_port> parse_address(const std::string& address) {
    const std::size_t colon = address.rfind(':');
    if (colon == std::string::npos)
        return failure(error{errc::bad_address, "expected IP:PORT, got '" + address + "'"});
    ip_and_port parsed;
    parsed.ip = address.substr(0, colon);
    const char* first = address.data() + colon + 1;
    const char* last = address.data() + address.size();
    const std::from_chars_result number = std::from_chars(first, last, parsed.port);
    const bool whole = number.ec == std::errc() && number.ptr == last && first != last;
    if (!whole || g_hostname_is_ip_address(parsed.ip.c_str()) == FALSE)
        return failure(error{errc::bad_address, "expected IP:PORT, got '" + address + "'"});
    return parsed;
}

std::string ip_of(const std::string& address) {
    return address.substr(0, address.rfind(':'));
}

static void add_header(const char* name, const char* value, void* data) {
    char* lower = g_ascii_strdown(name, -1);
    (*static_cast<std::map<std::string, std::string>*>(data))[lower] = value;
    g_free(lower);
}

static void add_size(const char* name, const char* value, void* data) {
    constexpr std::size_t separators = 4;
    *static_cast<std::size_t*>(data) +=
        std::char_traits<char>::length(name) + std::char_traits<char>::length(value) + separators;
}

static void write_head(SoupServerMessage* message, const http_response& response) {
    soup_server_message_set_status(message, static_cast<guint>(response.status), nullptr);
    SoupMessageHeaders* headers = soup_server_message_get_response_headers(message);
    for (const std::pair<const std::string, std::string>& header : response.headers)
        soup_message_headers_replace(headers, header.first.c_str(), header.second.c_str());
    soup_message_headers_replace(headers, "Content-Type", response.content_type.c_str());
}

static void write_whole(SoupServerMessage* message, const http_response& response) {
    write_head(message, response);
    soup_message_body_append(soup_server_message_get_response_body(message), SOUP_MEMORY_COPY,
                             response.body.data(), response.body.size());
}

static void refuse(http_server::state* state, SoupServerMessage* message,
                   const http_response& refusal) {
    state->bodies.erase(message);
    // What follows is read and dropped, so that the caller gets to read the refusal.
    soup_message_body_set_accumulate(soup_server_message_get_request_body(message), FALSE);
    write_whole(message, refusal);
}

static void refuse(http_server::state* state, SoupServerMessage* message, int status) {
    refuse(state, message, state->hooks.on_refused(status));
}

static void refuse_crowded(http_server::state* state, SoupServerMessage* message) {
    if (!state->hooks.on_crowded) {
        refuse(state, message,
               {SOUP_STATUS_SERVICE_UNAVAILABLE, "text/plain", {{"Retry-After", "1"}}, ""});
        return;
    }
    http_request request;
    request.method = soup_server_message_get_method(message);
    request.path = g_uri_get_path(soup_server_message_get_uri(message));
    soup_message_headers_foreach(soup_server_message_get_request_headers(message), add_header,
                                 &request.headers);
    refuse(state, message, state->hooks.on_crowded(request));
}

static std::size_t body_limit(http_server::state* state, SoupServerMessage* message) {
    const char* method = soup_server_message_get_method(message);
    const char* path = g_uri_get_path(soup_server_message_get_uri(message));
    return state->limits.body_bytes(method, path);
}

// \returns whether a body of `size` bytes has a place beside the others.
static bool hold_body(http_server::state* state, SoupServerMessage* message, std::size_t size) {
    std::size_t& held = state->bodies[message];
    std::size_t others = 0;
    for (const std::pair<SoupServerMessage* const, std::size_t>& one : state->bodies)
        others += one.second;
    others -= held;
    if (size > small_body && others > 0 && others + size > state->limits.all_bodies_bytes)
        return false;
    held = size;
    return true;
}

static void on_chunk(SoupServerMessage* message, GBytes*, void* data) {
    http_server::state* state = static_cast<http_server::state*>(data);
    if (soup_server_message_get_status(message) != SOUP_STATUS_NONE)
        return;
    // The body holds the chunk already.
    const goffset size = soup_server_message_get_request_body(message)->length;
    if (static_cast<std::size_t>(size) > body_limit(state, message))
        refuse(state, message, SOUP_STATUS_REQUEST_ENTITY_TOO_LARGE);
    else if (!hold_body(state, message, static_cast<std::size_t>(size)))
        refuse_crowded(state, message);
}

static void on_body_over(SoupServerMessage* message, void* data) {
    static_cast<http_server::state*>(data)->bodies.erase(message);
}

static void on_headers(SoupServer*, SoupServerMessage* message, const char* path, GHashTable*,
                       void* data) {
    http_server::state* state = static_cast<http_server::state*>(data);
    SoupMessageHeaders* headers = soup_server_message_get_request_headers(message);
    std::size_t size = std::char_traits<char>::length(path);
    soup_message_headers_foreach(headers, add_size, &size);
    constexpr int header_fields_too_large = 431;
    if (size > state->limits.header_bytes) {
        refuse(state, message, header_fields_too_large);
        return;
    }
    const goffset length = soup_message_headers_get_content_length(headers);
    if (length > 0 && static_cast<std::size_t>(length) > body_limit(state, message)) {
        refuse(state, message, SOUP_STATUS_REQUEST_ENTITY_TOO_LARGE);
        return;
    }
    // A chunked body names no length, so it is measured as it comes in.
    g_signal_connect(message, "got-chunk", G_CALLBACK(on_chunk), state);
    g_signal_connect(message, "finished", G_CALLBACK(on_body_over), state);
}

static void on_finished(SoupServerMessage* message, void* data) {
    http_server::state* state = static_cast<http_server::state*>(data);
    auto found = state->ids.find(message);
    if (found == state->ids.end())
        return;
    const exchange_id id = found->second;
    state->ids.erase(found);
    state->open.erase(id);
    state->answered.erase(id);
    state->streaming.erase(id);
    g_signal_handlers_disconnect_by_data(message, state);
    state->hooks.on_gone(id);
    g_object_unref(message);
}

static std::string remote_of(SoupServerMessage* message) {
    GSocketAddress* address = soup_server_message_get_remote_address(message);
    if (address == nullptr || !G_IS_INET_SOCKET_ADDRESS(address))
        return "";
    char* text = g_socket_connectable_to_string(G_SOCKET_CONNECTABLE(address));
    std::string remote(text);
    g_free(text);
    return remote;
}

static void on_request(SoupServer*, SoupServerMessage* message, const char* path, GHashTable* query,
                       void* data) {
    http_server::state* state = static_cast<http_server::state*>(data);
    http_request request;
    request.method = soup_server_message_get_method(message);
    request.path = path;
    request.remote = remote_of(message);
    soup_message_headers_foreach(soup_server_message_get_request_headers(message), add_header,
                                 &request.headers);
    if (query != nullptr) {
        GHashTableIter iterator;
        void* key = nullptr;
        void* value = nullptr;
        g_hash_table_iter_init(&iterator, query);
        while (g_hash_table_iter_next(&iterator, &key, &value) != FALSE)
            request.query[static_cast<char*>(key)] = static_cast<char*>(value);
    }
    SoupMessageBody* body = soup_server_message_get_request_body(message);
    if (body->length > 0) {
        GBytes* bytes = soup_message_body_flatten(body);
        gsize size = 0;
        const void* content = g_bytes_get_data(bytes, &size);
        request.body.assign(static_cast<const char*>(content), size);
        g_bytes_unref(bytes);
    }
    const exchange_id id(++state->last_id);
    state->open[id] = message;
    state->ids[message] = id;
    g_object_ref(message);
    g_signal_connect(message, "finished", G_CALLBACK(on_finished), state);
    soup_server_message_pause(message);
    state->hooks.on_request(id, std::move(request));
}

http_server::http_server(task& owner, http_limits limits, http_server_hooks hooks)
    : state_(std::make_unique<state>()) {
    state_->owner = &owner;
    state_->limits = std::move(limits);
    state_->hooks = std::move(hooks);
    state_->server = soup_server_new("server-header", "cassia", nullptr);
    soup_server_add_early_handler(state_->server, nullptr, on_headers, state_.get(), nullptr);
    soup_server_add_handler(state_->server, nullptr, on_request, state_.get(), nullptr);
}

http_server::~http_server() {
    for (const std::pair<const exchange_id, SoupServerMessage*>& exchange : state_->open) {
        g_signal_handlers_disconnect_by_data(exchange.second, state_.get());
        g_object_unref(exchange.second);
    }
    soup_server_disconnect(state_->server);
    g_object_unref(state_->server);
}

result<void> http_server::listen(const http_address& address) {
    result<ip_and_port> parsed = parse_address(address.str());
    if (!parsed)
        return failure(parsed.error());
    GSocketAddress* socket_address =
        g_inet_socket_address_new_from_string(parsed.value().ip.c_str(), parsed.value().port);
    GError* problem = nullptr;
    g_main_context_push_thread_default(state_->owner->context());
    const gboolean listening = soup_server_listen(
        state_->server, socket_address, static_cast<SoupServerListenOptions>(0), &problem);
    g_main_context_pop_thread_default(state_->owner->context());
    g_object_unref(socket_address);
    if (listening != FALSE)
        return success();
    const std::string text = "cannot listen on " + address.str() + ": " + problem->message;
    g_error_free(problem);
    return failure(error{errc::cannot_listen, text});
}

void http_server::stop_listening() {
    GSList* listeners = soup_server_get_listeners(state_->server);
    for (GSList* one = listeners; one != nullptr; one = one->next)
        g_socket_close(static_cast<GSocket*>(one->data), nullptr);
    g_slist_free(listeners);
}

void http_server::respond(exchange_id id, const http_response& response) {
    SoupServerMessage* message = state_->find(id);
    if (message == nullptr)
        return;
    // A failure behind the head of a stream can't be answered any more, only shown by a cut.
    if (state_->streaming.count(id) > 0) {
        abort_stream(id);
        return;
    }
    if (!state_->answered.insert(id).second)
        return;
    write_whole(message, response);
    soup_server_message_unpause(message);
}

void http_server::begin_stream(exchange_id id, const http_response& head) {
    SoupServerMessage* message = state_->find(id);
    if (message == nullptr)
        return;
    state_->streaming.insert(id);
    write_head(message, head);
    soup_message_headers_set_encoding(soup_server_message_get_response_headers(message),
                                      SOUP_ENCODING_CHUNKED);
    soup_message_body_set_accumulate(soup_server_message_get_response_body(message), FALSE);
    soup_server_message_unpause(message);
}

void http_server::stream(exchange_id id, std::string_view piece) {
    SoupServerMessage* message = state_->find(id);
    if (message == nullptr || piece.empty())
        return;
    soup_message_body_append(soup_server_message_get_response_body(message), SOUP_MEMORY_COPY,
                             piece.data(), piece.size());
    soup_server_message_unpause(message);
}

void http_server::end_stream(exchange_id id) {
    SoupServerMessage* message = state_->find(id);
    if (message == nullptr)
        return;
    state_->streaming.erase(id);
    state_->answered.insert(id);
    soup_message_body_complete(soup_server_message_get_response_body(message));
    soup_server_message_unpause(message);
}

void http_server::abort_stream(exchange_id id) {
    SoupServerMessage* message = state_->find(id);
    if (message == nullptr)
        return;
    GSocket* socket = soup_server_message_get_socket(message);
    if (socket != nullptr)
        g_socket_shutdown(socket, TRUE, TRUE, nullptr);
    soup_server_message_unpause(message);
}

std::size_t http_server::open_exchanges() const {
    return state_->open.size();
}

} // namespace cassia::net
