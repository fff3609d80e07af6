// Messages in which one record of an endpoint can't be read.

#include "cassia/net/peer_hub.h"
#include "cassia/net/task.h"
#include "cassia/schema/messages.pb.h"

#include <catch2/catch.hpp>
#include <glib.h>

#include <string>
#include <vector>

using namespace cassia;

namespace {

constexpr const char* odd_id = "\xff\xfe";

template <class Message>
std::vector<std::string> ids_of(const Message& message) {
    std::vector<std::string> ids;
    for (const schema::endpoint_record& record : message.endpoints())
        ids.push_back(record.id());
    for (const schema::endpoint_pulse& pulse : message.pulses())
        ids.push_back(pulse.id());
    return ids;
}

template <class Message>
void add_endpoints(Message& message) {
    for (const char* id : {"e-1", odd_id, "e-2"}) {
        message.add_endpoints()->set_id(id);
        message.add_pulses()->set_id(id);
    }
    message.add_endpoints()->set_zone(odd_id);
    message.set_directory_revision(9);
}

} // namespace

// Guards against lists of endpoints that stop because a process with earlier software repeats a
// record of another writer that isn't UTF-8.
TEST_CASE("a message without its one unreadable record is received", "[odd-record]") {
    net::task owner("hubs");
    const peer_address receiver("127.79.4.1:9100");
    std::vector<schema::envelope> received;
    net::peer_hub to(owner, {"to", receiver, peer_address(), "", false},
                     [&received](schema::envelope& message) { received.push_back(message); });
    net::peer_hub from(owner, {"from", peer_address("127.79.4.2:9100"), peer_address(), "", false},
                       [](schema::envelope&) {});
    REQUIRE(to.open());
    REQUIRE(from.open());
    schema::envelope news;
    add_endpoints(*news.mutable_news());
    news.mutable_news()->mutable_self()->set_node("k-1");
    from.send(receiver, news);
    schema::envelope beacon;
    add_endpoints(*beacon.mutable_beacon());
    from.send(receiver, beacon);
    // Nothing can be left out of it.
    schema::envelope refused;
    refused.mutable_beacon()->set_keeper(odd_id);
    from.send(receiver, refused);
    schema::envelope last;
    last.mutable_beacon()->set_keeper("k-2");
    from.send(receiver, last);
    const instant limit = monotonic_now() + milliseconds(5000);
    while ((received.empty() || received.back().beacon().keeper() != "k-2") &&
           monotonic_now() < limit)
        g_main_context_iteration(owner.context(), FALSE);
    REQUIRE(received.size() == 3);
    const std::vector<std::string> sound = {"e-1", "e-2", "e-1", "e-2"};
    CHECK(ids_of(received[0].news()) == sound);
    CHECK(received[0].news().self().node() == "k-1");
    CHECK(received[0].news().directory_revision() == 9);
    CHECK(received[0].from() == "from");
    CHECK(ids_of(received[1].beacon()) == sound);
    CHECK(received[1].beacon().directory_revision() == 9);
}
