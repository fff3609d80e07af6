// What a gateway asks its coordinators about runs of suspects.

#include "cassia/gateway/trial_exchange.h"

#include <catch2/catch.hpp>

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
