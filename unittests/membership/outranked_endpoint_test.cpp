// Endpoints that go on announcing themselves after another writer announced something that outranks
// them, in virtual time.

#include "cassia/keeper/endpoint_list_delivery.h"
#include "cassia/membership/endpoint_directory.h"
#include "cassia/membership/followed_endpoints.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <map>
#include <random>
#include <string>
#include <utility>
#include <vector>

using namespace cassia;
using namespace cassia::membership;

namespace {

const instant start = instant(std::chrono::seconds(1000));
constexpr std::uint64_t real_start = 1780000000000;
constexpr std::uint64_t far_ahead = 1ULL << 53U;
constexpr milliseconds beat_interval(1000);
// Three seconds of silence, and two intervals of heartbeats.
constexpr milliseconds believed_after(5000);
const std::string real_address = "10.0.0.1:80";
const std::string other_address = "10.0.0.2:80";

schema::endpoint_record make(const std::string& id, std::uint64_t incarnation,
                             std::uint64_t sequence, const std::string& address = real_address) {
    schema::endpoint_record record;
    record.set_id(id);
    record.set_incarnation(incarnation);
    record.set_sequence(sequence);
    record.set_address(address);
    record.set_service("llm");
    return record;
}

/// \returns the kinds of entries that outrank incarnation `real_start` of e-1 at its address.
std::vector<schema::endpoint_record> odd_entries() {
    std::vector<schema::endpoint_record> out = {
        make("e-1", far_ahead, 1),
        make("e-1", far_ahead, far_ahead, other_address),
        make("e-1", real_start + 1, 1, other_address),
        make("e-1", real_start, far_ahead, other_address),
        make("e-1", far_ahead, 1),
        make("e-1", far_ahead, 1),
        make("odd", far_ahead, 1),
        make("odd", real_start + 1, far_ahead),
        make("odd", far_ahead, 1),
    };
    out[4].set_leaving(true);
    out[5].set_leaving(true);
    out[5].set_gone(true);
    out[8].set_leaving(true);
    return out;
}

template <class Directory>
bool serves_real(const Directory& directory, instant now) {
    for (const endpoint_state* endpoint : directory.serving(now)) {
        if (endpoint->record.id() == "e-1")
            return endpoint->record.incarnation() == real_start &&
                   endpoint->record.address() == real_address;
    }
    return false;
}

/// Keepers that forward to each other what was announced to them, and a gateway that follows each.
class keeper_group {
public:
    explicit keeper_group(unsigned seed) : random_(seed), keepers_(3) {
        for (std::size_t i = 0; i < keepers_.size(); ++i)
            keepers_[i].gateway.follow(peer_address(std::to_string(i)), start);
    }
    endpoint_directory& directory(std::size_t keeper) { return keepers_[keeper].directory; }
    std::size_t size() const { return keepers_.size(); }
    void exchange(instant now) {
        for (member& sender : keepers_) {
            sender.directory.mark_unresponsive(now);
            for (member& receiver : keepers_) {
                if (&receiver != &sender && random_() % 4 != 0)
                    forward(sender, receiver, now);
            }
        }
        for (std::size_t i = 0; i < keepers_.size(); ++i) {
            if (random_() % 4 != 0)
                send_beacon(i, now);
        }
    }
    /// \returns in how many keepers and gateways the real endpoint is in service.
    int believed(instant now) const {
        int count = 0;
        for (const member& keeper : keepers_)
            count += (serves_real(keeper.directory, now) ? 1 : 0) +
                     (serves_real(keeper.gateway, now) ? 1 : 0);
        return count;
    }

private:
    struct member {
        endpoint_directory directory{endpoint_directory_settings()};
        std::map<const member*, std::uint64_t> sent;
        followed_endpoints gateway;
        std::uint64_t sent_to_gateway = 0;
    };
    static void forward(member& sender, member& receiver, instant now) {
        std::uint64_t& base = sender.sent[&receiver];
        for (schema::endpoint_record& record : sender.directory.records_since(base, now)) {
            record.clear_unresponsive();
            receiver.directory.merge_remote(record, now);
        }
        for (const schema::endpoint_pulse& pulse :
             sender.directory.pulses_since(base, now, endpoint_directory::pulse_scope::direct))
            receiver.directory.merge_remote(pulse, now);
        base = sender.directory.revision();
    }
    void send_beacon(std::size_t number, instant now) {
        member& keeper = keepers_[number];
        schema::keeper_beacon beacon;
        beacon.set_directory_epoch(number + 1);
        beacon.set_endpoints_base(keeper.sent_to_gateway);
        beacon.set_directory_revision(keeper.directory.revision());
        for (schema::endpoint_record& record :
             keeper.directory.records_since(keeper.sent_to_gateway, now))
            *beacon.add_endpoints() = std::move(record);
        keeper.gateway.apply_beacon(peer_address(std::to_string(number)), beacon, now);
        keeper.sent_to_gateway = keeper.directory.revision();
    }

    std::mt19937 random_;
    std::vector<member> keepers_;
};

} // namespace

// Guards against one odd entry that takes a sound endpoint out of service for good.
TEST_CASE("an endpoint that was outranked is believed again", "[membership][outranked]") {
    const std::vector<schema::endpoint_record> kinds = odd_entries();
    for (std::size_t kind = 0; kind < kinds.size(); ++kind) {
        INFO("kind " << kind);
        endpoint_directory directory{endpoint_directory_settings()};
        schema::endpoint_record odd = kinds[kind];
        std::uint64_t sequence = 0;
        int served_late = 0;
        for (int tick = 0; tick <= 200; ++tick) {
            const instant now = start + tick * milliseconds(100);
            if (tick % 10 == 0)
                directory.merge_announcement(make("e-1", real_start, ++sequence), now);
            if (tick >= 20 && tick <= 40 && tick % 2 == 0) {
                odd.set_sequence(odd.sequence() + (odd.sequence() < far_ahead ? 1 : 0));
                directory.merge_announcement(odd, now);
            }
            directory.mark_unresponsive(now);
            if (tick < 20)
                CHECK(serves_real(directory, now));
            if (now - (start + milliseconds(4000)) >= believed_after)
                served_late += serves_real(directory, now) ? 1 : 0;
        }
        CHECK(served_late == 111);
    }
}

// Guards against keepers that pass an odd entry back and forth, and against gateways that keep it.
TEST_CASE("all keepers and gateways believe an outranked endpoint again",
          "[membership][outranked]") {
    const std::vector<schema::endpoint_record> kinds = odd_entries();
    int failed = 0;
    for (unsigned seed = 1; seed <= 90; ++seed) {
        keeper_group group(seed);
        std::mt19937 random(seed + 1000);
        const schema::endpoint_record& odd = kinds[seed % kinds.size()];
        const bool in_turn = seed % 2 == 0;
        std::uint64_t sequence = 0;
        bool held = true;
        for (int tick = 0; tick <= 400; ++tick) {
            const instant now = start + tick * milliseconds(100);
            if (tick % 10 == 0) {
                ++sequence;
                group.directory(in_turn ? sequence % group.size() : 0)
                    .merge_announcement(make("e-1", real_start, sequence), now);
            }
            if (tick >= 20 && tick <= 40 && tick % 2 == 0)
                group.directory(random() % group.size()).merge_announcement(odd, now);
            group.exchange(now);
            // In turn each keeper hears the endpoint itself only each third time.
            if (now - (start + milliseconds(4000)) >= 2 * believed_after)
                held = held && group.believed(now) == 6;
        }
        INFO("seed " << seed);
        CHECK(held);
        failed += held ? 0 : 1;
    }
    CHECK(failed == 0);
}

// Guards against keepers that revive an endpoint that has ended, by reports whose age is off by a
// millisecond.
TEST_CASE("an endpoint that has ended stays out of service at all keepers", "[.silent-revival]") {
    endpoint_directory first{endpoint_directory_settings()};
    endpoint_directory second{endpoint_directory_settings()};
    first.merge_announcement(make("e-1", real_start, 1), start);
    int revived = 0;
    std::uint64_t first_sent = 0;
    std::uint64_t second_sent = 0;
    const auto forward = [](const endpoint_directory& from, endpoint_directory& to,
                            std::uint64_t& sent, instant now) {
        for (const schema::endpoint_record& record : from.records_since(sent, now))
            to.merge_remote(record, now + milliseconds(1));
        for (const schema::endpoint_pulse& pulse : from.pulses_since(sent, now))
            to.merge_remote(pulse, now + milliseconds(1));
        sent = from.revision();
    };
    for (int tick = 0; tick <= 200; ++tick) {
        const instant now = start + tick * milliseconds(100);
        first.mark_unresponsive(now);
        second.mark_unresponsive(now);
        forward(first, second, first_sent, now);
        forward(second, first, second_sent, now + milliseconds(20));
        for (const endpoint_directory* keeper : {&first, &second})
            for (const schema::endpoint_record& record : keeper->records_since(0, now))
                revived += tick >= 40 && !record.unresponsive() ? 1 : 0;
    }
    CHECK(revived == 0);
}

// Guards against heartbeats delayed by a partition that bring a process back that has ended.
TEST_CASE("delayed heartbeats of a predecessor change nothing", "[membership][outranked]") {
    for (unsigned seed = 1; seed <= 200; ++seed) {
        INFO("seed " << seed);
        std::mt19937 random(seed);
        endpoint_directory directory{endpoint_directory_settings()};
        const bool same_id = seed % 2 == 0;
        std::vector<std::pair<instant, schema::endpoint_record>> arrivals;
        for (std::uint64_t beat = 0; beat < 40; ++beat) {
            const instant sent = start + beat * milliseconds(500);
            const bool earlier = beat < 10;
            schema::endpoint_record record =
                make(same_id || earlier ? "e-1" : "e-2", real_start + (earlier ? 0 : 1), beat + 1);
            const milliseconds most_delay(earlier ? 8000 : 900);
            arrivals.emplace_back(
                sent + milliseconds(random() % static_cast<unsigned>(most_delay.count())), record);
        }
        std::stable_sort(arrivals.begin(), arrivals.end(),
                         [](const auto& a, const auto& b) { return a.first < b.first; });
        bool registered = false;
        for (const std::pair<instant, schema::endpoint_record>& arrival : arrivals) {
            directory.merge_announcement(arrival.second, arrival.first);
            registered = registered || arrival.second.incarnation() > real_start;
            const std::vector<const endpoint_state*> serving = directory.serving(arrival.first);
            REQUIRE(serving.size() == 1);
            CHECK(serving[0]->record.incarnation() == real_start + (registered ? 1 : 0));
        }
    }
}

// Guards against delayed heartbeats, read at once, that bring back a process that has ended.
TEST_CASE("a burst of delayed heartbeats isn't believed when the successor is silent",
          "[membership][outranked]") {
    for (const char* successor : {"e-1", "e-2"}) {
        endpoint_directory directory{endpoint_directory_settings()};
        directory.merge_announcement(make("e-1", real_start, 1), start);
        directory.merge_announcement(make(successor, real_start + 1, 1), start);
        for (std::uint64_t beat = 2; beat < 30; ++beat) {
            const instant now = start + milliseconds(4000) + beat * milliseconds(90);
            directory.merge_announcement(make("e-1", real_start, beat), now);
            CHECK_FALSE(serves_real(directory, now));
        }
        // The same announcement again proves nothing, however late.
        for (int second = 7; second < 12; ++second) {
            const instant now = start + milliseconds(1000) * second;
            directory.merge_announcement(make("e-1", real_start, 29), now);
            CHECK_FALSE(serves_real(directory, now));
        }
    }
}

// Guards against requests for an endpoint whose drain was acknowledged.
TEST_CASE("a drained incarnation never comes back", "[membership][outranked]") {
    const std::vector<schema::endpoint_record> kinds = odd_entries();
    for (std::size_t kind = 0; kind < kinds.size(); ++kind) {
        for (const bool drained_first : {true, false}) {
            INFO("kind " << kind << " drained first " << drained_first);
            endpoint_directory directory{endpoint_directory_settings()};
            directory.merge_announcement(make("e-1", real_start, 1), start);
            schema::endpoint_record leaving = make("e-1", real_start, 2);
            leaving.set_leaving(true);
            if (drained_first)
                directory.merge_announcement(leaving, start);
            directory.merge_announcement(kinds[kind], start + milliseconds(100));
            if (!drained_first)
                directory.merge_announcement(leaving, start + milliseconds(200));
            for (std::uint64_t beat = 3; beat < 30; ++beat) {
                const instant now = start + beat * beat_interval;
                directory.merge_announcement(make("e-1", real_start, beat), now);
                directory.mark_unresponsive(now);
                CHECK_FALSE(serves_real(directory, now));
            }
        }
    }
}

// Guards against a gateway that takes an earlier incarnation from a keeper that is behind.
TEST_CASE("a gateway keeps what it knows while the next keeper may be behind",
          "[membership][outranked]") {
    followed_endpoints gateway;
    const peer_address first("1");
    const peer_address second("2");
    const auto list = [&gateway](const peer_address& keeper, std::uint64_t revision,
                                 const schema::endpoint_record& record, instant now) {
        schema::keeper_beacon beacon;
        beacon.set_directory_epoch(revision);
        beacon.set_directory_revision(revision);
        *beacon.add_endpoints() = record;
        gateway.apply_beacon(keeper, beacon, now);
    };
    gateway.follow(first, start);
    schema::endpoint_record later = make("e-1", real_start + 1, 1);
    later.set_leaving(true);
    list(first, 1, later, start);
    gateway.follow(second, start + milliseconds(100));
    list(second, 2, make("e-1", real_start, 9), start + milliseconds(100));
    CHECK(gateway.serving(start + milliseconds(3000)).empty());
    SECTION("until it goes on reporting it") {
        schema::keeper_beacon empty;
        empty.set_directory_epoch(2);
        empty.set_endpoints_base(2);
        empty.set_directory_revision(3);
        gateway.apply_beacon(second, empty, start + milliseconds(3200));
        CHECK(serves_real(gateway, start + milliseconds(3200)));
    }
    SECTION("and what it reports later counts") {
        list(second, 3, later, start + milliseconds(3000));
        schema::keeper_beacon empty;
        empty.set_directory_epoch(3);
        empty.set_endpoints_base(3);
        empty.set_directory_revision(4);
        gateway.apply_beacon(second, empty, start + milliseconds(9000));
        CHECK(gateway.serving(start + milliseconds(9000)).empty());
    }
}
