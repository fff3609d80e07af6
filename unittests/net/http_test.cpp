// HTTP as both ends use it: connections, limits, streams, silence.

#include "cassia/net/http_client.h"
#include "cassia/net/http_server.h"
#include "cassia/net/task.h"

#include <catch2/catch.hpp>

#include <memory>
#include <set>

using namespace cassia;
using namespace cassia::net;

namespace {

constexpr unsigned connections = 64;
constexpr std::size_t body_limit = 1000;

/// A server and a client on one task.
class http_pair {
public:
    explicit http_pair(const std::string& address) : address_(address), client(task_, connections) {
        http_server_hooks hooks;
        hooks.on_request = [this](exchange_id id, const http_request& request) {
            remotes.insert(request.remote);
            bodies.push_back(request.body);
            if (request.path == "/silent")
                return;
            if (request.path == "/stream") {
                server->begin_stream(id, {200, "text/event-stream", {}, ""});
                server->stream(id, "data: one\n\n");
                task_.after(milliseconds(30), [this, id] {
                    server->stream(id, "data: two\n\n");
                    server->end_stream(id);
                });
                return;
            }
            server->respond(id, {200, "text/plain", {}, "echo " + request.body});
        };
        hooks.on_gone = [this](exchange_id) { ++gone; };
        hooks.on_refused = [](int status) { return http_response{status, "text/plain", {}, ""}; };
        server = std::make_unique<http_server>(
            task_,
            http_limits{2000, [](const std::string&, const std::string&) { return body_limit; }},
            std::move(hooks));
        REQUIRE(server->listen(http_address(address)));
    }

    outcome<http_answer, http_failure> call(http_call one) {
        one.to = http_address(address_);
        outcome<http_answer, http_failure> got = failure(http_failure());
        fetch(client, one, [this, &got](const outcome<http_answer, http_failure>& answer) {
            got = answer;
            task_.quit();
        });
        task_.run();
        return got;
    }

    void run_for(milliseconds time) {
        task_.after(time, [this] { task_.quit(); });
        task_.run();
    }

private:
    std::string address_;
    task task_{"test"};

public:
    http_client client;
    std::unique_ptr<http_server> server;
    std::set<std::string> remotes;
    std::vector<std::string> bodies;
    int gone = 0;
};

http_call post(const std::string& path, const std::string& body) {
    http_call call;
    call.method = "POST";
    call.path = path;
    call.body = body;
    return call;
}

} // namespace

// Story: under load first tokens take ten times as long. Each request opened a connection of its
// own and left it open; after a minute every turn of the loop polled thousands.
TEST_CASE("requests share connections unless they must not", "[net]") {
    http_pair pair("127.77.1.1:7201");
    for (int i = 0; i < 20; ++i)
        REQUIRE(pair.call(post("/", "x")).value().body == "echo x");
    CHECK(pair.remotes.size() == 1);
    pair.remotes.clear();
    for (int i = 0; i < 5; ++i) {
        http_call fresh = post("/", "x");
        fresh.fresh_connection = true;
        REQUIRE(pair.call(fresh));
    }
    CHECK(pair.remotes.size() == 5);
}

TEST_CASE("bodies and headers over the limit are refused and not handed on", "[net]") {
    http_pair pair("127.77.1.1:7202");
    CHECK(pair.call(post("/", std::string(body_limit + 1, 'x'))).value().head.status == 413);
    http_call long_header = post("/", "x");
    long_header.headers["X-Long"] = std::string(3000, 'x');
    CHECK(pair.call(long_header).value().head.status == 431);
    CHECK(pair.bodies.empty());
    CHECK(pair.call(post("/", std::string(body_limit, 'x'))).value().head.status == 200);
}

TEST_CASE("a silent server is given up, an unreachable one never got the request", "[net]") {
    http_pair pair("127.77.1.1:7203");
    http_call silent = post("/silent", "x");
    silent.progress_timeout = milliseconds(100);
    const outcome<http_answer, http_failure> given_up = pair.call(silent);
    REQUIRE_FALSE(given_up);
    CHECK(given_up.error().cause.code == errc::silent);
    CHECK(given_up.error().sent);
    pair.server->stop_listening();
    http_call fresh = post("/", "x");
    fresh.fresh_connection = true;
    const outcome<http_answer, http_failure> refused = pair.call(fresh);
    REQUIRE_FALSE(refused);
    CHECK(refused.error().cause.code == errc::cannot_connect);
    CHECK_FALSE(refused.error().sent);
}

// Story: a batch item that gave its slot to an online call goes on generating at the engine.
TEST_CASE("a cancelled stream is noticed by the server", "[net]") {
    http_pair pair("127.77.1.1:7204");
    http_call call = post("/stream", "x");
    call.to = http_address("127.77.1.1:7204");
    std::string got;
    call_id id;
    http_call_hooks hooks;
    hooks.on_head = [](const http_head&) {};
    hooks.on_piece = [&](std::string_view piece) {
        got.append(piece);
        pair.client.cancel(id);
    };
    hooks.on_end = [&got] { got = "ended"; };
    hooks.on_failure = [&got](const http_failure&) { got = "failed"; };
    id = pair.client.start(call, std::move(hooks));
    pair.run_for(milliseconds(300));
    CHECK(got == "data: one\n\n");
    CHECK(pair.gone == 1);
    CHECK(pair.server->open_exchanges() == 0);
}
