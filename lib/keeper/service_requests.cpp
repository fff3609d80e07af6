// A keeper's conversations with entries and other keepers.

#include "cassia/keeper/service.h"

#include "cassia/base/log.h"
#include "cassia/settings/catalog.h"
#include "cassia/state/sharding.h"

#include <algorithm>
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
constexpr std::size_t hellos_at_once = 16;
// Longer than a lost packet takes to come again.
constexpr milliseconds routes_resent_after(500);
} // namespace

void service::on_message(schema::envelope& message) {
    const instant now = monotonic_now();
    switch (message.body_case()) {
    case schema::envelope::kRaft:
        for (const schema::raft_message& one : message.raft().messages()) {
            auto host = hosts_.find(group_id(one.group()));
            if (host != hosts_.end())
                host->second->receive(one, now);
        }
        schedule_pump();
        break;
    case schema::envelope::kRequest:
        on_request(message.request(), message.reply_to());
        break;
    case schema::envelope::kHello:
        take_hello(message.hello());
        break;
    case schema::envelope::kKeeper:
        on_keeper_hello(message.keeper());
        break;
    case schema::envelope::kNews:
        on_news(message.news());
        break;
    default:
        break;
    }
}

std::string service::leader_node(const group_host& host) const {
    for (const consensus::member& member : host.raft().log().members()) {
        if (member.disk == host.raft().leader())
            return member.node;
    }
    return "";
}

void service::on_request(const schema::keeper_request& request, const std::string& reply_to) {
    const group_id group(request.group());
    auto host = hosts_.find(group);
    if (host == hosts_.end())
        return;
    const std::uint64_t id = request.id();
    const group_host::reply_function reply = [this, id, group,
                                              reply_to](schema::keeper_reply answer) {
        answer.set_id(id);
        answer.set_group(static_cast<std::uint32_t>(group.value()));
        if (answer.result() != schema::keeper_reply::done)
            answer.set_leader(leader_node(*hosts_.at(group)));
        schema::envelope envelope;
        *envelope.mutable_reply() = std::move(answer);
        hub_->send(peer_address(reply_to), envelope);
    };
    const instant now = monotonic_now();
    metrics_.count("requests");
    // An answer from the state counts only while no other member can lead, and proposals are left
    // to the leader; the lease covers both.
    if (!host->second->raft().leads() || !host->second->raft().may_read(now)) {
        schema::keeper_reply refused;
        refused.set_result(host->second->raft().leads() ? schema::keeper_reply::unavailable
                                                        : schema::keeper_reply::not_leader);
        reply(std::move(refused));
        return;
    }
    switch (request.request_case()) {
    case schema::keeper_request::kControl:
        host->second->propose(request.control().SerializeAsString(), reply, now);
        break;
    case schema::keeper_request::kHistory:
        serve_history(request, reply);
        break;
    case schema::keeper_request::kHeld:
        if (work_.count(group) > 0)
            serve_held(request.held(), group, reply_to);
        break;
    default:
        serve_work(request, reply);
        break;
    }
}

void service::serve_held(const schema::held_items& held, group_id group,
                         const std::string& reply_to) {
    const schema::stale_items stale = work_.at(group).leader->reconcile(held, monotonic_now());
    if (stale.jobs_size() == 0)
        return;
    log_info("stale_items_told").with("holder", held.holder()).with("jobs", stale.jobs_size());
    schema::envelope envelope;
    *envelope.mutable_stale() = stale;
    hub_->send(peer_address(reply_to), envelope);
}

void service::serve_history(const schema::keeper_request&,
                            const group_host::reply_function& reply) {
    schema::keeper_reply answer;
    for (const schema::change_record& change : control_.history()) {
        schema::change_record* listed = answer.add_history();
        listed->set_version(change.version());
        listed->set_change_id(change.change_id());
        listed->set_at(change.at());
        listed->set_digest(change.digest());
    }
    if (answer.history_size() > 0) {
        schema::change_record* newest = answer.mutable_history(answer.history_size() - 1);
        newest->set_plans(control_.current()->plans());
        newest->set_allowances(control_.current()->allowances());
    }
    reply(std::move(answer));
}

void service::serve_work(const schema::keeper_request& request,
                         const group_host::reply_function& reply) {
    const group_id id(request.group());
    auto group = work_.find(id);
    if (group == work_.end())
        return;
    const instant now = monotonic_now();
    const state::work_state::record_reader read = [this](const storage::position& at) {
        return store_.read_command(at);
    };
    switch (request.request_case()) {
    case schema::keeper_request::kWork:
        if (request.work().has_cancel())
            group->second.leader->cancel(request.work(), reply, now);
        else if (request.work().has_claim())
            propose_claim(request.work(), id, reply);
        else
            hosts_.at(id)->propose(request.work().SerializeAsString(), reply, now);
        break;
    case schema::keeper_request::kQuery: {
        schema::keeper_reply answer;
        *answer.mutable_work() = group->second.state.query(request.query(), read);
        reply(std::move(answer));
        break;
    }
    case schema::keeper_request::kLease:
        group->second.leader->lease(request.lease(), reply, now);
        break;
    default:
        break;
    }
}

void service::propose_claim(const schema::work_command& command, group_id group,
                            const group_host::reply_function& reply) {
    const std::string customer = command.claim().customer();
    const std::string key = command.claim().key();
    hosts_.at(group)->propose(
        command.SerializeAsString(),
        [this, group, customer, key, reply](schema::keeper_reply answer) {
            if (answer.work().result() == schema::work_reply::replay) {
                const state::result<void> filled = work_.at(group).state.fill_answer(
                    *answer.mutable_work(), customer, key,
                    [this](const storage::position& at) { return store_.read_command(at); });
                if (!filled)
                    answer.set_result(schema::keeper_reply::unavailable);
            }
            reply(std::move(answer));
        },
        monotonic_now());
}

// Members of groups must hear each other in time however many entries there are: an entry is
// answered after what else has come, and once if it has asked again meanwhile. They take turns by
// name, so that a keeper that can't answer all answers none of them more than others.
void service::take_hello(const schema::entry_hello& hello) {
    waiting_hellos_[hello.entry()] = hello;
    if (std::exchange(hellos_scheduled_, true))
        return;
    task_.post([this] { answer_hellos(); });
}

void service::answer_hellos() {
    hellos_scheduled_ = false;
    for (std::size_t i = 0; i < hellos_at_once && !waiting_hellos_.empty(); ++i) {
        auto next = waiting_hellos_.upper_bound(last_answered_);
        next = next == waiting_hellos_.end() ? waiting_hellos_.begin() : next;
        const schema::entry_hello hello = std::move(next->second);
        last_answered_ = next->first;
        waiting_hellos_.erase(next);
        on_entry_hello(hello);
    }
    if (waiting_hellos_.empty())
        return;
    hellos_scheduled_ = true;
    task_.post([this] { answer_hellos(); });
}

void service::on_entry_hello(const schema::entry_hello& hello) {
    const instant now = monotonic_now();
    known_entry& entry = entries_[hello.entry()];
    // A restarted VM may count its incarnations anew; while the other one was heard just now, the
    // lower one is a late message of a process that is gone.
    if (hello.incarnation() < entry.hello.incarnation() && now - entry.seen < incarnation_overlap)
        return;
    // Another process of the same entry has no table yet.
    if (hello.incarnation() != entry.hello.incarnation())
        entry.routes_sent = 0;
    entry.hello = hello;
    entry.seen = now;
    entry.own_seen = now;
    if (hosts_control() && uses_seeds())
        roster_.saw(hello, now);
    const std::string holder = hello.entry() + "/" + std::to_string(hello.incarnation());
    for (std::pair<const group_id, work_group>& group : work_) {
        if (hosts_.at(group.first)->raft().leads())
            group.second.leader->holder_seen(holder, now);
    }
    send_beacon(entry);
    for (auto one = entries_.begin(); one != entries_.end();)
        one = now - one->second.seen > entry_forgotten_after ? entries_.erase(one) : std::next(one);
}

// A table may be large, and each hello that was under way when it was sent asks for it again.
bool service::lacks_routes(const known_entry& entry, instant now) const {
    const std::uint64_t newest = control_.routes().version();
    const bool on_its_way =
        entry.routes_sent == newest && now - entry.routes_sent_at < routes_resent_after;
    return entry.hello.routes_version() < newest && !on_its_way;
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
    if (uses_seeds() && lacks_routes(entry, now)) {
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
    roster_.refresh(now);
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
        if (beacon->has_routes()) {
            entry.routes_sent = beacon->routes().version();
            entry.routes_sent_at = now;
        }
    }
    const std::string holder =
        entry.hello.entry() + "/" + std::to_string(entry.hello.incarnation());
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
    hub_->send(peer_address(entry.hello.peer_address()), envelope,
               uses_seeds() ? net::peer_watch::steady : net::peer_watch::close);
}

void service::on_config_applied() {
    const schema::change_record* current = control_.current();
    if (current == nullptr)
        return;
    settings::result<std::shared_ptr<const settings::catalog>> parsed = settings::catalog::parse(
        current->version(), "plans", current->plans(), "allowances", current->allowances());
    if (parsed) {
        for (std::pair<const group_id, work_group>& group : work_) {
            for (const std::pair<const customer_id, settings::plan>& plan : parsed.value()->plans())
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
    const microseconds wait = beacons_sent_at_ + beacons_time_ - monotonic_now();
    const milliseconds rounded = std::chrono::ceil<milliseconds>(std::max(wait, microseconds(0)));
    task_.after(rounded, [this] { push_beacons(); });
}

// After a push the next one waits by the number of those told, so that changes that come one after
// the other, as when all endpoints start, are told together.
void service::push_beacons() {
    beacons_scheduled_ = false;
    beacons_sent_at_ = monotonic_now();
    beacons_time_ = milliseconds(0);
    for (std::pair<const std::string, known_entry>& entry : entries_) {
        const bool told = !uses_seeds() || (hosts_control() ? entry.second.hello.follows()
                                                            : holds_items(entry.second.hello));
        if (!told)
            continue;
        send_beacon(entry.second);
        beacons_time_ += push_time_per_entry;
    }
}

static std::string holder_name(const schema::entry_hello& hello) {
    return hello.entry() + "/" + std::to_string(hello.incarnation());
}

bool service::holds_items(const schema::entry_hello& hello) const {
    const std::string holder = holder_name(hello);
    return std::any_of(work_.begin(), work_.end(), [&holder](const auto& group) {
        return !group.second.state.leases_of(holder).empty();
    });
}

void service::send_keeper_hello(const peer_address& to) {
    schema::envelope envelope;
    *envelope.mutable_keeper() = own_hello(to);
    hub_->send(to, envelope);
}

void service::on_keeper_hello(const schema::keeper_hello& hello) {
    see_keeper(hello, monotonic_now());
    // A founder that missed the moment learns here what the others decided.
    const bool founded = !hosts_control() || hosts_.at(control_group)->founded();
    if (!founded && hello.control() && hello.founders().members_size() > 0)
        founders_ = consensus::members_from_proto(hello.founders());
    if (uses_seeds() && hosts_control())
        send_news(peer_address(hello.address()), keepers_.at(hello.node()));
    answer_waiting_words();
}

} // namespace cassia::keeper
