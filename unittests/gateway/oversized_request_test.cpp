// Requests and items that are larger than the memory of an endpoint.

#include "cassia/gateway/dispatcher.h"
#include "cassia/net/raw_client.h"
#include "item_runner_fixture.h"

using namespace cassia;
using namespace cassia::gateway;

namespace {

constexpr std::uint64_t memory = 1000;

std::optional<std::uint64_t> read_tokens(const net::http_fields& fields) {
    const std::string text(fields.find("Tokens"));
    return text.empty() ? std::nullopt : std::optional<std::uint64_t>(std::stoull(text));
}

} // namespace

// Guards against an item that is sent to endpoints which it crashes, against one that waits for
// ever since no endpoint can hold it, and against one that is given up before its time.
TEST_CASE("an oversized item is never sent, and fails once it may be given up", "[oversized]") {
    runner_fixture fixture;
    endpoint_stub& endpoint = fixture.add_endpoint("s", "v");
    fixture.runner.set_request_tokens_reader(read_tokens);
    fixture.set_memory_limit("s", memory);
    fixture.runner.set_routes(make_routes(1, {{"r", {"s"}}}));
    schema::leased_item by_header = fixture.make_item("by-header", "r", 0);
    schema::header_field& field = *by_header.mutable_item()->add_headers();
    field.set_name("Tokens");
    field.set_value("1001");
    schema::leased_item by_body = fixture.make_item("by-body", "r", 1);
    by_body.mutable_item()->set_tokens(memory + 1);
    schema::leased_item fits = fixture.make_item("fits", "r", 2);
    fits.mutable_item()->set_tokens(memory);
    schema::leased_item unknown = fixture.make_item("unknown", "r", 3);
    schema::leased_item owed = fixture.make_item("owed", "r", 4);
    owed.mutable_item()->set_tokens(memory + 1);
    owed.set_abandon_at(to_unix_ms(wall_now()) + 60000);
    for (const schema::leased_item& one : {by_header, by_body, owed, fits, unknown})
        fixture.offer(one);
    CHECK(fixture.is_received_in_time(endpoint, "fits"));
    CHECK(fixture.is_received_in_time(endpoint, "unknown"));
    CHECK_FALSE(endpoint.has_received("by-header"));
    CHECK_FALSE(endpoint.has_received("by-body"));
    CHECK_FALSE(endpoint.has_received("owed"));
    CHECK(fixture.statuses.count("job-owed") == 0);
    CHECK(fixture.statuses["job-by-header"] == schema::failed);
    CHECK(fixture.statuses["job-by-body"] == schema::failed);
}

// Guards against an oversized request that is sent, or that its caller repeats at endpoints.
TEST_CASE("an oversized request is answered with 413 and both figures", "[oversized]") {
    start_logs("test", log_level::error, "");
    net::task task("test");
    const http_address endpoint_address(own_net() + ".1:7301");
    const http_address gateway_address(own_net() + ".2:7301");
    endpoint_stub endpoint(task, endpoint_address);
    metrics counts;
    policy::slot_table slots{zone_id("z")};
    slots.set_endpoints({{endpoint_id("e"), 1, endpoint_address, zone_id("z"), service_id("s"), 4,
                          software_version("v")}});
    slots.set_memory_limits({{service_id("s"), memory}});
    net::raw_client client(task, "");
    crash_monitor_hooks crash_hooks;
    crash_hooks.send = [](const entry_id&, schema::envelope&) { return false; };
    crash_hooks.on_crash = [](const policy::endpoint_process&) {};
    crash_hooks.on_quarantine = [] {};
    crash_monitor crashes(task, "", entry_id("g"), zone_id("z"), counts, crash_hooks);
    trial_exchange_hooks trial_hooks;
    trial_hooks.send = [](const entry_id&, schema::envelope&) { return false; };
    trial_exchange trials(entry_id("g"), trial_hooks);
    origin_exchange_hooks origin_hooks;
    origin_hooks.send = [](const entry_id&, schema::envelope&) { return false; };
    origin_exchange origins(task, entry_id("g"), zone_id("z"), counts, origin_hooks);
    std::unique_ptr<dispatcher> dispatch;
    const std::shared_ptr<const routes::table> table = make_routes(1, {{"r", {"s"}}});
    net::raw_server server(
        task, net::raw_server_limits(),
        {[&](exchange_id id, net::raw_request request) {
             dispatch->submit(
                 {id, std::move(request), table, table->find("r"), nullptr, {}, monotonic_now()});
         },
         [&](exchange_id id) { dispatch->on_caller_gone(id); }});
    REQUIRE(server.listen(gateway_address));
    std::size_t refunds = 0;
    dispatcher_hooks hooks;
    hooks.refund_quota = [&refunds](const policy::quota_grant&) { ++refunds; };
    dispatch = std::make_unique<dispatcher>(server, client, slots, crashes, trials, origins, counts,
                                            header_names(), hooks);
    dispatch->set_request_tokens_reader(read_tokens);
    const auto ask = [&](const std::string& tokens) {
        net::raw_call call;
        call.to = gateway_address;
        call.request.method = "POST";
        call.request.target = "/r/x";
        call.request.fields.add("Host", "shop.example");
        call.request.fields.add("Cassia-Request-Id", "q" + tokens);
        call.request.fields.add("Tokens", tokens);
        std::pair<int, std::string> response;
        net::raw_call_hooks response_hooks;
        response_hooks.on_head = [&](const net::raw_head& head) { response.first = head.status; };
        response_hooks.on_piece = [&](std::string_view bytes) { response.second.append(bytes); };
        response_hooks.on_end = [&] { task.quit(); };
        response_hooks.on_failure = [&](const net::raw_failure&) { task.quit(); };
        client.start(std::move(call), std::move(response_hooks));
        task.after(milliseconds(3000), [&] { task.quit(); });
        task.run();
        return response;
    };
    const std::pair<int, std::string> response = ask("1001");
    CHECK(response.first == 413);
    CHECK(response.second.find("1001") != std::string::npos);
    CHECK(response.second.find("1000") != std::string::npos);
    CHECK(endpoint.requests() == 0);
    CHECK(refunds == 1);
    CHECK(counts.counter("refused_too_large") == 1);
    CHECK(ask("250").first == 200);
    CHECK(endpoint.requests() == 1);
    CHECK(slots.tokens_in_use(endpoint_id("e")) == 0);
}
