#include "cassia/routes/table.h"

#include <boost/algorithm/string/case_conv.hpp>

#include <algorithm>
#include <numeric>
#include <utility>

namespace cassia::routes {

static std::uint64_t weight_sum(const schema::route& route) {
    return std::accumulate(
        route.targets().begin(), route.targets().end(), std::uint64_t{0},
        [](std::uint64_t sum, const schema::route_target& one) { return sum + one.weight(); });
}

static error make_error(errc code, const schema::route& route, const std::string& text) {
    return error{code, "route " + route.name() + ": " + text};
}

static std::vector<teams::team> read_teams(const schema::route_table& source) {
    std::vector<teams::team> out;
    for (const schema::team& one : source.teams()) {
        teams::team team;
        team.id = team_id(one.name());
        for (const std::string& digest : one.key_digests())
            team.keys.emplace_back(digest);
        if (one.has_priority())
            team.priority = one.priority();
        team.limit = {{one.requests_per_s()}, {one.burst()}};
        out.push_back(std::move(team));
    }
    return out;
}

result<std::shared_ptr<const table>> table::compile(const schema::route_table& source) {
    if (source.version() == 0)
        return failure(error{errc::no_version, "version: expected a whole number above 0"});
    std::shared_ptr<table> compiled = std::make_shared<table>();
    compiled->source_ = source;
    for (const schema::routed_service& service : compiled->source_.services())
        compiled->services_[service.name()] = &service;
    for (const schema::route& route : compiled->source_.routes()) {
        const std::string& prefix = route.path_prefix();
        if (prefix.empty() || prefix.front() != '/' || prefix.back() != '/')
            return failure(make_error(errc::bad_prefix, route, "prefix " + prefix));
        if (route.timeout_ms() == 0)
            return failure(make_error(errc::no_timeout, route, "timeout of 0"));
        if (weight_sum(route) == 0)
            return failure(make_error(errc::no_weight, route, "weights add up to 0"));
        for (const schema::route_target& target : route.targets()) {
            if (compiled->services_.count(target.service()) == 0)
                return failure(
                    make_error(errc::unknown_service, route, "service " + target.service()));
        }
        const std::string host = boost::algorithm::to_lower_copy(route.host());
        if (!compiled->by_host_[host].emplace(prefix, &route).second)
            return failure(make_error(errc::duplicate_route, route, host + prefix + " is taken"));
        compiled->by_name_[route.name()] = &route;
    }
    teams::result<teams::team_table> teams = teams::team_table::create(read_teams(source));
    if (!teams)
        return failure(error{errc::bad_teams, teams.error().text});
    compiled->teams_ = std::move(teams.value());
    return std::shared_ptr<const table>(std::move(compiled));
}

// The Host header of a request may include a port; the hosts of routes don't.
static std::string host_name(std::string_view host) {
    return boost::algorithm::to_lower_copy(std::string(host.substr(0, host.rfind(':'))));
}

const schema::route* table::match(std::string_view host, std::string_view path) const {
    auto routes = by_host_.find(host_name(host));
    if (routes == by_host_.end())
        return nullptr;
    // Each prefix ends with a slash, so only the path's own prefixes up to a slash can match.
    std::size_t slash = path.rfind('/');
    while (slash != std::string_view::npos) {
        auto found = routes->second.find(std::string(path.substr(0, slash + 1)));
        if (found != routes->second.end())
            return found->second;
        slash = slash == 0 ? std::string_view::npos : path.rfind('/', slash - 1);
    }
    return nullptr;
}

const schema::route* table::at_prefix(std::string_view host, const std::string& prefix) const {
    auto routes = by_host_.find(host_name(host));
    if (routes == by_host_.end())
        return nullptr;
    auto found = routes->second.find(prefix);
    return found == routes->second.end() ? nullptr : found->second;
}

const schema::route* table::find(const std::string& name) const {
    auto found = by_name_.find(name);
    return found == by_name_.end() ? nullptr : found->second;
}

const schema::routed_service* table::service(const std::string& name) const {
    auto found = services_.find(name);
    return found == services_.end() ? nullptr : found->second;
}

std::vector<const schema::route*> table::of_kind(schema::route::route_kind kind) const {
    std::vector<const schema::route*> out;
    for (const schema::route& route : source_.routes()) {
        if (route.kind() == kind)
            out.push_back(&route);
    }
    return out;
}

bool is_target(const schema::route& route, const std::string& service) {
    return std::any_of(route.targets().begin(), route.targets().end(),
                       [&service](const schema::route_target& target) {
                           return target.weight() > 0 && target.service() == service;
                       });
}

const std::string& choose_target(const schema::route& route, double random_fraction) {
    double left = random_fraction * static_cast<double>(weight_sum(route));
    for (const schema::route_target& target : route.targets()) {
        left -= target.weight();
        if (left < 0)
            return target.service();
    }
    return route.targets(route.targets_size() - 1).service();
}

} // namespace cassia::routes
