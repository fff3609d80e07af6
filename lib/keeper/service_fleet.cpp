// How keepers that are told only seeds find each other, and what they pass on.

#include "cassia/base/digest.h"
#include "cassia/base/log.h"
#include "cassia/keeper/service.h"
#include "cassia/state/sharding.h"

#include <algorithm>
#include <set>
#include <utility>

namespace cassia::keeper {

namespace {
using state::control_group;
// All VMs start within some hundred ms of each other; by then those of every zone have been heard.
constexpr milliseconds founders_gather(700);
} // namespace

std::vector<peer_address> service::keepers_to_greet() const {
    std::set<peer_address> all;
    for (const schema::peer_settings& keeper : settings_.cluster().keeper())
        all.insert(peer_address(keeper.address()));
    for (const std::string& seed : settings_.cluster().seed())
        all.insert(net::peer_of_seed(seed, settings_.peer_address()));
    // Seeds may be old: members of the control group may have moved since they were written.
    if (uses_seeds()) {
        const instant now = monotonic_now();
        for (const std::pair<const std::string, known_keeper>& one : keepers_) {
            if (one.second.hello.control() && now - one.second.seen < keeper_alive)
                all.insert(peer_address(one.second.hello.address()));
        }
    }
    if (uses_seeds() && hosts_control()) {
        for (const consensus::member& one : hosts_.at(control_group)->raft().log().members())
            all.insert(peer_address(one.address));
    }
    all.erase(peer_address(settings_.peer_address()));
    return {all.begin(), all.end()};
}

bool service::waits_as_spare() const {
    return uses_seeds() && !hosts_control() && groups_founded_ &&
           !hosts_.begin()->second->founded();
}

schema::keeper_hello service::own_hello(const peer_address& to) const {
    schema::keeper_hello hello;
    const bool founded = hosts_.begin()->second->founded();
    hello.set_node(node_);
    hello.set_zone(settings_.zone());
    hello.set_name(settings_.name());
    for (const std::pair<const group_id, std::unique_ptr<group_host>>& host : hosts_) {
        if (host.first == control_group || !host.second->raft().leads())
            continue;
        schema::group_view* view = hello.add_leads();
        view->set_group(static_cast<std::uint32_t>(host.first.value()));
        view->set_term(host.second->raft().term().value());
        for (const consensus::member& member : host.second->raft().log().members())
            view->add_disks(member.disk.value());
    }
    hello.set_disk(recovered_.disk.value());
    hello.set_address(settings_.peer_address());
    // An empty disk that isn't there for the first time may have held promises: it never founds.
    hello.set_empty(!founded && settings_.first_start());
    hello.set_control(hosts_control());
    hello.set_work(hosts_work());
    if (hosts_control() && founded)
        *hello.mutable_founders() = consensus::members_to_proto(founders_);
    auto heard = heard_revisions_.find(to.str());
    if (heard != heard_revisions_.end()) {
        hello.set_directory_epoch(heard->second.first);
        hello.set_directory_revision(heard->second.second);
    }
    return hello;
}

void service::see_keeper(const schema::keeper_hello& hello, instant seen) {
    known_keeper& known = keepers_[hello.node()];
    if (seen < known.seen)
        return;
    known.hello = hello;
    known.seen = seen;
    const keeper_sighting sighting{hello.node(), disk_id(hello.disk()), hello.address(),
                                   hello.empty(), seen};
    if (hello.control() || !uses_seeds())
        founding_.saw(sighting);
    if (hello.work())
        work_founding_.saw(sighting);
}

void service::send_news(const peer_address& to, const known_keeper& keeper) {
    const instant now = monotonic_now();
    schema::envelope envelope;
    schema::keeper_news* news = envelope.mutable_news();
    *news->mutable_self() = own_hello(to);
    *news->mutable_work_founders() = control_.work_founders();
    for (const schema::retire_command& one : control_.retiring())
        news->add_retiring_disks(one.disk());
    const std::set<std::uint64_t> members = work_group_disks(now);
    const bool spare = is_spare(keeper.hello, members);
    for (const std::pair<const std::string, known_keeper>& one : keepers_) {
        const microseconds age = now - one.second.seen;
        if (age >= keeper_alive || one.first == keeper.hello.node())
            continue;
        // The others of the spares, which may be many, are nothing to it.
        if (spare && is_spare(one.second.hello, members))
            continue;
        schema::keeper_hello* told = news->add_keepers();
        *told = one.second.hello;
        told->clear_founders();
        told->set_age_ms(
            told->age_ms() +
            static_cast<std::uint32_t>(std::chrono::duration_cast<milliseconds>(age).count()));
    }
    if (keeper.hello.control()) {
        write_endpoints(keeper.hello, *news, true);
        write_sightings(*news);
    }
    hub_->send(to, envelope);
}

// Entries tell one keeper often and the others seldom: callers of each are told the same list.
void service::write_sightings(schema::keeper_news& news) const {
    const instant now = monotonic_now();
    for (const std::pair<const std::string, known_entry>& one : entries_) {
        const microseconds age = now - one.second.own_seen;
        if (!one.second.hello.follows() || age >= entry_alive)
            continue;
        schema::entry_sighting* told = news.add_entries();
        told->set_entry(one.first);
        told->set_incarnation(one.second.hello.incarnation());
        told->set_draining(one.second.hello.draining());
        told->set_age_ms(
            static_cast<std::uint32_t>(std::chrono::duration_cast<milliseconds>(age).count()));
    }
}

void service::learn_sightings(const schema::keeper_news& news, instant now) {
    for (const schema::entry_sighting& one : news.entries()) {
        auto found = entries_.find(one.entry());
        const bool same =
            found != entries_.end() && found->second.hello.incarnation() == one.incarnation();
        const instant seen = now - milliseconds(one.age_ms());
        if (!same || seen <= found->second.seen)
            continue;
        found->second.seen = seen;
        found->second.hello.set_draining(one.draining());
        roster_.observe(found->second.hello, seen);
    }
}

void service::on_news(const schema::keeper_news& news) {
    const instant now = monotonic_now();
    see_keeper(news.self(), now);
    for (const schema::keeper_hello& one : news.keepers()) {
        if (one.node() != node_)
            see_keeper(one, now - milliseconds(one.age_ms()));
    }
    if (hosts_work()) {
        std::set<disk_id> retiring;
        for (const std::uint64_t disk : news.retiring_disks())
            retiring.insert(disk_id(disk));
        // Decisions are never taken back, so the longest list is the newest.
        if (retiring.size() >= retiring_known_) {
            retiring_known_ = retiring.size();
            work_founding_.set_retiring(std::move(retiring));
        }
        if (news.work_founders().members_size() > 0)
            found_work_groups(news.work_founders());
    }
    if (!hosts_control())
        return;
    bool changed = false;
    for (const schema::endpoint_record& record : news.endpoints())
        changed = directory_.merge_remote(record, now) || changed;
    for (const schema::endpoint_pulse& pulse : news.pulses())
        directory_.merge_remote(pulse, now);
    learn_sightings(news, now);
    heard_revisions_[news.self().address()] = {news.directory_epoch(), news.directory_revision()};
    if (!changed)
        return;
    // The other keeper may be holding back its answer to the endpoint until this one has its word.
    send_keeper_hello(peer_address(news.self().address()));
    send_beacons_soon();
}

void service::push_news() {
    for (const std::pair<const std::string, known_keeper>& one : keepers_) {
        if (monotonic_now() - one.second.seen < keeper_alive)
            send_news(peer_address(one.second.hello.address()), one.second);
    }
}

// Spread over availability zones first, so that the loss of one leaves a majority.
static std::vector<schema::keeper_hello> spread_over_zones(std::vector<schema::keeper_hello> all,
                                                           std::size_t wanted) {
    std::vector<schema::keeper_hello> chosen;
    std::map<std::string, int> taken;
    while (chosen.size() < wanted && !all.empty()) {
        auto next = std::min_element(
            all.begin(), all.end(),
            [&taken](const schema::keeper_hello& a, const schema::keeper_hello& b) {
                return std::make_pair(taken[a.zone()], a.node()) <
                       std::make_pair(taken[b.zone()], b.node());
            });
        ++taken[next->zone()];
        chosen.push_back(*next);
        all.erase(next);
    }
    return chosen;
}

void service::decide_work_founders() {
    if (!uses_seeds() || control_.work_founders().members_size() > 0)
        return;
    const instant now = monotonic_now();
    std::vector<schema::keeper_hello> empty;
    for (const std::pair<const std::string, known_keeper>& one : keepers_) {
        if (one.second.hello.work() && one.second.hello.empty() &&
            now - one.second.seen < keeper_alive)
            empty.push_back(one.second.hello);
    }
    if (empty.size() < group_size()) {
        work_founders_possible_ = instant();
        return;
    }
    if (work_founders_possible_ == instant())
        work_founders_possible_ = now;
    if (now - work_founders_possible_ < founders_gather)
        return;
    consensus::member_list members;
    for (const schema::keeper_hello& one : spread_over_zones(empty, group_size()))
        members.push_back({disk_id(one.disk()), one.node(), one.address(), true});
    schema::control_command command;
    *command.mutable_found_work()->mutable_founders() = consensus::members_to_proto(members);
    hosts_.at(control_group)
        ->propose(
            command.SerializeAsString(), [](const schema::keeper_reply&) {}, now);
}

void service::found_work_groups(const schema::group_members& founders) {
    groups_founded_ = true;
    const consensus::member_list members = consensus::members_from_proto(founders);
    std::vector<std::string> names;
    for (const consensus::member& one : members)
        names.push_back(one.node);
    work_founding_.set_founders(std::move(names));
    const bool one_of_them =
        std::any_of(members.begin(), members.end(),
                    [this](const consensus::member& one) { return one.disk == recovered_.disk; });
    if (!one_of_them || hosts_.begin()->second->founded())
        return;
    founders_ = members;
    for (const std::pair<const group_id, std::unique_ptr<group_host>>& host : hosts_)
        host.second->found(founders_, monotonic_now());
    write_first_snapshots();
    log_info("work_groups_founded").with("members", founders_.size());
}

bool service::is_spare(const schema::keeper_hello& hello, const std::set<std::uint64_t>& members) {
    return !hello.control() && !members.empty() && members.count(hello.disk()) == 0;
}

// From what the leaders of the groups said last. While none has spoken lately: those that founded
// the groups, as some of them may still be members.
std::set<std::uint64_t> service::work_group_disks(instant now) const {
    std::set<std::uint64_t> disks;
    for (const std::pair<const std::string, known_keeper>& one : keepers_) {
        if (now - one.second.seen >= keeper_alive)
            continue;
        for (const schema::group_view& view : one.second.hello.leads())
            disks.insert(view.disks().begin(), view.disks().end());
    }
    if (disks.empty()) {
        for (const schema::group_member& one : control_.work_founders().members())
            disks.insert(one.disk());
    }
    return disks;
}

std::uint64_t service::keepers_digest() const {
    std::string text;
    const instant now = monotonic_now();
    const std::set<std::uint64_t> members = work_group_disks(now);
    for (const std::pair<const std::string, known_keeper>& one : keepers_) {
        const schema::keeper_hello& hello = one.second.hello;
        const bool in_group = members.count(hello.disk()) > 0;
        if (now - one.second.seen < keeper_alive && (hello.control() || in_group))
            text += hello.address() + (hello.control() ? "c" : "") + (hello.work() ? "w" : "") +
                    (in_group ? "g" : "") + " ";
    }
    return stable_hash(text);
}

} // namespace cassia::keeper
