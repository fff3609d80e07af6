// Which items that wait for quarantined parts of prompts ask for a run.

#include "cassia/policy/retry_candidates.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <vector>

using namespace cassia;
using namespace cassia::policy;

namespace {

constexpr instant start = instant() + milliseconds(1000000);

waiting_retry make(const std::string& part, int idle_since_ms, std::uint32_t crashes) {
    return {fingerprint(part), {start + milliseconds(idle_since_ms), crashes, start}};
}

} // namespace

// Guards against items that have been idle for long and don't ask, behind others that ran later.
TEST_CASE("items that have been idle for longest ask", "[retry-candidates]") {
    std::vector<waiting_retry> waiting;
    for (int i = 0; i < 200; ++i)
        waiting.push_back(make("part", 200 - i, 0));
    const std::vector<std::size_t> found = select_retry_candidates(waiting, {16, 64});
    REQUIRE(found.size() == 16);
    for (const std::size_t index : found)
        CHECK(index >= waiting.size() - 16);
}

// Guards against sound items that never run alone behind many that crash endpoints.
TEST_CASE("an item that crashed least asks, however late it ran", "[retry-candidates]") {
    std::vector<waiting_retry> waiting;
    for (int i = 0; i < 200; ++i)
        waiting.push_back(make("part", i, 2));
    waiting.push_back(make("part", 1000, 0));
    const std::vector<std::size_t> found = select_retry_candidates(waiting, {16, 64});
    CHECK(found.size() == 16);
    CHECK(std::count(found.begin(), found.end(), waiting.size() - 1) == 1);
    CHECK(found.front() == 0);
    CHECK(std::set<std::size_t>(found.begin(), found.end()).size() == found.size());
}

// Guards against a part whose items never run as those of other parts take all places.
TEST_CASE("parts share what may ask", "[retry-candidates]") {
    std::vector<waiting_retry> waiting;
    for (int i = 0; i < 100; ++i) {
        for (int part = 0; part < 10; ++part)
            waiting.push_back(make(std::to_string(part), 10 * i + part, 0));
    }
    std::map<fingerprint, std::size_t> by_part;
    const std::vector<std::size_t> found = select_retry_candidates(waiting, {16, 64});
    CHECK(found.size() == 64);
    for (const std::size_t index : found)
        ++by_part[waiting[index].part];
    CHECK(by_part.size() == 10);
    for (const auto& one : by_part)
        CHECK(one.second >= 6);
}

// Guards against parts that never ask where there are more of them than places.
TEST_CASE("of many parts those whose items have been idle for longest ask", "[retry-candidates]") {
    std::vector<waiting_retry> waiting;
    for (int part = 0; part < 200; ++part)
        waiting.push_back(make(std::to_string(part), 200 - part, 0));
    const std::vector<std::size_t> found = select_retry_candidates(waiting, {16, 64});
    REQUIRE(found.size() == 64);
    for (const std::size_t index : found)
        CHECK(index >= waiting.size() - 64);
}

TEST_CASE("nothing asks where nothing waits", "[retry-candidates]") {
    CHECK(select_retry_candidates({}, {16, 64}).empty());
    CHECK(select_retry_candidates({make("part", 0, 0)}, {16, 64}).size() == 1);
}
