#include "cassia/net/peer_hub.h"

#include "message_frame.h"
#include "peer_queue.h"

#include "cassia/base/log.h"
#include "cassia/base/metrics.h"
#include "cassia/net/task.h"
#include "cassia/schema/messages.pb.h"
#include "cassia/schema/readable_endpoints.h"

#include <glib.h>
#include <google/protobuf/arena.h>
#include <zmq.h>

#include <array>
#include <cstring>
#include <map>
#include <optional>
#include <string_view>
#include <utility>
#include <vector>

namespace cassia::net {

namespace {
constexpr std::size_t z85_key_chars = 40;
constexpr std::size_t key_bytes = 32;
constexpr int queue_messages = 4000;
constexpr std::int64_t most_message_bytes = 64LL * 1024 * 1024;
// A connection that lost its state on the way stays open at both ends and delivers nothing.
// Without these heartbeats the messages to that peer vanish for good; with them ZeroMQ closes the
// connection after the timeout and makes a new one, which works.
struct watch_limits {
    int heartbeat_ms;
    int timeout_ms;
};
constexpr watch_limits close_watch{400, 1200};
// Keepers have a connection to each gateway, and gateways to several keepers: heartbeats as often
// as above would be more messages than all others.
constexpr watch_limits steady_watch{1000, 2500};
constexpr watch_limits relaxed_watch{2000, 5000};
// The listening end asks rarely, only to drop connections whose other end has failed. Having the
// other end's heartbeats name a time to live would serve as well, but ZeroMQ searches the list of
// all timers for that of the connection on each message, which grows with the square of the peers.
constexpr watch_limits listening_watch{10000, 5000};
// A connection that was made while the way was cut never completes its handshake, and ZeroMQ's own
// limit of 30 s would keep the peers apart for as long after the way is whole again.
constexpr int handshake_limit_ms = 1000;
// A VM without power answers nothing, and the kernel asks again only after 1 s, 2 s and so on: a
// keeper that is back was not heard for up to a second. An attempt that is given up sooner, and
// made anew soon, finds it at once.
constexpr int connect_limit_ms = 200;
// A VM that has just started refuses connections until its process listens. After a loss of all VMs
// every peer is in this state, and each wait for the next attempt delays the first request. The
// interval doubles with each attempt.
constexpr int first_reconnect_ms = 20;
constexpr int longest_reconnect_ms = 150;
// The same for a peer that is watched loosely; there are many of these.
constexpr int longest_relaxed_reconnect_ms = 300;
constexpr int most_frames_at_once = 256;
constexpr std::size_t arena_block_bytes = 64UL * 1024;

using key_text = std::array<char, z85_key_chars + 1>;

struct socket_source {
    GSource source;
    void* socket;
    void* descriptor; ///< tag
    bool may_have_more;
    std::function<bool()>* on_ready;
};
} // namespace

struct peer_hub::state {
    task* owner = nullptr;
    peer_hub_settings settings;
    handler on_message;
    key_text public_key{};
    void* context = nullptr;
    void* router = nullptr;
    void* authenticator = nullptr;
    struct peer {
        void* socket = nullptr;
        peer_watch watch = peer_watch::relaxed;
        peer_queue queue;
    };
    std::map<peer_address, peer> peers;
    std::map<std::string, peer_traffic> sent;
    std::uint64_t dropped = 0; ///< messages that the queues had no place for
    std::array<char, arena_block_bytes> arena_block{};
    std::vector<GSource*> sources;
    /// \returns whether more messages may have arrived than were read.
    std::function<bool()> read_router;
    std::function<bool()> read_authenticator;
};

static bool is_readable(void* socket) {
    int events = 0;
    std::size_t size = sizeof events;
    zmq_getsockopt(socket, ZMQ_EVENTS, &events, &size);
    return (static_cast<unsigned>(events) & static_cast<unsigned>(ZMQ_POLLIN)) != 0;
}

static int prepare_source(GSource* source, int* timeout) {
    *timeout = -1;
    return reinterpret_cast<socket_source*>(source)->may_have_more ? TRUE : FALSE;
}

// ZeroMQ's file descriptor signals only that there is news of the socket. Once a read has found
// nothing, there is nothing to read until the next signal.
static int check_source(GSource* source) {
    const socket_source* watched = reinterpret_cast<socket_source*>(source);
    const bool signalled = g_source_query_unix_fd(source, watched->descriptor) != 0;
    return watched->may_have_more || (signalled && is_readable(watched->socket)) ? TRUE : FALSE;
}

static int dispatch_source(GSource* source, GSourceFunc, void*) {
    socket_source* watched = reinterpret_cast<socket_source*>(source);
    watched->may_have_more = (*watched->on_ready)();
    return G_SOURCE_CONTINUE;
}

static GSourceFuncs source_functions = {prepare_source, check_source, dispatch_source,
                                        nullptr,        nullptr,      nullptr};

static GSource* watch_socket(task& owner, void* socket, std::function<bool()>* on_ready) {
    GSource* source = g_source_new(&source_functions, sizeof(socket_source));
    socket_source* watched = reinterpret_cast<socket_source*>(source);
    watched->socket = socket;
    watched->may_have_more = true;
    watched->on_ready = on_ready;
    int descriptor = -1;
    std::size_t size = sizeof descriptor;
    zmq_getsockopt(socket, ZMQ_FD, &descriptor, &size);
    watched->descriptor = g_source_add_unix_fd(source, descriptor, G_IO_IN);
    g_source_attach(source, owner.context());
    return source;
}

// \returns false if nothing has arrived.
static bool receive_frame(void* socket, message_frame& into) {
    return zmq_msg_recv(into.message(), socket, ZMQ_DONTWAIT) >= 0;
}

static bool receive_frames(void* socket, std::vector<std::string>& frames) {
    frames.clear();
    message_frame one;
    do {
        if (!receive_frame(socket, one))
            return false;
        frames.emplace_back(one.bytes());
    } while (one.has_more());
    return true;
}

static void set_option(void* socket, int option, int value) {
    zmq_setsockopt(socket, option, &value, sizeof value);
}

static void set_common_options(void* socket) {
    set_option(socket, ZMQ_LINGER, 0);
    set_option(socket, ZMQ_SNDHWM, queue_messages);
    set_option(socket, ZMQ_RCVHWM, queue_messages);
    set_option(socket, ZMQ_HANDSHAKE_IVL, handshake_limit_ms);
    zmq_setsockopt(socket, ZMQ_MAXMSGSIZE, &most_message_bytes, sizeof most_message_bytes);
}

static void set_heartbeat(void* socket, const watch_limits& limits) {
    set_option(socket, ZMQ_HEARTBEAT_IVL, limits.heartbeat_ms);
    set_option(socket, ZMQ_HEARTBEAT_TIMEOUT, limits.timeout_ms);
}

// CURVE by itself admits whoever knows the server's public key. The authenticator also asks that
// the client prove possession of the cluster's own key pair.
static void answer_authentication(peer_hub::state* hub) {
    constexpr std::size_t credentials_frame = 6;
    std::vector<std::string> request;
    while (receive_frames(hub->authenticator, request)) {
        const std::string version = request.empty() ? std::string() : request[0];
        const std::string id = request.size() > 1 ? request[1] : std::string();
        std::array<std::uint8_t, key_bytes> expected{};
        zmq_z85_decode(expected.data(), hub->public_key.data());
        const bool known =
            request.size() > credentials_frame && request[credentials_frame].size() == key_bytes &&
            std::memcmp(request[credentials_frame].data(), expected.data(), key_bytes) == 0;
        if (!known)
            log_warning("peer_refused").with("reason", "unknown key");
        const std::array<std::string, 6> reply = {
            version, id, known ? "200" : "400", known ? "OK" : "unknown key", "", ""};
        for (std::size_t i = 0; i < reply.size(); ++i) {
            const int flags = i + 1 < reply.size() ? ZMQ_SNDMORE : 0;
            zmq_send(hub->authenticator, reply[i].data(), reply[i].size(), flags);
        }
    }
}

// \returns the number of frames, 0 if no message has arrived; `last` receives the last one.
static std::size_t receive_last_frame(void* socket, message_frame& last) {
    std::size_t count = 0;
    do {
        if (!receive_frame(socket, last))
            return 0;
        ++count;
    } while (last.has_more());
    return count;
}

static bool read_envelope(std::string_view bytes, schema::envelope& message) {
    const std::optional<std::size_t> left_out = schema::parse_readable_endpoints(bytes, message);
    if (left_out.value_or(0) > 0)
        log_warning("endpoints_unreadable").with("endpoints", *left_out);
    return left_out.has_value();
}

// \returns whether more messages may have arrived than were read.
static bool receive_messages(peer_hub::state* hub) {
    constexpr std::size_t identity_and_body = 2;
    // An envelope has many small parts, such as the names of endpoints; on the arena they need no
    // allocation of their own.
    google::protobuf::ArenaOptions options;
    options.initial_block = hub->arena_block.data();
    options.initial_block_size = hub->arena_block.size();
    google::protobuf::Arena arena(options);
    message_frame body;
    for (int i = 0; i < most_frames_at_once; ++i) {
        const std::size_t frames = receive_last_frame(hub->router, body);
        if (frames == 0)
            return false;
        schema::envelope* message =
            google::protobuf::Arena::CreateMessage<schema::envelope>(&arena);
        const std::string_view bytes = body.bytes();
        if (frames != identity_and_body || !read_envelope(bytes, *message) ||
            message->body_case() == schema::envelope::BODY_NOT_SET)
            log_warning("frame_refused").with("bytes", bytes.size());
        else
            hub->on_message(*message);
        arena.Reset();
    }
    return true;
}

peer_hub::peer_hub(task& owner, peer_hub_settings settings, handler on_message)
    : state_(std::make_unique<state>()) {
    state_->owner = &owner;
    state_->settings = std::move(settings);
    state_->on_message = std::move(on_message);
    state_->context = zmq_ctx_new();
    state* hub = state_.get();
    state_->read_router = [hub] { return receive_messages(hub); };
    state_->read_authenticator = [hub] {
        answer_authentication(hub);
        return false;
    };
}

peer_hub::~peer_hub() {
    for (GSource* source : state_->sources) {
        g_source_destroy(source);
        g_source_unref(source);
    }
    for (const std::pair<const peer_address, state::peer>& peer : state_->peers)
        zmq_close(peer.second.socket);
    if (state_->router != nullptr)
        zmq_close(state_->router);
    if (state_->authenticator != nullptr)
        zmq_close(state_->authenticator);
    zmq_ctx_term(state_->context);
}

result<void> peer_hub::open() {
    const std::string& secret = state_->settings.secret;
    const bool encrypted = state_->settings.encrypted;
    if (encrypted && (secret.size() != z85_key_chars ||
                      zmq_curve_public(state_->public_key.data(), secret.c_str()) != 0))
        return failure(error{errc::bad_secret, "the cluster secret is no CURVE secret key"});
    state_->router = zmq_socket(state_->context, ZMQ_ROUTER);
    set_common_options(state_->router);
    set_option(state_->router, ZMQ_ROUTER_HANDOVER, 1);
    set_heartbeat(state_->router, listening_watch);
    if (encrypted) {
        state_->authenticator = zmq_socket(state_->context, ZMQ_REP);
        set_option(state_->authenticator, ZMQ_LINGER, 0);
        zmq_bind(state_->authenticator, "inproc://zeromq.zap.01");
        set_option(state_->router, ZMQ_CURVE_SERVER, 1);
        zmq_setsockopt(state_->router, ZMQ_CURVE_SECRETKEY, secret.c_str(), z85_key_chars + 1);
        zmq_setsockopt(state_->router, ZMQ_ZAP_DOMAIN, "cassia", std::strlen("cassia"));
    }
    if (state_->settings.bind.empty())
        state_->settings.bind = state_->settings.address;
    const std::string where = "tcp://" + state_->settings.bind.str();
    if (zmq_bind(state_->router, where.c_str()) != 0)
        return failure(error{errc::cannot_listen, "cannot listen on " +
                                                      state_->settings.bind.str() + ": " +
                                                      zmq_strerror(zmq_errno())});
    if (encrypted)
        state_->sources.push_back(
            watch_socket(*state_->owner, state_->authenticator, &state_->read_authenticator));
    state_->sources.push_back(watch_socket(*state_->owner, state_->router, &state_->read_router));
    return success();
}

static watch_limits limits_of(peer_watch watch) {
    switch (watch) {
    case peer_watch::close:
        return close_watch;
    case peer_watch::steady:
        return steady_watch;
    case peer_watch::relaxed:
        break;
    }
    return relaxed_watch;
}

static void* connect_peer(peer_hub::state* hub, const peer_address& to, peer_watch watch) {
    void* socket = zmq_socket(hub->context, ZMQ_DEALER);
    set_common_options(socket);
    set_heartbeat(socket, limits_of(watch));
    const std::string& secret = hub->settings.secret;
    if (hub->settings.encrypted) {
        zmq_setsockopt(socket, ZMQ_CURVE_SERVERKEY, hub->public_key.data(), z85_key_chars + 1);
        zmq_setsockopt(socket, ZMQ_CURVE_PUBLICKEY, hub->public_key.data(), z85_key_chars + 1);
        zmq_setsockopt(socket, ZMQ_CURVE_SECRETKEY, secret.c_str(), z85_key_chars + 1);
    }
    set_option(socket, ZMQ_CONNECT_TIMEOUT, connect_limit_ms);
    set_option(socket, ZMQ_RECONNECT_IVL, first_reconnect_ms);
    set_option(socket, ZMQ_RECONNECT_IVL_MAX,
               watch == peer_watch::relaxed ? longest_relaxed_reconnect_ms : longest_reconnect_ms);
    // From the own IP number, so that a VM with several is known by the one in its settings.
    const std::string& own = hub->settings.bind.str();
    const std::string source = own.substr(0, own.rfind(':')) + ":0;";
    zmq_connect(socket, ("tcp://" + source + to.str()).c_str());
    return socket;
}

void peer_hub::send(const peer_address& to, schema::envelope& message, peer_watch watch) {
    state::peer& peer = state_->peers[to];
    if (peer.socket == nullptr || watch < peer.watch) {
        if (peer.socket != nullptr)
            zmq_close(peer.socket);
        peer.socket = connect_peer(state_.get(), to, watch);
        peer.watch = watch;
    }
    message.set_from(state_->settings.name);
    message.set_reply_to(state_->settings.address.str());
    std::string bytes;
    message.SerializeToString(&bytes);
    const int kind = message.body_case();
    peer_traffic& sent = state_->sent[message.GetDescriptor()->FindFieldByNumber(kind)->name()];
    ++sent.messages;
    sent.bytes += bytes.size();
    if (peer.queue.add(peer.socket, std::move(bytes)))
        return;
    ++state_->dropped;
    log_debug("message_dropped").with("to", to.str());
}

const std::map<std::string, peer_traffic>& peer_hub::sent() const {
    return state_->sent;
}

void peer_hub::count_sent(metrics& values) const {
    for (const std::pair<const std::string, peer_traffic>& one : state_->sent) {
        values.set("peer_messages_sent_" + one.first, one.second.messages);
        values.set("peer_bytes_sent_" + one.first, one.second.bytes);
    }
    values.set("peer_messages_dropped", state_->dropped);
}

void peer_hub::log_sent() const {
    for (const std::pair<const std::string, peer_traffic>& one : state_->sent)
        log_info("peer_traffic")
            .with("kind", one.first)
            .with("messages", one.second.messages)
            .with("bytes", one.second.bytes);
}

peer_address peer_of_seed(const std::string& seed, const std::string& own_peer_address) {
    return peer_address(seed.substr(0, seed.rfind(':')) +
                        own_peer_address.substr(own_peer_address.rfind(':')));
}

std::string make_cluster_secret() {
    key_text public_key{};
    key_text secret_key{};
    zmq_curve_keypair(public_key.data(), secret_key.data());
    return secret_key.data();
}

} // namespace cassia::net
