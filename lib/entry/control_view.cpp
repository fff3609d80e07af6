// Builds the cluster view for the other tasks and the control task's part of the state dump.

#include "cassia/entry/control_task.h"

#include <boost/json.hpp>

#include <algorithm>
#include <utility>

namespace cassia::entry {

std::vector<policy::endpoint_info> control_task::endpoint_info(instant now) const {
    const std::vector<const schema::entry_hello*> live_entries = entries_.alive(now);
    std::map<std::string, endpoint_use> peer_uses;
    for (const std::pair<const entry_id, peer_entry>& peer : peers_) {
        if (now - peer.second.last_heard > peer_timeout)
            continue;
        for (const schema::endpoint_use& use : peer.second.last_gossip.uses()) {
            endpoint_use& total = peer_uses[use.endpoint()];
            total.online += use.online();
            total.batch += use.batch();
            total.suspects += use.suspects();
        }
    }
    std::vector<policy::endpoint_info> all_facts;
    for (const membership::endpoint_state* known : directory_.serving(now)) {
        const schema::endpoint_record& record = known->record;
        policy::endpoint_info facts;
        facts.id = endpoint_id(record.id());
        facts.incarnation = record.incarnation();
        facts.address = http_address(record.address());
        facts.zone = zone_id(record.zone());
        facts.service = service_id(record.service());
        facts.engine = record.engine();
        facts.software = software_version(record.software_version());
        facts.max_running = record.max_running();
        facts.reported_running = record.load().running();
        facts.reported_waiting = record.load().waiting();
        for (const schema::endpoint_model& model : record.models()) {
            policy::served_model& served = facts.models[service_id(model.model())];
            served.versions.insert(model.versions().begin(), model.versions().end());
            served.adapters.insert(model.adapters().begin(), model.adapters().end());
        }
        auto peer_use = peer_uses.find(record.id());
        if (peer_use != peer_uses.end()) {
            facts.remote_online = peer_use->second.online;
            facts.remote_batch = peer_use->second.batch;
            facts.remote_suspects = peer_use->second.suspects;
        }
        facts.steward = membership::steward_of(facts.id, record.zone(), live_entries);
        all_facts.push_back(std::move(facts));
    }
    return all_facts;
}

void control_task::publish_view() {
    const instant now = monotonic_now();
    std::shared_ptr<cluster_view> view = std::make_shared<cluster_view>();
    view->endpoints = endpoint_info(now);
    view->entries_version = entries_.version(now);
    for (const schema::entry_hello* entry : entries_.accepting(now))
        view->entries.push_back(
            {entry_id(entry->entry()), entry->http_address(), zone_id(entry->zone())});
    view->catalog = catalog_;
    view->fresh_until = freshness_.fresh_until();
    view->strikes = strikes_.active(now);
    view->leader_last_heard = leader_last_heard_;
    view->leader_clocks = leader_clocks_;
    for (const std::pair<const entry_id, peer_entry>& peer : peers_) {
        if (now - peer.second.last_heard > peer_timeout)
            continue;
        for (const schema::team_rate& rate : peer.second.last_gossip.rates())
            view->peer_rates[team_id(rate.team())] += rate.per_second();
    }
    hooks_.on_view_changed(std::move(view));
}

std::string control_task::dump_json() const {
    const instant now = monotonic_now();
    boost::json::object dump;
    dump["holder"] = holder_;
    dump["config_version"] = config_.version();
    dump["stale"] = freshness_.is_stale(now);
    dump["beacon_age_ms"] = freshness_.age(now).count();
    dump["draining"] = draining_;
    dump["open_keeper_requests"] = keepers_.open_requests();
    boost::json::array endpoints;
    const std::vector<const schema::entry_hello*> live_entries = entries_.alive(now);
    for (const std::pair<const endpoint_id, membership::endpoint_state>& known : directory_.all()) {
        const schema::endpoint_record& record = known.second.record;
        endpoints.push_back(
            {{"id", record.id()},
             {"address", record.address()},
             {"zone", record.zone()},
             {"state", known.second.leaving ? "leaving" : "serving"},
             {"silent_ms", (now - known.second.last_heard).count() / 1000},
             {"running", record.load().running()},
             {"max_running", record.max_running()},
             {"steward", membership::steward_of(known.first, record.zone(), live_entries).str()}});
    }
    dump["endpoints"] = std::move(endpoints);
    boost::json::array entries;
    for (const schema::entry_hello* heartbeat : live_entries)
        entries.push_back({{"entry", heartbeat->entry()},
                           {"address", heartbeat->http_address()},
                           {"zone", heartbeat->zone()},
                           {"config_version", heartbeat->config_version()},
                           {"draining", heartbeat->draining()},
                           {"stale", heartbeat->stale()}});
    dump["entries"] = std::move(entries);
    boost::json::array strikes;
    for (const policy::strike& strike : strikes_.active(now))
        strikes.push_back(
            {{"fingerprint", strike.request.str()}, {"endpoint", strike.endpoint.str()}});
    dump["strikes"] = std::move(strikes);
    return boost::json::serialize(dump);
}

} // namespace cassia::entry
