// Records out of all bounds that a process reads from others, which may run earlier software, in
// virtual time.

#include "cassia/membership/endpoint_directory.h"
#include "cassia/membership/followed_endpoints.h"
#include "odd_records.h"

#include <catch2/catch.hpp>

#include <set>
#include <string>

using namespace cassia;
using namespace cassia::membership;

namespace {

const instant start = instant(std::chrono::seconds(1000));
const peer_address keeper("10.0.0.100:9100");
const std::set<std::string> sound_ids = {"e-1", "e-2"};

template <class Directory>
std::set<std::string> ids_in_service(const Directory& directory, instant now) {
    std::set<std::string> ids;
    for (const endpoint_state* endpoint : directory.serving(now))
        ids.insert(endpoint->record.id());
    return ids;
}

/// An odd record of its own, or of an endpoint in use.
schema::endpoint_record make_odd(const std::function<void(schema::endpoint_record&)>& change,
                                 bool in_use) {
    schema::endpoint_record odd = make_sound_record(in_use ? "e-1" : "odd", in_use ? 81 : 99);
    odd.set_sequence(6);
    change(odd);
    return odd;
}

} // namespace

// Guards against an odd record of another process that is listed, or takes an endpoint in use away.
TEST_CASE("an odd record among those of other processes changes nothing", "[odd-record]") {
    const bool in_use = GENERATE(false, true);
    const bool leaving = GENERATE(false, true);
    for (std::size_t i = 0; i < oddities().size(); ++i) {
        CAPTURE(i, in_use, leaving);
        schema::endpoint_record odd = make_odd(oddities()[i], in_use);
        odd.set_leaving(leaving);
        endpoint_directory directory({});
        schema::keeper_beacon beacon;
        beacon.set_directory_epoch(1);
        beacon.set_directory_revision(3);
        *beacon.add_endpoints() = make_sound_record("e-1", 81);
        *beacon.add_endpoints() = odd;
        *beacon.add_endpoints() = make_sound_record("e-2", 82);
        for (const schema::endpoint_record& record : beacon.endpoints())
            directory.merge_remote(record, start);
        followed_endpoints followed;
        followed.follow(keeper, start);
        CHECK(followed.apply_beacon(keeper, beacon, start));
        CHECK(ids_in_service(directory, start) == sound_ids);
        CHECK(ids_in_service(followed, start) == sound_ids);
        CHECK(directory.all().size() == 2);
        CHECK(followed.all().size() == 2);
        CHECK(directory.all().at(endpoint_id("e-1")).record.sequence() == 5);
        CHECK_FALSE(directory.merge_announcement(odd, start));
        CHECK(ids_in_service(directory, start) == sound_ids);
    }
}

// Guards against a report with a number beyond all counts, behind which no announcement is new.
TEST_CASE("an odd liveness report changes nothing", "[odd-record]") {
    endpoint_directory directory({});
    directory.merge_announcement(make_sound_record("e-1", 81), start);
    schema::endpoint_pulse pulse;
    pulse.set_id("e-1");
    pulse.set_incarnation(1780000000000);
    pulse.set_sequence(UINT64_MAX);
    const instant later = start + milliseconds(500);
    CHECK_FALSE(directory.merge_remote(pulse, later));
    schema::endpoint_record next = make_sound_record("e-1", 81);
    next.set_sequence(6);
    next.set_max_running(4);
    CHECK(directory.merge_announcement(next, later + milliseconds(500)));
    CHECK(directory.all().at(endpoint_id("e-1")).record.max_running() == 4);
}

// Guards against bounds that refuse what endpoints may announce.
TEST_CASE("a record at the bounds is listed", "[odd-record]") {
    endpoint_directory directory({});
    schema::endpoint_record record = make_sound_record(std::string(256, 'i'), 65535);
    record.set_max_running(65535);
    record.set_incarnation(1ULL << 53U);
    record.set_sequence(1ULL << 53U);
    record.clear_service();
    record.clear_zone();
    record.clear_software_version();
    CHECK(directory.merge_remote(record, start));
    schema::endpoint_record accented = make_sound_record("i-\xc3\xa9", 1);
    accented.add_models()->set_model("m");
    CHECK(directory.merge_remote(accented, start));
    schema::endpoint_record gone;
    gone.set_id("unknown");
    gone.set_gone(true);
    CHECK(directory.merge_remote(gone, start));
    CHECK(directory.serving(start).size() == 2);
}
