#include "cassia/settings/catalog.h"

#include "cassia/schema/settings.pb.h"
#include "cassia/settings/reader.h"

#include <algorithm>

namespace cassia::settings {

namespace {
constexpr std::uint64_t ms_per_hour = 3600ULL * 1000;
} // namespace

const plan* catalog::find_by_key(const std::string& key) const {
    const teams::team* team = teams_.find_by_key(key);
    return team == nullptr ? nullptr : find(team->id);
}

const plan* catalog::find(const team_id& team) const {
    auto found = plans_.find(team);
    return found == plans_.end() ? nullptr : &found->second;
}

bool catalog::is_repeatable(const service_id& service, const std::string& method) const {
    auto found = services_.find(service);
    if (found != services_.end()) {
        if (found->second.unrepeatable_methods.count(method) > 0)
            return false;
        if (found->second.repeatable_methods.count(method) > 0)
            return true;
    }
    return method == "GET" || method == "HEAD" || method == "PUT" || method == "DELETE";
}

static void add_problem(problem_list& problems, const std::string& file, const std::string& key,
                        const std::string& text) {
    problems.push_back({file, 0, 0, key, text});
}

static std::shared_ptr<const allowance> make_allowance(const schema::allowance_entry& entry) {
    std::shared_ptr<allowance> made = std::make_shared<allowance>();
    made->share = entry.share();
    for (const schema::allowed_model& model : entry.model()) {
        model_allowance& allowed = made->models[service_id(model.name())];
        allowed.versions.insert(model.version().begin(), model.version().end());
        allowed.adapters.insert(model.adapter().begin(), model.adapter().end());
    }
    for (const std::string& service : entry.service())
        made->services.insert(service_id(service));
    return made;
}

static plan make_plan(const schema::plan_entry& entry) {
    plan made;
    made.team = team_id(entry.name());
    made.weight = entry.weight();
    made.rate = {entry.rate()};
    made.burst = {entry.burst() > 0 ? entry.burst() : std::max(1.0, entry.rate())};
    made.retention_ms = entry.result_retention_hours() * ms_per_hour;
    made.prefers_online_tail = entry.prefers() == "online_tail";
    return made;
}

static std::vector<teams::team> make_teams(const schema::plans_list& list) {
    std::vector<teams::team> teams;
    for (const schema::plan_entry& entry : list.plan()) {
        teams::team one;
        one.id = team_id(entry.name());
        for (const std::string& digest : entry.key_sha256())
            one.keys.emplace_back(digest);
        one.limit = {{entry.rate()}, {static_cast<double>(entry.burst())}};
        teams.push_back(std::move(one));
    }
    return teams;
}

/// The field of a plan that a fault of a team lies in.
static std::string field_of(teams::errc code) {
    switch (code) {
    case teams::errc::duplicate_team:
    case teams::errc::bad_name:
        return "name";
    case teams::errc::duplicate_key:
    case teams::errc::bad_key:
        return "key_sha256";
    case teams::errc::bad_quota:
        return "rate";
    }
    return "name";
}

static std::map<std::string, std::shared_ptr<const allowance>>
index_allowances(const schema::allowances_list& list, const std::string& file,
                 problem_list& problems) {
    std::map<std::string, std::shared_ptr<const allowance>> by_name;
    for (int i = 0; i < list.allowance_size(); ++i) {
        const schema::allowance_entry& entry = list.allowance(i);
        const std::string key = "allowance[" + std::to_string(i) + "]";
        if (!by_name.emplace(entry.name(), make_allowance(entry)).second)
            add_problem(problems, file, key + ".name",
                        "expected a name used once, got '" + entry.name() + "' again");
        if (entry.share() <= 0 || entry.share() > 1)
            add_problem(problems, file, key + ".share", "expected a number above 0, at most 1");
    }
    return by_name;
}

result<std::shared_ptr<const catalog>>
catalog::parse(std::uint64_t version, const std::string& plans_name, const std::string& plans,
               const std::string& allowances_name, const std::string& allowances) {
    schema::plans_list plan_list;
    schema::allowances_list allowance_list;
    problem_list problems;
    const result<void> plans_read = read({{plans_name, plans}}, plan_list);
    if (!plans_read)
        problems = plans_read.error();
    const result<void> allowances_read = read({{allowances_name, allowances}}, allowance_list);
    if (!allowances_read)
        problems.insert(problems.end(), allowances_read.error().begin(),
                        allowances_read.error().end());
    if (!problems.empty())
        return failure(std::move(problems));

    std::shared_ptr<catalog> made = std::make_shared<catalog>();
    made->version_ = version;
    for (const schema::service_entry& service : allowance_list.service()) {
        service_rules& rules = made->services_[service_id(service.name())];
        rules.repeatable_methods.insert(service.repeatable_methods().begin(),
                                        service.repeatable_methods().end());
        rules.unrepeatable_methods.insert(service.unrepeatable_methods().begin(),
                                          service.unrepeatable_methods().end());
    }
    const std::map<std::string, std::shared_ptr<const allowance>> by_name =
        index_allowances(allowance_list, allowances_name, problems);
    double tail_weight = 0; ///< of the plans that prefer the tail, less that of the others
    for (int i = 0; i < plan_list.plan_size(); ++i) {
        const schema::plan_entry& entry = plan_list.plan(i);
        const std::string key = "plan[" + std::to_string(i) + "]";
        plan one = make_plan(entry);
        auto found = by_name.find(entry.allowance());
        if (found == by_name.end())
            add_problem(problems, plans_name, key + ".allowance",
                        "expected a name in " + allowances_name + ", got '" + entry.allowance() +
                            "'");
        else
            one.allowed = found->second;
        if (entry.weight() <= 0)
            add_problem(problems, plans_name, key + ".weight", "expected a number above 0");
        tail_weight += one.prefers_online_tail ? one.weight : -one.weight;
        made->plans_.emplace(one.team, std::move(one));
    }
    std::vector<teams::team> teams = make_teams(plan_list);
    for (const teams::error& fault : teams::team_table::validate(teams))
        add_problem(problems, plans_name,
                    "plan[" + std::to_string(fault.index) + "]." + field_of(fault.code),
                    fault.text);
    if (!problems.empty())
        return failure(std::move(problems));
    made->teams_ = std::move(teams::team_table::create(std::move(teams)).value());
    made->prefers_online_tail_ = tail_weight > 0;
    return std::shared_ptr<const catalog>(std::move(made));
}

} // namespace cassia::settings
