// What a keeper offers to an interface that runs beside it.

#include "cassia/base/log.h"
#include "cassia/keeper/service.h"
#include "cassia/net/http_server.h"
#include "cassia/state/sharding.h"

#include <utility>

namespace cassia::keeper {

namespace {
using state::control_group;
// Entries say hello several times a second; callers must not be sent to one that is gone.
constexpr milliseconds entry_serves(1500);
// An endpoint gives up on an answer after a second and asks the next keeper.
constexpr milliseconds word_patience(800);
} // namespace

void service::put_routes(const schema::route_table& table, const control_done& done) {
    const group_host& host = *hosts_.at(control_group);
    if (!host.raft().leads()) {
        done({host.raft().leader() == disk_id() ? control_outcome::unknown
                                                : control_outcome::elsewhere,
              net::ip_of(leader_node(host)),
              {}});
        return;
    }
    schema::control_command command;
    *command.mutable_routes() = table;
    hosts_.at(control_group)
        ->propose(
            command.SerializeAsString(),
            [done](const schema::keeper_reply& reply) {
                const bool applied = reply.result() == schema::keeper_reply::done;
                done({applied ? control_outcome::done : control_outcome::unknown, "", {}});
            },
            monotonic_now());
}

// Only the leader knows that nothing newer was acknowledged, and only while its lease holds: the
// lease is measured by a clock that goes on while the VM is suspended, so a leader that wakes up
// after it was replaced finds it expired.
void service::read_routes(const control_done& done) {
    const group_host& host = *hosts_.at(control_group);
    if (host.raft().may_read(monotonic_now())) {
        done({control_outcome::done, "", control_.routes()});
        return;
    }
    const bool other_leads = !host.raft().leads() && host.raft().leader() != disk_id();
    done({other_leads ? control_outcome::elsewhere : control_outcome::unknown,
          net::ip_of(leader_node(host)),
          {}});
}

void service::announce(const schema::endpoint_record& record, std::function<void(bool)> done) {
    const instant now = monotonic_now();
    const bool changed = directory_.announced(record, now);
    if (changed) {
        log_info("endpoint_changed")
            .with("endpoint", record.id())
            .with("service", record.service())
            .with("address", record.address())
            .with("leaving", record.leaving() ? 1 : 0)
            .with("gone", record.gone() ? 1 : 0)
            .with("sequence", record.sequence());
        send_beacons_soon();
    }
    const bool must_outlive_this = record.leaving() || record.gone();
    if (!must_outlive_this) {
        done(true);
        return;
    }
    waiting_words_.push_back({directory_.revision(), now + word_patience, std::move(done)});
    push_news();
    answer_waiting_words();
}

// An endpoint that this keeper never heard of is noted as gone all the same: its earlier words may
// be on their way from another keeper.
void service::end_endpoint(const endpoint_id& endpoint, std::uint64_t incarnation,
                           std::function<void(bool)> done) {
    schema::endpoint_record record;
    auto known = directory_.all().find(endpoint);
    if (known != directory_.all().end())
        record = known->second.record;
    if (incarnation != 0)
        record.set_incarnation(incarnation);
    record.set_id(endpoint.str());
    record.set_leaving(true);
    record.set_gone(true);
    announce(record, std::move(done));
}

// The end of an endpoint's service that was acknowledged must reach every entry though the keeper
// that took it dies just after: another member of the control group has to have it too.
void service::answer_waiting_words() {
    const instant now = monotonic_now();
    const std::size_t members =
        hosts_control() ? hosts_.at(control_group)->raft().log().members().size() : 0;
    std::vector<waiting_word> still;
    std::vector<std::pair<std::function<void(bool)>, bool>> answers;
    for (waiting_word& one : waiting_words_) {
        std::size_t holders = 1;
        for (const std::pair<const std::string, known_keeper>& keeper : keepers_) {
            const schema::keeper_hello& hello = keeper.second.hello;
            if (hello.control() && hello.directory_epoch() == directory_epoch_ &&
                hello.directory_revision() >= one.revision)
                ++holders;
        }
        const bool safe = holders >= members / 2 + 1;
        if (safe || now >= one.until)
            answers.emplace_back(std::move(one.done), safe);
        else
            still.push_back(std::move(one));
    }
    waiting_words_ = std::move(still);
    for (const std::pair<std::function<void(bool)>, bool>& answer : answers)
        answer.first(answer.second);
}

std::vector<schema::entry_hello> service::serving_entries() const {
    std::vector<schema::entry_hello> out;
    const instant now = monotonic_now();
    for (const std::pair<const std::string, known_entry>& one : entries_) {
        if (now - one.second.seen < entry_serves && !one.second.hello.draining())
            out.push_back(one.second.hello);
    }
    return out;
}

} // namespace cassia::keeper
