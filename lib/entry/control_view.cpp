// What the control task tells the other tasks, and the state dump, of the fleet.

#include "cassia/entry/control_task.h"

#include <boost/json.hpp>

#include <algorithm>
#include <utility>

namespace cassia::entry {

std::vector<policy::endpoint_info> control_task::endpoint_info(instant now) const {
    const std::vector<const schema::entry_hello*> alive = entries_.alive(now);
    std::map<std::string, endpoint_use> uses;
    for (const std::pair<const entry_id, other_entry>& other : others_) {
        if (now - other.second.heard > others_silent_after)
            continue;
        for (const schema::endpoint_use& one : other.second.rumor.uses()) {
            endpoint_use& sum = uses[one.endpoint()];
            sum.online += one.online();
            sum.batch += one.batch();
            sum.suspects += one.suspects();
        }
    }
    std::vector<policy::endpoint_info> out;
    for (const membership::endpoint_state* one : directory_.serving(now)) {
        const schema::endpoint_record& record = one->record;
        policy::endpoint_info facts;
        facts.id = endpoint_id(record.id());
        facts.incarnation = record.incarnation();
        facts.address = http_address(record.address());
        facts.zone = zone_id(record.zone());
        facts.service = service_id(record.service());
        facts.engine = record.engine();
        facts.max_running = record.max_running();
        facts.reported_running = record.load().running();
        facts.reported_waiting = record.load().waiting();
        for (const schema::endpoint_model& model : record.models()) {
            policy::served_model& served = facts.models[service_id(model.model())];
            served.versions.insert(model.versions().begin(), model.versions().end());
            served.adapters.insert(model.adapters().begin(), model.adapters().end());
        }
        auto used = uses.find(record.id());
        if (used != uses.end()) {
            facts.remote_online = used->second.online;
            facts.remote_batch = used->second.batch;
            facts.remote_suspects = used->second.suspects;
        }
        facts.steward = membership::steward_of(facts.id, record.zone(), alive);
        out.push_back(std::move(facts));
    }
    return out;
}

void control_task::publish_view() {
    const instant now = monotonic_now();
    std::shared_ptr<fleet_view> view = std::make_shared<fleet_view>();
    view->endpoints = endpoint_info(now);
    view->entries_version = entries_.version(now);
    for (const schema::entry_hello* one : entries_.accepting(now))
        view->entries.push_back(
            {entry_id(one->entry()), one->http_address(), zone_id(one->zone())});
    view->catalog = catalog_;
    view->stale = freshness_.is_stale(now);
    view->strikes = strikes_.active(now);
    view->leader_contacts = leader_contacts_;
    view->keeper_clocks = keeper_clocks_;
    for (const std::pair<const entry_id, other_entry>& other : others_) {
        if (now - other.second.heard > others_silent_after)
            continue;
        for (const schema::team_rate& rate : other.second.rumor.rates())
            view->others_rates[team_id(rate.team())] += rate.per_second();
    }
    hooks_.on_view(std::move(view));
}

std::string control_task::dump_text() const {
    const instant now = monotonic_now();
    boost::json::object out;
    out["holder"] = holder_;
    out["config_version"] = config_.version();
    out["stale"] = freshness_.is_stale(now);
    out["beacon_age_ms"] = freshness_.age(now).count();
    out["draining"] = draining_;
    out["open_keeper_requests"] = keepers_.open_requests();
    boost::json::array endpoints;
    const std::vector<const schema::entry_hello*> alive = entries_.alive(now);
    for (const std::pair<const endpoint_id, membership::endpoint_state>& one : directory_.all()) {
        const schema::endpoint_record& record = one.second.record;
        endpoints.push_back(
            {{"id", record.id()},
             {"address", record.address()},
             {"zone", record.zone()},
             {"state", one.second.leaving ? "leaving" : "serving"},
             {"silent_ms", (now - one.second.last_heard).count() / 1000},
             {"running", record.load().running()},
             {"max_running", record.max_running()},
             {"steward", membership::steward_of(one.first, record.zone(), alive).str()}});
    }
    out["endpoints"] = std::move(endpoints);
    boost::json::array entries;
    for (const schema::entry_hello* one : alive)
        entries.push_back({{"entry", one->entry()},
                           {"address", one->http_address()},
                           {"zone", one->zone()},
                           {"config_version", one->config_version()},
                           {"draining", one->draining()},
                           {"stale", one->stale()}});
    out["entries"] = std::move(entries);
    boost::json::array strikes;
    for (const policy::strike& one : strikes_.active(now))
        strikes.push_back({{"fingerprint", one.request.str()}, {"endpoint", one.endpoint.str()}});
    out["strikes"] = std::move(strikes);
    return boost::json::serialize(out);
}

} // namespace cassia::entry
