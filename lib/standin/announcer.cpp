#include "cassia/standin/announcer.h"

#include "cassia/base/digest.h"
#include "cassia/base/log.h"

#include <boost/json.hpp>

#include <algorithm>
#include <utility>

namespace cassia::standin {

namespace {
constexpr milliseconds announce_interval(1000);
constexpr milliseconds answer_timeout(800);
constexpr unsigned connections = 2;
} // namespace

announcer::announcer(net::task& task, const schema::standin_settings& settings,
                     std::function<reported_load()> load)
    : task_(task), settings_(settings), load_(std::move(load)), client_(task, connections),
      incarnation_(to_unix_ms(wall_now())),
      entries_(settings.entry().begin(), settings.entry().end()) {
    current_ = entries_.empty() ? 0 : stable_hash(settings.name()) % entries_.size();
}

void announcer::start() {
    if (entries_.empty())
        return;
    task_.post([this] { announce(); });
    task_.every(announce_interval, [this] { announce(); });
}

void announcer::leave() {
    leaving_ = true;
    announce();
}

std::string announcer::body() {
    const instant now = monotonic_now();
    loads_.emplace_back(now, load_());
    const milliseconds lag(settings_.load_lag_ms());
    while (loads_.size() > 1 && now - loads_[1].first >= lag)
        loads_.pop_front();
    const reported_load& load = loads_.front().second;
    const bool engine = settings_.kind() == "engine";
    boost::json::object out;
    out["id"] = settings_.name();
    out["incarnation"] = incarnation_;
    out["address"] = settings_.address();
    out["zone"] = settings_.zone();
    out["service"] = settings_.service();
    out["kind"] = engine ? "engine" : "plain";
    if (engine) {
        boost::json::array versions(settings_.version().begin(), settings_.version().end());
        boost::json::array adapters(settings_.adapter().begin(), settings_.adapter().end());
        out["models"] = boost::json::array{boost::json::object{
            {"model", settings_.service()}, {"versions", versions}, {"adapters", adapters}}};
    }
    out["load"] = {{"running", load.running},
                   {"waiting", load.waiting},
                   {"kv_used", load.kv_used},
                   {"kv_total", load.kv_total}};
    out["max_running"] = settings_.max_running();
    out["state"] = leaving_ ? "leaving" : "serving";
    if (!settings_.software_version().empty())
        out["software_version"] = settings_.software_version();
    out["checks_fence"] = settings_.checks_fence();
    return boost::json::serialize(out);
}

void announcer::announce() {
    if (entries_.empty())
        return;
    net::http_call call;
    call.method = "POST";
    call.to = http_address(entries_[current_ % entries_.size()]);
    call.path = "/v1/announce";
    call.headers["Authorization"] = "Bearer " + settings_.endpoint_token();
    call.body = body();
    call.progress_timeout = answer_timeout;
    net::fetch(client_, call, [this](const outcome<net::http_answer, net::http_failure>& answer) {
        if (answer && answer.value().head.status == 200) {
            on_answer(answer.value().body);
            return;
        }
        // The next entry hears it soon: three seconds of silence end the work.
        ++current_;
        constexpr milliseconds soon(100);
        task_.after(soon, [this] { announce(); });
    });
}

void announcer::on_answer(const std::string& text) {
    boost::json::error_code problem;
    const boost::json::value answer = boost::json::parse(text, problem);
    if (problem || !answer.is_object() || !answer.as_object().contains("entries"))
        return;
    const std::string now = entries_[current_ % entries_.size()];
    std::vector<std::string> listed;
    for (const boost::json::value& one : answer.as_object().at("entries").as_array())
        listed.emplace_back(one.as_object().at("address").as_string());
    for (const std::string& known : settings_.entry()) {
        if (std::find(listed.begin(), listed.end(), known) == listed.end())
            listed.push_back(known);
    }
    entries_ = std::move(listed);
    auto place = std::find(entries_.begin(), entries_.end(), now);
    current_ = place == entries_.end() ? 0 : static_cast<std::size_t>(place - entries_.begin());
}

} // namespace cassia::standin
