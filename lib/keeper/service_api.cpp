// What a keeper offers to an interface that runs beside it.

#include "cassia/base/log.h"
#include "cassia/keeper/endpoint_file.h"
#include "cassia/keeper/service.h"
#include "cassia/net/http_server.h"
#include "cassia/state/sharding.h"

#include <algorithm>
#include <utility>

namespace cassia::keeper {

namespace {
constexpr const char* endpoints_file = "endpoints";
using state::control_group;
// Entries say hello every 250 ms. A caller that is sent to one that is gone waits a second for a
// connection, so three missing hellos are enough; a lost packet delays one by 200 ms.
constexpr milliseconds entry_serves(900);
// An endpoint gives up on an answer after a second and asks the next keeper.
constexpr milliseconds word_patience(800);
// A leader says several times a second who forms its groups.
constexpr milliseconds view_alive(1000);
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
    const bool changed = directory_.merge_announcement(record, now);
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

void service::restore_endpoints() {
    const storage::result<std::string> content =
        storage::read_file(settings_.data_dir() + "/" + endpoints_file);
    if (!content)
        return;
    const std::size_t count = decode_endpoints(directory_, content.value(), monotonic_now());
    saved_changes_ = directory_.changes();
    log_info("endpoints_restored").with("endpoints", count);
}

// Without the file endpoints are known only later, so a write that fails ends nothing.
void service::save_endpoints() {
    if (saving_endpoints_ || directory_.changes() == saved_changes_)
        return;
    saving_endpoints_ = true;
    saved_changes_ = directory_.changes();
    std::string content = encode_endpoints(directory_, monotonic_now());
    snapshot_writer_->submit(
        [folder = settings_.data_dir(), content = std::move(content)]() -> storage::result<void> {
            const storage::result<void> written =
                storage::write_file(storage::system_disk(), folder, endpoints_file, content);
            if (!written)
                log_warning("endpoints_not_saved").with("cause", written.error().text);
            return success();
        },
        [this] { saving_endpoints_ = false; });
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

const service::known_keeper* service::find_work_keeper(const std::string& name) const {
    const known_keeper* found = nullptr;
    for (const std::pair<const std::string, known_keeper>& one : keepers_) {
        const bool fits = one.second.hello.work() && one.second.hello.name() == name;
        if (fits && (found == nullptr || one.second.seen > found->seen))
            found = &one.second;
    }
    return found;
}

std::set<disk_id> service::retiring_disks() const {
    std::set<disk_id> disks;
    for (const schema::retire_command& one : control_.retiring())
        disks.insert(disk_id(one.disk()));
    return disks;
}

void service::retire(const std::string& name,
                     const std::function<void(const retire_answer&)>& done) {
    const group_host& host = *hosts_.at(control_group);
    const instant now = monotonic_now();
    if (!host.raft().may_read(now)) {
        const bool other_leads = !host.raft().leads() && host.raft().leader() != disk_id();
        done({other_leads ? retire_outcome::elsewhere : retire_outcome::unknown,
              net::ip_of(leader_node(host))});
        return;
    }
    const known_keeper* keeper = find_work_keeper(name);
    if (keeper == nullptr) {
        done({retire_outcome::missing, ""});
        return;
    }
    const disk_id disk(keeper->hello.disk());
    const std::set<disk_id> retiring = retiring_disks();
    std::size_t left = 0;
    for (const std::pair<const std::string, known_keeper>& one : keepers_) {
        const disk_id other(one.second.hello.disk());
        const bool stays = one.second.hello.work() && now - one.second.seen < keeper_alive &&
                           other != disk && retiring.count(other) == 0;
        left += stays ? 1 : 0;
    }
    if (retiring.count(disk) == 0 && left < group_size()) {
        done({retire_outcome::too_few, ""});
        return;
    }
    schema::control_command command;
    command.mutable_retire()->set_name(name);
    command.mutable_retire()->set_disk(disk.value());
    hosts_.at(control_group)
        ->propose(
            command.SerializeAsString(),
            [done](const schema::keeper_reply& reply) {
                const bool applied = reply.result() == schema::keeper_reply::done;
                done({applied ? retire_outcome::done : retire_outcome::unknown, ""});
            },
            now);
}

// Said only on the word of a present leader of every group: the VM is taken away with its disk at
// once, and a group that still counts on it would lose a member without notice.
std::optional<bool> service::is_retired(const std::string& name) const {
    std::optional<disk_id> disk;
    for (const schema::retire_command& one : control_.retiring()) {
        if (one.name() == name)
            disk = disk_id(one.disk());
    }
    if (!disk)
        return std::nullopt;
    const instant now = monotonic_now();
    std::map<std::uint32_t, const schema::group_view*> views;
    for (const std::pair<const std::string, known_keeper>& one : keepers_) {
        if (now - one.second.seen >= view_alive)
            continue;
        for (const schema::group_view& view : one.second.hello.leads()) {
            const schema::group_view*& newest = views[view.group()];
            if (newest == nullptr || view.term() > newest->term())
                newest = &view;
        }
    }
    if (views.size() < settings_.cluster().work_groups())
        return false;
    return std::none_of(views.begin(), views.end(), [&disk](const auto& view) {
        return std::find(view.second->disks().begin(), view.second->disks().end(), disk->value()) !=
               view.second->disks().end();
    });
}

void service::apply(const schema::keeper_settings& changed) {
    *settings_.mutable_cluster()->mutable_seed() = changed.cluster().seed();
}

bool service::is_serving(const known_entry& entry, instant now) const {
    return now - entry.seen < entry_serves && !entry.hello.draining();
}

std::vector<schema::entry_hello> service::serving_entries() const {
    std::vector<schema::entry_hello> out;
    const instant now = monotonic_now();
    for (const std::pair<const std::string, known_entry>& one : entries_) {
        if (is_serving(one.second, now))
            out.push_back(one.second.hello);
    }
    return out;
}

// An entry that is gone logs nothing itself: only this tells which one callers were sent to in
// vain.
void service::log_listed_entries() {
    const instant now = monotonic_now();
    for (std::pair<const std::string, known_entry>& one : entries_) {
        const bool listed = is_serving(one.second, now);
        if (listed == one.second.listed)
            continue;
        one.second.listed = listed;
        log_info(listed ? "entry_heard" : "entry_silent")
            .with("entry", one.first)
            .with("incarnation", one.second.hello.incarnation())
            .with("draining", one.second.hello.draining() ? 1 : 0)
            .with("age_ms",
                  std::chrono::duration_cast<milliseconds>(now - one.second.seen).count());
    }
}

} // namespace cassia::keeper
