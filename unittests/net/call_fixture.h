/// An endpoint with scripted responses, and calls made to it.
#pragma once

#include "cassia/net/raw_client.h"
#include "cassia/net/task.h"
#include "cassia/net/tcp_connections.h"

#include <catch2/catch.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace cassia::net {

/// An endpoint that answers each request with the bytes that a test gives it.
class scripted_endpoint {
public:
    scripted_endpoint(task& owner, const std::string& address) {
        tcp_hooks hooks;
        hooks.on_accepted = [this](connection_id) { ++connections; };
        hooks.on_connected = [](connection_id) {};
        hooks.on_bytes = [this](connection_id id, std::string_view bytes) {
            received.append(bytes);
            if (received.size() < wait_for)
                return;
            if (!answer.empty())
                sockets->write(id, answer);
            if (closes)
                sockets->close(id);
            if (resets)
                sockets->reset(id);
        };
        hooks.on_closed = [this](connection_id, bool) { ++closed; };
        sockets = std::make_unique<tcp_connections>(owner, tcp_settings(), hooks);
        REQUIRE(sockets->listen(http_address(address)));
    }

    std::unique_ptr<tcp_connections> sockets;
    std::string answer;
    bool closes = false;
    bool resets = false;
    std::size_t wait_for = 1;
    std::string received;
    int connections = 0;
    int closed = 0;
};

struct outcome_of_call {
    std::optional<raw_head> head;
    std::string body;
    bool ended = false;
    std::optional<raw_failure> failure;
};

class call_fixture {
public:
    explicit call_fixture(const std::string& address)
        : address_(address), endpoint(task_, address), client(task_, "127.0.0.1") {}

    outcome_of_call call(const std::string& method = "GET", const std::string& body = "") {
        outcome_of_call got;
        raw_call one;
        one.to = http_address(address_);
        one.request.method = method;
        one.request.target = "/a//b/%2e?x=%20";
        one.request.fields.add("Host", "shop.example");
        one.request.body = body;
        one.find_owner = find_owner;
        raw_call_hooks hooks;
        hooks.on_head = [&got](const raw_head& head) { got.head = head; };
        hooks.on_piece = [&got](std::string_view bytes) { got.body.append(bytes); };
        hooks.on_end = [this, &got] {
            got.ended = true;
            task_.quit();
        };
        hooks.on_failure = [this, &got](const raw_failure& failure) {
            got.failure = failure;
            task_.quit();
        };
        client.start(one, hooks);
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
    scripted_endpoint endpoint;
    std::function<response_owner(const raw_head&)> find_owner;
    raw_client client;
};

} // namespace cassia::net
