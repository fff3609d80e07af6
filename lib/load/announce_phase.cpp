#include "cassia/load/announce_phase.h"

#include <boost/json.hpp>

#include <utility>

namespace cassia::load {

namespace {
constexpr unsigned connections = 64;
constexpr milliseconds tick_interval(10);
constexpr std::uint32_t ticks_a_second = 100;
} // namespace

announce_phase::announce_phase(net::task& task, const schema::load_settings& settings,
                               std::vector<std::string> targets)
    : task_(task), settings_(settings), targets_(std::move(targets)), client_(task, connections),
      incarnation_(to_unix_ms(wall_now())) {}

void announce_phase::start(std::function<void()> done) {
    done_ = std::move(done);
    task_.every(tick_interval, [this] {
        const std::uint32_t part = static_cast<std::uint32_t>(ticks_ % ticks_a_second);
        for (std::uint32_t i = part; i < settings_.endpoints(); i += ticks_a_second)
            announce(i);
        if (++ticks_ >= std::uint64_t{settings_.seconds()} * ticks_a_second && done_)
            std::exchange(done_, nullptr)();
    });
}

std::string announce_phase::body(std::uint32_t endpoint) const {
    const std::string number = std::to_string(endpoint);
    return boost::json::serialize(boost::json::object{
        {"id", "made-up-" + number},
        {"incarnation", incarnation_},
        {"address", "127.99." + std::to_string(endpoint / 250) + "." +
                        std::to_string(1 + endpoint % 250) + ":9000"},
        {"zone", "zone-" + std::to_string(endpoint % 14)},
        {"service", "made-up"},
        {"kind", "engine"},
        {"models", boost::json::array{boost::json::object{{"model", "made-up"}}}},
        {"load", {{"running", ticks_ % 16}, {"waiting", 0}, {"kv_used", 0}, {"kv_total", 1}}},
        {"max_running", 16},
        {"state", "serving"},
        {"checks_fence", true}});
}

void announce_phase::announce(std::uint32_t endpoint) {
    net::http_call call;
    call.method = "POST";
    call.to = http_address(targets_[endpoint % targets_.size()]);
    call.path = "/v1/announce";
    call.headers["Authorization"] = "Bearer " + settings_.endpoint_token();
    call.body = body(endpoint);
    net::fetch(client_, call, [this](const outcome<net::http_answer, net::http_failure>& answer) {
        const bool taken = answer && answer.value().head.status == 200;
        ++(taken ? accepted_ : refused_);
    });
}

} // namespace cassia::load
