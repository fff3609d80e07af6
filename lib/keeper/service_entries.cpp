// A keeper's conversations with entries.

#include "cassia/base/log.h"
#include "cassia/keeper/service.h"
#include "cassia/settings/catalog.h"
#include "cassia/state/sharding.h"

#include <algorithm>
#include <optional>
#include <utility>

namespace cassia::keeper {

namespace {
using state::control_group;
constexpr milliseconds entry_forgotten_after(60000);
constexpr milliseconds incarnation_overlap(1000);
// A tenth of what entries and keepers may be silent before their loss shows anyway.
constexpr milliseconds list_age(100);
constexpr milliseconds push_time_per_entry(1);
// Answered before messages are read again.
constexpr std::size_t heartbeats_at_once = 16;
} // namespace

static std::string holder_name(const schema::entry_hello& hello) {
    return hello.entry() + "/" + std::to_string(hello.incarnation());
}

// Members of groups must hear each other in time however many entries there are, so entries are
// answered after what else has come.
void service::take_heartbeat(const schema::entry_hello& hello) {
    waiting_heartbeats_.add(hello);
    if (std::exchange(heartbeats_scheduled_, true))
        return;
    task_.post([this] { answer_heartbeats(); });
}

void service::answer_heartbeats() {
    for (std::size_t i = 0; i < heartbeats_at_once; ++i) {
        if (const std::optional<schema::entry_hello> hello = waiting_heartbeats_.next())
            on_entry_hello(*hello);
    }
    heartbeats_scheduled_ = !waiting_heartbeats_.empty();
    if (heartbeats_scheduled_)
        task_.post([this] { answer_heartbeats(); });
}

void service::on_entry_hello(const schema::entry_hello& hello) {
    const instant now = monotonic_now();
    known_entry& entry = entries_[hello.entry()];
    // A restarted VM may count its incarnations anew; while the other one was heard just now, the
    // lower one is a late message of a process that is gone.
    if (hello.incarnation() < entry.hello.incarnation() && now - entry.seen < incarnation_overlap)
        return;
    if (hello.incarnation() != entry.hello.incarnation())
        entry.table.restarted();
    entry.hello = hello;
    entry.seen = now;
    entry.own_seen = now;
    if (hosts_control() && uses_seeds())
        roster_.observe(hello, now);
    const std::string holder = holder_name(hello);
    for (std::pair<const group_id, work_group>& group : work_) {
        if (hosts_.at(group.first)->raft().leads())
            group.second.leader->holder_seen(holder, now);
    }
    send_beacon(entry);
    for (auto one = entries_.begin(); one != entries_.end();)
        one = now - one->second.seen > entry_forgotten_after ? entries_.erase(one) : std::next(one);
}

void service::write_control_news(const known_entry& entry, schema::keeper_beacon& beacon) const {
    const instant now = monotonic_now();
    const consensus::raft_group& control = hosts_.at(control_group)->raft();
    beacon.set_beacon_term(control.term().value());
    // The beacon says that a quorum stood behind this leader just now. Without the lease a leader
    // that is cut off would go on vouching for lists that others have replaced.
    beacon.set_in_touch(control.leads() ? control.may_read(now) : control.leader() != disk_id());
    if (control.may_read(now)) {
        beacon.set_leads_control(true);
        beacon.set_beacon(beacon_);
        beacon.set_config_version(control_.version());
        if (entry.hello.config_version() < control_.version())
            *beacon.mutable_config() = *control_.current();
    }
    // Tables need no lease: one that a member has applied is committed, and entries never go back
    // to a lower version.
    const std::uint64_t newest = control_.routes().version();
    if (uses_seeds() && entry.table.is_due(newest, entry.hello.routes_version(), now)) {
        *beacon.mutable_routes() = control_.routes();
        // Read back from keepers only.
        beacon.mutable_routes()->clear_document();
    }
    write_endpoints(entry.hello, beacon, entry.hello.follows());
    write_keepers(entry, beacon);
}

// Entries of a fleet found by seeds talk to work keepers that form the groups only: of the others,
// which may be many, they need to know nothing.
void service::write_keepers(const known_entry& entry, schema::keeper_beacon& beacon) const {
    const instant now = monotonic_now();
    beacon.set_keepers_digest(keepers_digest_);
    if (uses_seeds() && entry.hello.keepers_digest() == keepers_digest_)
        return;
    const std::set<std::uint64_t> members = work_group_disks(now);
    for (const std::pair<const std::string, known_keeper>& one : keepers_) {
        const schema::keeper_hello& hello = one.second.hello;
        const bool in_group = hello.work() && members.count(hello.disk()) > 0;
        const bool told = !uses_seeds() || hello.control() || in_group;
        if (!told || now - one.second.seen >= keeper_alive)
            continue;
        schema::keeper_hello* added = beacon.add_keepers();
        *added = hello;
        added->set_in_work_group(in_group);
    }
}

void service::write_entries(const known_entry& entry, schema::keeper_beacon& beacon) const {
    const instant now = monotonic_now();
    if (uses_seeds()) {
        if (entry.hello.follows())
            roster_.write(entry.hello.entries_epoch(), entry.hello.entries_revision(), beacon, now);
        return;
    }
    for (const std::pair<const std::string, known_entry>& one : entries_) {
        const microseconds age = now - one.second.seen;
        if (age >= entry_alive)
            continue;
        // Passed on as new, the word of a dead entry would keep it on the callers' list for twice
        // as long.
        schema::entry_hello* told = beacon.add_entries();
        *told = one.second.hello;
        told->set_age_ms(
            static_cast<std::uint32_t>(std::chrono::duration_cast<milliseconds>(age).count()));
    }
}

void service::refresh_lists(instant now) {
    if (now - lists_made_at_ < list_age)
        return;
    lists_made_at_ = now;
    roster_.mark_lost(now);
    keepers_digest_ = keepers_digest();
}

void service::send_beacon(known_entry& entry) {
    const instant now = monotonic_now();
    schema::envelope envelope;
    schema::keeper_beacon* beacon = envelope.mutable_beacon();
    beacon->set_keeper(node_);
    beacon->set_sent_at_us(entry.hello.sent_at_us());
    beacon->set_keeper_clock_us(to_us(now));
    if (hosts_control()) {
        refresh_lists(now);
        write_control_news(entry, *beacon);
        write_entries(entry, *beacon);
        if (beacon->has_routes())
            entry.table.sent(beacon->routes().version(), now);
    }
    const std::string holder = holder_name(entry.hello);
    for (const std::pair<const group_id, work_group>& group : work_) {
        if (!hosts_.at(group.first)->raft().may_read(now))
            continue;
        beacon->add_leads(static_cast<std::uint32_t>(group.first.value()));
        for (const state::item_key& key : group.second.state.leases_of(holder)) {
            auto job = group.second.state.jobs().find(key.first);
            const bool stopping = job != group.second.state.jobs().end() &&
                                  job->second.status == state::job_status::cancelling;
            const int listed = beacon->cancelled_jobs_size();
            const bool known = listed > 0 && beacon->cancelled_jobs(listed - 1) == key.first.str();
            if (stopping && !known)
                beacon->add_cancelled_jobs(key.first.str());
        }
    }
    const bool seldom = hosts_control() && !entry.hello.follows();
    const net::peer_watch watch = seldom ? net::peer_watch::relaxed : net::peer_watch::steady;
    hub_->send(peer_address(entry.hello.peer_address()), envelope,
               uses_seeds() ? watch : net::peer_watch::close);
}

void service::on_config_applied() {
    const schema::change_record* current = control_.current();
    if (current == nullptr)
        return;
    settings::result<std::shared_ptr<const settings::catalog>> parsed = settings::catalog::parse(
        current->version(), "plans", current->plans(), "allowances", current->allowances());
    if (parsed) {
        for (std::pair<const group_id, work_group>& group : work_) {
            for (const std::pair<const team_id, settings::plan>& plan : parsed.value()->plans())
                group.second.leader->set_weight(plan.first, plan.second.weight);
        }
    }
    log_info("config_applied").with("version", current->version());
    send_beacons_soon();
}

// Changes and cancellations are pushed at once; the entries' hellos, which name their version, make
// up for what gets lost. In a fleet found by seeds each entry follows one keeper of the control
// group, and those of the work groups tell whoever runs items of a job that was cancelled.
void service::send_beacons_soon() {
    if (std::exchange(beacons_scheduled_, true))
        return;
    const microseconds wait = pushed_at_ + push_pause_ - monotonic_now();
    const milliseconds rounded = std::chrono::ceil<milliseconds>(std::max(wait, microseconds(0)));
    task_.after(rounded, [this] { push_beacons(); });
}

// After a push the next one waits by the number of those told, so that changes that come one after
// the other, as when all endpoints start, are told together.
void service::push_beacons() {
    beacons_scheduled_ = false;
    pushed_at_ = monotonic_now();
    push_pause_ = milliseconds(0);
    for (std::pair<const std::string, known_entry>& entry : entries_) {
        const bool follows = hosts_control() && entry.second.hello.follows();
        const bool told = !uses_seeds() || follows || holds_items(entry.second.hello);
        if (!told)
            continue;
        send_beacon(entry.second);
        push_pause_ += push_time_per_entry;
    }
}

bool service::holds_items(const schema::entry_hello& hello) const {
    const std::string holder = holder_name(hello);
    return std::any_of(work_.begin(), work_.end(), [&holder](const auto& group) {
        return !group.second.state.leases_of(holder).empty();
    });
}

} // namespace cassia::keeper
