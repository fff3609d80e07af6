// Pace reports on their way between gateways, with the messages as on the wire.

#include "cassia/gateway/usage_codec.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <cstdio>
#include <random>
#include <string>

using namespace cassia;
using namespace cassia::policy;
using gateway::decode_paces;
using gateway::decode_usage;
using gateway::encode_usage;

namespace {

const endpoint_id slow("engine-0");

/// Gateways in four zones, each with a clock of its own; messages arrive within the same step.
struct fleet {
    struct member {
        usage_exchange exchange;
        zone_id zone;
        slot_usage_map usage;
        pace_report_map own;
        pace_report_map known; ///< received, by this gateway's clock
        std::size_t receipts = 0;
        std::size_t bytes = 0; ///< sent
        std::size_t messages = 0;
        bool frozen = false;
    };
    std::vector<member> members;
    instant now = instant(std::chrono::seconds(1000));

    explicit fleet(std::size_t count) {
        for (std::size_t i = 0; i < count; ++i) {
            std::vector<fleet_gateway> others;
            for (std::size_t j = 0; j < count; ++j) {
                if (j != i)
                    others.push_back({name(j), zone(j)});
            }
            members.push_back({usage_exchange(name(i), zone(i)), zone(i), {}, {}, {}, 0, 0, 0});
            members.back().exchange.set_gateways(others);
        }
        advance(milliseconds(1000));
    }

    static entry_id name(std::size_t i) { return entry_id("gateway-" + std::to_string(i)); }
    static zone_id zone(std::size_t i) { return zone_id("zone-" + std::to_string(i % 4)); }
    instant clock(std::size_t i) const { return now + std::chrono::seconds(100 * i); }

    void report(std::size_t i, std::uint32_t percent, milliseconds age) {
        members[i].own[slow] = {percent, clock(i) - age};
    }
    pace_report known(std::size_t i) const {
        auto found = members[i].known.find(slow);
        return found == members[i].known.end() ? pace_report() : found->second;
    }

    void use(member& one, const pace_report_map& paces) {
        one.receipts += paces.size();
        for (const auto& pace : paces)
            one.known[pace.first] = pace.second;
    }

    void deliver(std::size_t from, const usage_message& message) {
        const std::size_t to = std::stoul(message.to.str().substr(8));
        member& target = members[to];
        if (to == from)
            return use(target, message.paces);
        schema::envelope sent;
        encode_usage(message, name(from), zone(from), clock(from), sent);
        const std::string bytes = sent.SerializeAsString();
        members[from].bytes += bytes.size();
        ++members[from].messages;
        schema::envelope received;
        REQUIRE(received.ParseFromString(bytes));
        if (target.frozen)
            return;
        pace_report_map paces;
        zone_usage_map zones;
        decode_paces(received.rumor().uses(), clock(to), paces);
        decode_paces(received.usage().uses(), clock(to), paces);
        for (const schema::zone_usage& one : received.sums().zones()) {
            decode_paces(one.uses(), clock(to), paces);
            zones[zone_id(one.zone())] = std::make_shared<slot_usage_map>(decode_usage(one.uses()));
        }
        if (received.has_usage())
            target.exchange.receive_report(name(from), decode_usage(received.usage().uses()),
                                           clock(to), paces);
        else if (received.has_rumor() ||
                 target.exchange.receive_sums(name(from), zone(from), zones, clock(to), paces))
            use(target, paces);
    }

    void advance(
        milliseconds time, const std::function<void()>& each_step = [] {}) {
        for (const instant end = now + time; now < end; now += milliseconds(50)) {
            each_step();
            for (std::size_t i = 0; i < members.size(); ++i) {
                member& one = members[i];
                if (one.frozen)
                    continue;
                for (const usage_message& message : one.exchange.poll(one.usage, clock(i), one.own))
                    deliver(i, message);
            }
        }
    }
};

struct cost {
    double mean = 0;
    double most = 0; ///< of a relay
};

/// Bytes sent by a gateway in a second, while uses change with each response.
cost bytes_per_second(std::size_t count, bool with_paces) {
    fleet sim(count);
    for (fleet::member& one : sim.members)
        one.bytes = 0;
    std::mt19937 random(3);
    sim.advance(milliseconds(4000), [&] {
        for (std::size_t i = 0; i < count; ++i) {
            // 10 responses a second at each gateway, of 76 endpoints.
            if (random() % 2 == 0)
                continue;
            const endpoint_id endpoint("engine-" + std::to_string(random() % 76));
            sim.members[i].usage[endpoint] = {static_cast<std::uint32_t>(random() % 3), 0, 0, 0};
            if (with_paces)
                sim.members[i].own[endpoint] = {random() % 7 == 0 ? 250U : 100U, sim.clock(i)};
        }
    });
    cost sent;
    for (const fleet::member& one : sim.members) {
        const double rate = static_cast<double>(one.bytes) / 4;
        sent.mean += rate / static_cast<double>(count);
        sent.most = std::max(sent.most, rate);
    }
    return sent;
}

} // namespace

// Guards against a report that seems younger after each hop, or depends on another VM's clock.
TEST_CASE("a pace report reaches each gateway with its age", "[shared_pace]") {
    const std::size_t count = GENERATE(2U, 18U, 70U);
    fleet sim(count);
    sim.report(1, 250, milliseconds(100));
    const instant reported = sim.now - milliseconds(100);
    sim.advance(milliseconds(700));
    for (std::size_t i = 0; i < count; ++i) {
        if (i == 1)
            continue;
        CHECK(sim.known(i).percent == 250);
        CHECK(sim.known(i).reported_at - (sim.clock(i) - sim.now) == reported);
        // A relay of a zone that isn't in use receives it from the other zone and from its relay.
        CHECK(sim.members[i].receipts <= 2);
    }
    CHECK(sim.members[1].receipts == 0);
}

TEST_CASE("of several pace reports the youngest is passed on", "[shared_pace]") {
    fleet sim(70);
    sim.report(1, 250, milliseconds(100));
    sim.report(5, 100, milliseconds(80));
    sim.report(9, 300, milliseconds(120));
    sim.advance(milliseconds(700));
    for (std::size_t i = 0; i < 70; ++i)
        CHECK((i == 5 || sim.known(i).percent == 100));
}

TEST_CASE("old pace reports aren't passed on, nor wrong ones used", "[shared_pace]") {
    for (const std::size_t count : {18U, 70U}) {
        fleet sim(count);
        sim.report(1, 250, milliseconds(1000));
        sim.advance(milliseconds(1000));
        for (std::size_t i = 0; i < count; ++i)
            CHECK(sim.members[i].receipts == 0);
    }
    schema::usage_report message;
    const auto add = [&message](const char* endpoint, std::uint32_t percent, std::uint32_t age) {
        schema::endpoint_use* use = message.add_uses();
        use->set_endpoint(endpoint);
        use->set_pace_percent(percent);
        use->set_pace_age_ms(age);
    };
    add("none", 0, 0);
    add("absurd", 10001, 0);
    add("old", 250, 1000);
    add("older", 250, 4294967295);
    pace_report_map paces;
    decode_paces(message.uses(), instant(std::chrono::seconds(1)), paces);
    CHECK(paces.empty());
}

TEST_CASE("pace reports pass again once a failed relay is replaced", "[shared_pace]") {
    fleet sim(70);
    const std::size_t relay =
        std::stoul(sim.members[1].exchange.relay().value_or(fleet::name(1)).str().substr(8));
    sim.members[relay].frozen = true;
    sim.advance(milliseconds(1500));
    const std::size_t reporter = relay == 5 ? 9 : 5;
    sim.report(reporter, 250, milliseconds(0));
    sim.advance(milliseconds(700));
    for (std::size_t i = 0; i < 70; ++i)
        CHECK((i == relay || i == reporter || sim.known(i).percent == 250));
}

// Guards against a fleet that sends more often because reports differ by noise.
TEST_CASE("only a large change of pace makes a message due", "[shared_pace]") {
    fleet sim(18);
    const auto sent_while = [&sim](std::uint32_t low, std::uint32_t high) {
        const std::size_t before = sim.members[1].messages;
        int step = 0;
        sim.advance(milliseconds(2000),
                    [&] { sim.report(1, ++step % 2 == 0 ? low : high, milliseconds(0)); });
        return sim.members[1].messages - before;
    };
    CHECK(sent_while(91, 109) == 17 * 4);
    CHECK(sent_while(100, 250) >= 17 * 39);
}

TEST_CASE("without reported paces the messages are as before", "[shared_pace]") {
    schema::envelope expected;
    schema::endpoint_use* use =
        (expected.mutable_rumor()->set_entry("a"), expected.mutable_rumor()->add_uses());
    use->set_endpoint("one");
    use->set_online(2);
    schema::envelope encoded;
    const usage_message message{
        entry_id("b"), usage_message::content::own_use, {{endpoint_id("one"), {2, 0}}}, {}, {}};
    encode_usage(message, entry_id("a"), zone_id("z"), instant(), encoded);
    CHECK(encoded.SerializeAsString() == expected.SerializeAsString());
    CHECK(decode_usage(encoded.rumor().uses()) == message.own);
}

// Guards against a cost that grows with the fleet.
TEST_CASE("pace reports cost few bytes", "[.shared-pace-cost]") {
    for (const std::size_t count : {18U, 70U, 300U}) {
        const cost without = bytes_per_second(count, false);
        const cost with = bytes_per_second(count, true);
        std::printf("%3zu gateways: %6.0f bytes/s each, %6.0f with paces; most: %6.0f, %6.0f\n",
                    count, without.mean, with.mean, without.most, with.most);
        CHECK(with.mean - without.mean < 4000);
    }
}
