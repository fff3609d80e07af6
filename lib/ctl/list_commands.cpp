// Commands about the two lists.

#include "cassia/base/digest.h"
#include "cassia/base/file.h"
#include "cassia/ctl/commands.h"
#include "cassia/settings/catalog.h"
#include "cassia/settings/command_line.h"

#include <boost/json.hpp>

#include <chrono>
#include <iostream>
#include <optional>
#include <thread>

namespace cassia::ctl {

namespace {
constexpr int ok_status = 200;
constexpr int conflict_status = 409;
constexpr std::chrono::milliseconds wait_interval(50);
constexpr std::chrono::seconds longest_wait(60);

struct two_lists {
    std::string plans_name;
    std::string plans;
    std::string allowances_name;
    std::string allowances;
};
} // namespace

static std::optional<two_lists> read_lists(const arguments& given) {
    two_lists lists{given[0], "", given[1], ""};
    for (const bool first : {true, false}) {
        const outcome<std::string, file_error> content = read_text_file(given[first ? 0 : 1]);
        if (!content) {
            std::cerr << "cassiactl: " << content.error().text << '\n';
            return std::nullopt;
        }
        (first ? lists.plans : lists.allowances) = content.value();
    }
    return lists;
}

static bool are_fine(const two_lists& lists) {
    const settings::result<std::shared_ptr<const settings::catalog>> parsed =
        settings::catalog::parse(0, lists.plans_name, lists.plans, lists.allowances_name,
                                 lists.allowances);
    if (parsed)
        return true;
    for (const settings::problem& one : parsed.error())
        std::cerr << settings::to_text(one) << '\n';
    return false;
}

int check_lists(const arguments& given) {
    if (given.size() != 2)
        return usage_error("check: expected PLANS ALLOWANCES");
    const std::optional<two_lists> lists = read_lists(given);
    if (!lists || !are_fine(*lists))
        return settings::exit_failed;
    std::cout << "both lists are fine\n";
    return settings::exit_fine;
}

// In force is what every live entry says of itself, each asked on its own.
static int wait_until_in_force(client& to, std::int64_t version) {
    const std::chrono::steady_clock::time_point start = std::chrono::steady_clock::now();
    question asked;
    asked.path = "/v1/operator/status";
    while (std::chrono::steady_clock::now() - start < longest_wait) {
        const std::vector<std::string> entries = to.live_entries();
        std::size_t reached = 0;
        for (const std::string& entry : entries) {
            const boost::json::value status = to.ask_entry(entry, asked).json();
            const bool there = status.is_object() &&
                               status.at("config_version").to_number<std::int64_t>() >= version;
            reached += there ? 1 : 0;
        }
        if (!entries.empty() && reached == entries.size()) {
            const std::chrono::milliseconds took =
                std::chrono::duration_cast<std::chrono::milliseconds>(
                    std::chrono::steady_clock::now() - start);
            std::cout << "in force at " << reached << " entries after " << took.count() << " ms\n";
            return settings::exit_fine;
        }
        std::this_thread::sleep_for(wait_interval);
    }
    std::cerr << "cassiactl: accepted, but not in force everywhere yet\n";
    return settings::exit_failed;
}

int apply_lists(client& to, const arguments& given) {
    arguments rest = given;
    const std::string base = take_option(rest, "--base");
    std::string change_id = take_option(rest, "--change-id");
    const bool wait = take_flag(rest, "--wait");
    const bool is_number =
        !base.empty() && base.find_first_not_of("0123456789") == std::string::npos;
    if (!is_number || rest.size() != 2)
        return usage_error("apply: expected --base N --change-id ID PLANS ALLOWANCES");
    if (change_id.empty())
        change_id = random_name("change-");
    const std::optional<two_lists> lists = read_lists(rest);
    if (!lists || !are_fine(*lists))
        return settings::exit_failed;
    question asked;
    asked.method = "POST";
    asked.path = "/v1/operator/apply";
    asked.body = boost::json::serialize(boost::json::object{{"base", std::stoll(base)},
                                                            {"change_id", change_id},
                                                            {"plans", lists->plans},
                                                            {"allowances", lists->allowances}});
    const answer got = to.ask(asked);
    const boost::json::value body = got.json();
    if (got.status == conflict_status && body.is_object()) {
        std::cerr << "refused: " << std::string(body.at("result").as_string()) << ", version "
                  << body.at("version").to_number<std::int64_t>() << " is current";
        const std::string winner(body.at("winner").as_string());
        if (!winner.empty())
            std::cerr << ", made by change " << winner;
        std::cerr << '\n';
        return settings::exit_failed;
    }
    if (got.status != ok_status || !body.is_object()) {
        std::cerr << "change-id " << change_id << '\n';
        return failed(got);
    }
    const std::int64_t version = body.at("version").to_number<std::int64_t>();
    std::cout << "accepted as version " << version << " (change " << change_id << ")\n";
    return wait ? wait_until_in_force(to, version) : settings::exit_fine;
}

int show_lists(client& to) {
    question asked;
    asked.path = "/v1/operator/history";
    const answer got = to.ask(asked);
    const boost::json::value body = got.json();
    if (got.status != ok_status)
        return failed(got);
    if (!body.as_object().contains("plans")) {
        std::cout << "# no lists accepted yet\n";
        return settings::exit_fine;
    }
    std::cout << "# plans.toml\n"
              << std::string(body.at("plans").as_string()) << "\n# allowances.toml\n"
              << std::string(body.at("allowances").as_string());
    return settings::exit_fine;
}

int show_history(client& to) {
    question asked;
    asked.path = "/v1/operator/history";
    const answer got = to.ask(asked);
    if (got.status != ok_status)
        return failed(got);
    const boost::json::value body = got.json();
    for (const boost::json::value& one : body.at("changes").as_array())
        std::cout << one.at("version").to_number<std::int64_t>() << "  "
                  << std::string(one.at("at").as_string()) << "  "
                  << std::string(one.at("change_id").as_string()) << '\n';
    return settings::exit_fine;
}

} // namespace cassia::ctl
