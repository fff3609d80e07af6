// Commands about the fleet.

#include "cassia/ctl/commands.h"
#include "cassia/settings/command_line.h"

#include <boost/json.hpp>

#include <algorithm>
#include <cstdio>
#include <iostream>

namespace cassia::ctl {

namespace {
constexpr int ok_status = 200;
constexpr int accepted_status = 202;
} // namespace

static std::string text_of(const boost::json::value& object, const char* name) {
    return std::string(object.at(name).as_string());
}

static std::int64_t number_of(const boost::json::value& object, const char* name) {
    return object.at(name).to_number<std::int64_t>();
}

int show_status(client& to) {
    question asked;
    asked.path = "/v1/operator/status";
    const answer got = to.ask(asked);
    if (got.status != ok_status)
        return failed(got);
    const boost::json::value status = got.json();
    std::cout << "configuration version " << number_of(status, "config_version")
              << ", heard from the control group " << number_of(status, "beacon_age_ms")
              << " ms ago" << (status.at("stale").as_bool() ? " (stale)" : "") << "\n\nentries\n";
    for (const boost::json::value& one : status.at("entries").as_array()) {
        const char* state = "open";
        if (one.at("draining").as_bool())
            state = "draining";
        else if (one.at("stale").as_bool())
            state = "stale";
        std::printf("  %-22s %-12s %-22s version %-6lld %s\n", text_of(one, "entry").c_str(),
                    text_of(one, "zone").c_str(), text_of(one, "address").c_str(),
                    static_cast<long long>(number_of(one, "config_version")), state);
    }
    std::printf("\nendpoints\n");
    for (const boost::json::value& one : status.at("endpoints").as_array())
        std::printf("  %-22s %-12s %-22s %-8s running %lld of %lld, silent %lld ms\n",
                    text_of(one, "id").c_str(), text_of(one, "zone").c_str(),
                    text_of(one, "address").c_str(), text_of(one, "state").c_str(),
                    static_cast<long long>(number_of(one, "running")),
                    static_cast<long long>(number_of(one, "max_running")),
                    static_cast<long long>(number_of(one, "silent_ms")));
    std::fflush(stdout);
    return settings::exit_fine;
}

static bool explain_change(client& to, const std::string& subject) {
    question asked;
    asked.path = "/v1/operator/history";
    const answer got = to.ask(asked);
    if (got.status != ok_status)
        return false;
    const boost::json::value history = got.json();
    const boost::json::array& changes = history.at("changes").as_array();
    auto found =
        std::find_if(changes.begin(), changes.end(), [&subject](const boost::json::value& one) {
            return text_of(one, "change_id") == subject;
        });
    if (found == changes.end())
        return false;
    std::cout << text_of(*found, "at") << "  change accepted as version "
              << number_of(*found, "version") << "\n";
    return true;
}

int explain(client& to, const arguments& given) {
    if (given.size() != 1)
        return usage_error("explain: expected REQUEST, JOB, ENDPOINT or CHANGE");
    std::vector<boost::json::object> all;
    question asked;
    asked.path = "/v1/operator/explain?subject=" + given[0];
    for (const std::string& entry : to.live_entries()) {
        const boost::json::value body = to.ask_entry(entry, asked).json();
        if (!body.is_object() || !body.as_object().contains("decisions"))
            continue;
        for (const boost::json::value& one : body.at("decisions").as_array())
            all.push_back(one.as_object());
    }
    std::sort(
        all.begin(), all.end(), [](const boost::json::object& a, const boost::json::object& b) {
            return a.at("at").to_number<std::int64_t>() < b.at("at").to_number<std::int64_t>();
        });
    for (const boost::json::object& one : all)
        std::cout << one.at("at").to_number<std::int64_t>() << "  " << text_of(one, "entry") << "  "
                  << text_of(one, "kind") << "  " << text_of(one, "subject") << "  "
                  << text_of(one, "object") << "  " << text_of(one, "reason") << '\n';
    const bool change = all.empty() && explain_change(to, given[0]);
    if (all.empty() && !change) {
        std::cout << "nothing is remembered of '" << given[0] << "'\n";
        return settings::exit_failed;
    }
    return settings::exit_fine;
}

int show_dump(client& to, const arguments& given) {
    question asked;
    asked.path = "/debug/dump";
    const answer got = given.empty() ? to.ask(asked) : to.ask_entry(given[0], asked);
    if (got.status != ok_status)
        return failed(got);
    std::cout << got.text << '\n';
    return settings::exit_fine;
}

int drain(client& to, const arguments& given) {
    if (given.size() != 1)
        return usage_error("drain: expected the IP:PORT of an entry");
    question asked;
    asked.method = "POST";
    asked.path = "/v1/operator/drain";
    const answer got = to.ask_entry(given[0], asked);
    if (got.status != accepted_status)
        return failed(got);
    std::cout << given[0] << " is draining\n";
    return settings::exit_fine;
}

int report(client& to) {
    question asked;
    asked.path = "/metrics";
    const std::vector<std::string> entries = to.live_entries();
    for (const std::string& entry : entries) {
        const answer got = to.ask_entry(entry, asked);
        std::cout << "# " << entry << '\n' << got.text;
    }
    return entries.empty() ? settings::exit_failed : settings::exit_fine;
}

} // namespace cassia::ctl
