// Late copies of earlier responses at the client of the product's own entries.

#include "call_fixture.h"

#include "cassia/net/http_client.h"

using namespace cassia;
using namespace cassia::net;

// Guards against a caller that gets the response to another request: its copy comes late on a kept
// connection, where the own response is expected.
TEST_CASE("a late copy isn't taken for the response to the next call", "[http-late-copy]") {
    const std::string address = "127.77.9.1:7205";
    task own_task("test");
    scripted_endpoint endpoint(own_task, address);
    http_client client(own_task, 1, "127.0.0.1");
    const auto response = [](const std::string& id) {
        return "HTTP/1.1 200 OK\r\nCassia-Request-Id: " + id +
               "\r\nKeep-Alive: timeout=5\r\nContent-Length: 2\r\n\r\n" + id;
    };
    const auto call = [&](const std::string& id) {
        http_call one;
        one.method = "POST";
        one.to = http_address(address);
        one.path = "/";
        one.headers["Cassia-Request-Id"] = id;
        std::string body;
        fetch(client, one, [&](const outcome<http_answer, http_failure>& answer) {
            body = answer ? answer.value().body : "failed";
            own_task.quit();
        });
        own_task.run();
        return body;
    };
    endpoint.answer = response("r1");
    CHECK(call("r1") == "r1");
    endpoint.answer = response("r1") + response("r2");
    CHECK(call("r2") == "r2");
    CHECK(endpoint.connections == 1);
}
