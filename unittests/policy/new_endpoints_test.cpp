// Gateways that use endpoints that have just joined.

#include "placement_simulation.h"

#include <catch2/catch.hpp>

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

using namespace cassia;
using namespace cassia::policy;

// Guards against gateways that all send to the endpoints that have just joined, as these have more
// free slots than any other in all views, and are rejected there.
TEST_CASE("gateways don't overrun endpoints that have just joined", "[slots]") {
    const std::uint32_t gateways = GENERATE(3U, 20U, 250U);
    const std::uint32_t joining = GENERATE(1U, 3U, 26U);
    simulation_settings settings;
    settings.gateways = gateways;
    settings.joining = joining;
    simulation_result result = placement_simulation(settings).run();
    CAPTURE(gateways, joining, result.rejected_percent(), result.wait_ms(0.5), result.wait_ms(0.99),
            result.new_in_use, result.lost, result.batch_ended);
    CHECK(result.rejected_percent() < 3);
    CHECK(result.rejected_at_new_percent() < 3);
    CHECK(result.lost == 0);
    // The slots of new endpoints are used soon.
    CHECK(result.new_in_use > settings.online_load);
}

// Guards against a forecast that keeps a lone gateway, or one whose peers send little, from the
// endpoints with the most free slots.
TEST_CASE("free slots attract less the more sends are unreported", "[slots]") {
    const auto ratio = [](double unreported_sends) {
        slot_weights weights(unreported_sends);
        weights.add(8, 8);
        weights.add(2, 8);
        weights.add(0, 8);
        weights.add(-8, 8);
        CHECK(weights.weight(-8, 8) == 0);
        CHECK((weights.weight(0, 8) > 0) == (unreported_sends > 10));
        return weights.weight(8, 8) / weights.weight(2, 8);
    };
    CHECK(ratio(0) == Approx(16));
    CHECK(ratio(5) < 16);
    CHECK(ratio(5) > 4);
    CHECK(ratio(10) == Approx(4));
    // One slot of each becomes free for each eight of excess.
    CHECK(ratio(14) == Approx(9.0 / 3));
    CHECK(ratio(1000) == Approx(16.0 / 10));
    slot_weights full(1000);
    full.add(0, 8);
    full.add(-3, 8);
    CHECK(full.weight(0, 8) == 0);
}

// Guards against a forecast that grows though requests are no longer sent, or ignores peers.
TEST_CASE("unreported sends follow own sends, peers and the age of reports", "[slots]") {
    send_forecast forecast;
    instant now(std::chrono::seconds(1000));
    const peer_group peers{100, milliseconds(200)};
    forecast.advance(now);
    CHECK(forecast.unreported_sends(peers) == 0);
    const auto advance = [&](int steps, bool sends) {
        for (int i = 0; i < steps; ++i) {
            now += milliseconds(50);
            if (sends)
                forecast.record_send();
            forecast.advance(now);
        }
    };
    advance(200, true);
    CHECK(forecast.unreported_sends(peers) == Approx(2 * 20 * 100 * 0.2).epsilon(0.01));
    CHECK(forecast.unreported_sends({0, milliseconds(200)}) == 0);
    advance(200, false);
    CHECK(forecast.unreported_sends(peers) < 1);
}

// Guards against a forecast by the mesh's short age of reports in a fleet that uses relays.
TEST_CASE("usage gets older the more gateways report to a relay", "[slots]") {
    usage_exchange exchange(entry_id("g0"), zone_id("a"));
    std::vector<fleet_gateway> others;
    const auto add = [&](int count, const std::string& zone) {
        for (int i = 0; i < count; ++i)
            others.push_back({entry_id("g" + std::to_string(others.size() + 1)), zone_id(zone)});
        exchange.set_gateways(others);
    };
    CHECK(exchange.peers(true).gateways == 0);
    add(2, "a");
    add(3, "b");
    CHECK(exchange.peers(true) == peer_group{2, milliseconds(50)});
    CHECK(exchange.peers(false) == peer_group{5, milliseconds(50)});
    add(98, "a");
    CHECK(exchange.peers(true) == peer_group{100, milliseconds(150)});
    CHECK(exchange.peers(false) == peer_group{103, milliseconds(350)});
}

// Guards against requests that are sent to an endpoint that has just rejected one, as its slots are
// expected to become free.
TEST_CASE("the forecast doesn't fill an endpoint that has just rejected a request", "[slots]") {
    slot_table table{zone_id("a")};
    const service_id model("model");
    const auto endpoint = [&model](const std::string& id) {
        return slot_endpoint{
            endpoint_id(id), 1, http_address(id + ":80"), zone_id("a"), model, 8, {}};
    };
    table.set_endpoints({endpoint("rejects"), endpoint("used"), endpoint("free")});
    table.set_peers({250, milliseconds(300)}, {250, milliseconds(300)});
    instant now(std::chrono::seconds(1000));
    for (int i = 0; i < 40; ++i) {
        now += milliseconds(200);
        table.expire_remote_usage(now);
        table.acquire(endpoint_id("used"), work_kind::online);
        table.release(endpoint_id("used"), work_kind::online);
    }
    table.set_remote_usage(entry_id("g"), {{endpoint_id("used"), {8, 0, 0}}}, now);
    table.record_rejection(endpoint_id("rejects"), now);
    bool chose_used = false;
    for (double draw = 0; draw < 1; draw += 0.01) {
        const std::optional<placement> online = table.place_online(model, {}, now, draw);
        const std::optional<placement> batch = table.place_batch(model, {}, now, draw, true);
        CHECK(online->endpoint != endpoint_id("rejects"));
        CHECK(batch->endpoint != endpoint_id("rejects"));
        chose_used = chose_used || online->endpoint == endpoint_id("used");
    }
    CHECK(chose_used);
}
