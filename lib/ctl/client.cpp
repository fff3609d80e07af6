#include "cassia/ctl/client.h"

#include "cassia/entry/request_text.h"

#include <boost/json.hpp>

#include <utility>

namespace cassia::ctl {

namespace {
constexpr unsigned connections = 4;
constexpr int first_server_error = 500;
} // namespace

boost::json::value answer::json() const {
    entry::json_parse_result parsed = entry::parse_json(text);
    return parsed.value ? std::move(*parsed.value) : boost::json::value();
}

client::client(const schema::ctl_settings& settings)
    : settings_(settings), task_("ctl"), http_(task_, connections) {}

answer client::ask_entry(const std::string& entry, const question& asked) {
    net::http_call call;
    call.method = asked.method;
    call.to = http_address(entry);
    call.path = asked.path;
    call.body = asked.body;
    call.headers = asked.headers;
    const std::string& secret =
        asked.as == identity::caller_key ? settings_.key() : settings_.operator_token();
    if (!secret.empty())
        call.headers["Authorization"] = "Bearer " + secret;
    call.progress_timeout = milliseconds(settings_.timeout_ms());
    answer got;
    got.entry = entry;
    net::fetch(http_, call,
               [this, &got](const outcome<net::http_answer, net::http_failure>& received) {
                   if (received) {
                       got.status = received.value().head.status;
                       got.text = received.value().body;
                   } else {
                       got.text = received.error().cause.text;
                   }
                   task_.quit();
               });
    task_.run();
    return got;
}

answer client::ask(const question& asked) {
    answer last;
    for (const std::string& entry : settings_.entry()) {
        answer got = ask_entry(entry, asked);
        if (got.status > 0 && got.status < first_server_error)
            return got;
        if (got.status > 0 || last.status == 0)
            last = std::move(got);
    }
    return last;
}

std::vector<std::string> client::live_entries() {
    question asked;
    asked.path = "/v1/operator/status";
    const answer got = ask(asked);
    std::vector<std::string> entries;
    const boost::json::value status = got.json();
    if (!status.is_object() || !status.as_object().contains("entries"))
        return entries;
    for (const boost::json::value& one : status.at("entries").as_array())
        entries.emplace_back(one.at("address").as_string());
    return entries;
}

} // namespace cassia::ctl
