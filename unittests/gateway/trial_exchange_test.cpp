// What a gateway asks its coordinators about runs of suspects.

#include "cassia/gateway/trial_exchange.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <vector>

using namespace cassia;
using namespace cassia::gateway;

// Guards against two runs at once with a part, as one was asked for when another was suspected.
TEST_CASE("a run that waits is asked for by its latest cause", "[trials]") {
    const entry_id self("gateway");
    std::uint64_t endpoints = 0;
    bool grants = false;
    trial_exchange_hooks hooks;
    hooks.coordinators = [&self] { return std::vector<entry_id>{self}; };
    hooks.choose_endpoint = [&endpoints, &grants](const policy::trial_request&,
                                                  const std::set<endpoint_id>&) {
        std::optional<endpoint_id> found;
        if (grants)
            found = endpoint_id("e" + std::to_string(++endpoints));
        return policy::trial_schedule::choice{found, 4};
    };
    trial_exchange trials(self, hooks);
    const service_id service("llm");
    const auto begin = [&trials, &service](const std::string& cause) {
        return *trials.begin(fingerprint(cause), service, {}, policy::work_kind::online);
    };
    const trial_id first = begin("cleared");
    const trial_id second = begin("part");
    trials.set_cause(first, fingerprint("part"));
    grants = true;
    trials.tick();
    CHECK(trials.find(first).endpoint.has_value() != trials.find(second).endpoint.has_value());
}

// Guards against items that are idle since their gateway asks for one run of their cause at a time.
TEST_CASE("items of one cause at one gateway don't wait for one another's runs", "[trials]") {
    constexpr milliseconds max_idle_time(5000);
    constexpr milliseconds tick_interval(50);
    const entry_id self("gateway");
    std::uint64_t endpoints = 0;
    trial_exchange_hooks hooks;
    hooks.coordinators = [&self] { return std::vector<entry_id>{self}; };
    hooks.choose_endpoint = [&endpoints](const policy::trial_request&,
                                         const std::set<endpoint_id>&) {
        return policy::trial_schedule::choice{endpoint_id("e" + std::to_string(++endpoints)), 4};
    };
    trial_exchange trials(self, hooks);
    std::vector<std::optional<trial_id>> items(4);
    const auto has_begun = [&trials](const std::optional<trial_id>& item) {
        return item && trials.find(*item).endpoint.has_value();
    };
    const instant began = monotonic_now();
    while (monotonic_now() - began < max_idle_time) {
        for (std::optional<trial_id>& item : items) {
            if (!item)
                item = trials.begin(fingerprint("part"), service_id("llm"), {},
                                    policy::work_kind::batch);
        }
        trials.tick();
        std::this_thread::sleep_for(tick_interval);
    }
    CHECK(std::all_of(items.begin(), items.end(), has_begun));
}

// Guards against suspects that never run as those of a service without endpoints wait.
TEST_CASE("suspects of one service don't keep those of others from running", "[trials]") {
    constexpr std::size_t waiting = 200;
    constexpr std::size_t services = 20;
    constexpr std::size_t most_asked = 150; // few enough for the coordinator's table
    const entry_id self("gateway");
    trial_exchange_hooks hooks;
    hooks.coordinators = [&self] { return std::vector<entry_id>{self}; };
    hooks.choose_endpoint = [](const policy::trial_request& request, const std::set<endpoint_id>&) {
        std::optional<endpoint_id> found;
        if (request.service == service_id("idle"))
            found = endpoint_id("e");
        return policy::trial_schedule::choice{found, 4};
    };
    for (const policy::work_kind kind : {policy::work_kind::online, policy::work_kind::batch}) {
        trial_exchange trials(self, hooks);
        std::size_t asked = 0;
        for (std::size_t service = 0; service < services; ++service) {
            for (std::size_t i = 0; i < waiting; ++i) {
                const std::string name = std::to_string(service);
                asked += trials.begin(fingerprint(name + "/" + std::to_string(i)), service_id(name),
                                      {}, kind)
                             ? 1
                             : 0;
            }
        }
        CHECK(asked <= most_asked);
        const std::optional<trial_id> sound =
            trials.begin(fingerprint("sound"), service_id("idle"), {}, kind);
        REQUIRE(sound);
        trials.tick();
        CHECK(trials.find(*sound).endpoint);
    }
}

// Guards against a gateway that starts again and is granted what its earlier process asked for.
TEST_CASE("a process doesn't number its runs as the one before did", "[trials]") {
    const entry_id self("gateway");
    trial_exchange_hooks hooks;
    hooks.coordinators = [&self] { return std::vector<entry_id>{self}; };
    trial_exchange before(self, hooks);
    trial_exchange after(self, hooks);
    const auto first_run = [](trial_exchange& trials) {
        return *trials.begin(fingerprint("part"), service_id("llm"), {}, policy::work_kind::online);
    };
    CHECK(first_run(before) != first_run(after));
}
