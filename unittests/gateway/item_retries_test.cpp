// Batch items that wait for a quarantined part of prompts.

#include "item_runner_fixture.h"

using namespace cassia;
using namespace cassia::gateway;

// Guards against a gateway that leases nothing more, for any job, as it holds many items that wait
// for a quarantined part of prompts.
TEST_CASE("many items with a quarantined part keep no others from being leased", "[.][items]") {
    constexpr int blocked = 300;
    runner_fixture fixture;
    fixture.grants_trials = false;
    endpoint_stub& endpoint = fixture.add_endpoint("first", "v1");
    fixture.runner.set_routes(make_routes(1, {{"jobs", {"first"}}}));
    fixture.quarantine_part("first", prompt_part_id("bad"));
    fixture.runner.set_prompt_parts_reader([](const net::http_fields& fields) {
        return fields.find("Part").empty()
                   ? std::vector<prompt_part_id>()
                   : std::vector<prompt_part_id>{prompt_part_id(std::string(fields.find("Part")))};
    });
    for (int i = 0; i < blocked; ++i) {
        schema::leased_item item = fixture.make_item("q" + std::to_string(i), "jobs", 1);
        schema::header_field& part = *item.mutable_item()->add_headers();
        part.set_name("Part");
        part.set_value("bad");
        fixture.offer(item);
    }
    fixture.offer(fixture.make_item("a", "jobs", 1));
    const instant began = monotonic_now();
    while (fixture.runner.size() < blocked && monotonic_now() - began < max_untried_time)
        fixture.run_for(tick_interval);
    CHECK(fixture.is_received_in_time(endpoint, "a"));
}
