// What a gateway sends the keepers of the control group.

#include "cassia/gateway/cluster_client.h"
#include "cassia/net/task.h"

#include <catch2/catch.hpp>
#include <glib.h>

#include <algorithm>
#include <functional>
#include <string>
#include <vector>

using namespace cassia;

namespace {

/// The other end of a gateway's messages to a keeper.
class followed_peer {
public:
    followed_peer(net::task& owner, const std::string& address)
        : address_(address),
          hub_(owner, {address, peer_address(address), peer_address(), "", false},
               [this](schema::envelope& message) { on_message(message); }) {
        REQUIRE(hub_.open());
    }

    bool in_touch = true;
    std::vector<bool> follows; ///< of the heartbeats

private:
    void on_message(const schema::envelope& message) {
        if (message.body_case() != schema::envelope::kHello)
            return;
        follows.push_back(message.hello().follows());
        schema::envelope envelope;
        schema::keeper_beacon* beacon = envelope.mutable_beacon();
        beacon->set_keeper(address_);
        beacon->set_directory_epoch(1);
        beacon->set_in_touch(in_touch);
        hub_.send(peer_address(message.hello().peer_address()), envelope);
    }

    std::string address_;
    net::peer_hub hub_;
};

schema::gateway_settings make_settings() {
    schema::gateway_settings settings;
    settings.set_name("gateway");
    settings.set_zone("z1");
    settings.set_peer_address("127.79.3.3:9100");
    settings.mutable_cluster()->set_security("none");
    settings.mutable_cluster()->set_work_groups(1);
    settings.mutable_cluster()->add_seed("127.79.3.1:9000");
    settings.mutable_cluster()->add_seed("127.79.3.2:9000");
    return settings;
}

gateway::cluster_hooks no_hooks() {
    gateway::cluster_hooks hooks;
    hooks.on_routes = [](const std::shared_ptr<const routes::table>&) {};
    hooks.on_endpoints = [](const std::vector<policy::slot_endpoint>&) {};
    hooks.on_gateways = [](const std::vector<policy::fleet_gateway>&) {};
    hooks.on_peers = [](const policy::peer_group&, const policy::peer_group&) {};
    return hooks;
}

} // namespace

// Guards against keepers on small VMs that are busy with connections of all gateways after a loss
// of all VMs: each gateway had asked all seeds, and a second time for its lists.
TEST_CASE("a gateway that starts asks one seed for all it needs", "[follow]") {
    net::task task("gateway");
    followed_peer first(task, "127.79.3.1:9100");
    followed_peer second(task, "127.79.3.2:9100");
    gateway::cluster_client client(task, make_settings(), no_hooks());
    REQUIRE(client.open().empty());
    const instant started = monotonic_now();
    while (monotonic_now() < started + milliseconds(100))
        g_main_context_iteration(task.context(), FALSE);
    const followed_peer& asked = first.follows.empty() ? second : first;
    const followed_peer& other = first.follows.empty() ? first : second;
    REQUIRE_FALSE(asked.follows.empty());
    CHECK(asked.follows.front());
    CHECK(other.follows.empty());
}

// Guards against a start that waits for a seed whose VM is down.
TEST_CASE("a gateway that starts asks the next seed if the first doesn't reply", "[follow]") {
    for (const std::string address : {"127.79.3.1:9100", "127.79.3.2:9100"}) {
        net::task task("gateway");
        followed_peer only(task, address);
        gateway::cluster_client client(task, make_settings(), no_hooks());
        REQUIRE(client.open().empty());
        const instant started = monotonic_now();
        while (only.follows.empty() && monotonic_now() < started + milliseconds(1000))
            g_main_context_iteration(task.context(), FALSE);
        CHECK_FALSE(only.follows.empty());
    }
}

// Guards against keepers that count as in transit what a gateway has dropped.
TEST_CASE("a keeper that a gateway follows no more learns it at once", "[follow]") {
    net::task task("gateway");
    followed_peer first(task, "127.79.3.1:9100");
    followed_peer second(task, "127.79.3.2:9100");
    gateway::cluster_client client(task, make_settings(), no_hooks());
    REQUIRE(client.open().empty());
    const auto run_until = [&task](const std::function<bool()>& done) {
        const instant limit = monotonic_now() + milliseconds(8000);
        while (!done() && monotonic_now() < limit)
            g_main_context_iteration(task.context(), FALSE);
        return done();
    };
    const auto is_followed = [](const followed_peer& peer) {
        return !peer.follows.empty() && peer.follows.back();
    };
    REQUIRE(run_until([&] {
        return first.follows.size() + second.follows.size() > 8 &&
               is_followed(first) != is_followed(second);
    }));
    followed_peer& left = is_followed(first) ? first : second;
    followed_peer& next = is_followed(first) ? second : first;
    left.in_touch = false;
    REQUIRE(run_until([&] { return is_followed(next); }));
    const std::size_t next_regular = next.follows.size() + 1;
    run_until([&] { return !is_followed(left) || next.follows.size() >= next_regular; });
    CHECK_FALSE(is_followed(left));
}

// Guards against a list that a keeper counts as in transit since it was read before it was
// followed.
TEST_CASE("a keeper whose list was read forgets that before it is followed", "[follow]") {
    net::task task("gateway");
    followed_peer first(task, "127.79.3.1:9100");
    followed_peer second(task, "127.79.3.2:9100");
    gateway::cluster_hooks hooks = no_hooks();
    hooks.on_list_read = [] {};
    gateway::cluster_client client(task, make_settings(), hooks);
    REQUIRE(client.open().empty());
    const auto run_until = [&task](const std::function<bool()>& done) {
        const instant limit = monotonic_now() + milliseconds(8000);
        while (!done() && monotonic_now() < limit)
            g_main_context_iteration(task.context(), FALSE);
        return done();
    };
    const auto is_followed = [](const followed_peer& peer) {
        return !peer.follows.empty() && peer.follows.back();
    };
    REQUIRE(run_until([&] {
        return first.follows.size() + second.follows.size() > 8 &&
               is_followed(first) != is_followed(second);
    }));
    followed_peer& left = is_followed(first) ? first : second;
    followed_peer& next = is_followed(first) ? second : first;
    left.in_touch = false;
    client.request_lists();
    REQUIRE(run_until([&] { return is_followed(next); }));
    const std::size_t read_at = next.follows.size() - 1;
    REQUIRE(run_until([&] { return next.follows.size() >= read_at + 4; }));
    const std::vector<bool> after_reading(next.follows.begin() + static_cast<long>(read_at),
                                          next.follows.end());
    CHECK(after_reading.front());
    CHECK(std::find(after_reading.begin(), after_reading.end(), false) != after_reading.end());
    CHECK(after_reading.back());
}
