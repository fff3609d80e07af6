// The keeper's interface for an API server that runs on its task.

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
// Gateways send a heartbeat every 250 ms. A caller that is directed to a dead gateway waits a
// second for the connection, so a gateway is delisted after three missed heartbeats; a lost packet
// delays one by 200 ms.
constexpr milliseconds gateway_serving_timeout(900);
// An endpoint waits a second for the response and then asks the next keeper.
constexpr milliseconds announcement_timeout(800);
} // namespace

void service::put_routes(const schema::route_table& table, const control_callback& done) {
    const group_replica& replica = *replicas_.at(control_group);
    if (!replica.raft().leads()) {
        done({replica.raft().leader() == disk_id() ? control_outcome::unknown
                                                   : control_outcome::not_leader,
              net::ip_of(leader_node(replica)),
              {}});
        return;
    }
    schema::control_command command;
    *command.mutable_routes() = table;
    replicas_.at(control_group)
        ->propose(
            command.SerializeAsString(),
            [done](const schema::keeper_reply& reply) {
                const bool applied = reply.result() == schema::keeper_reply::done;
                done({applied ? control_outcome::done : control_outcome::unknown, "", {}});
            },
            monotonic_now());
}

// Only the leader knows that nothing newer was acknowledged, and only while its lease is valid. The
// lease is measured with a clock that advances while the VM is suspended, so a leader that resumes
// after it was replaced finds the lease expired.
void service::read_routes(const control_callback& done) {
    const group_replica& replica = *replicas_.at(control_group);
    if (replica.raft().may_read(monotonic_now())) {
        done({control_outcome::done, "", control_state_.routes()});
        return;
    }
    const bool other_leads = !replica.raft().leads() && replica.raft().leader() != disk_id();
    done({other_leads ? control_outcome::not_leader : control_outcome::unknown,
          net::ip_of(leader_node(replica)),
          {}});
}

void service::announce_endpoint(const schema::endpoint_record& record,
                                std::function<void(bool)> done) {
    const instant now = monotonic_now();
    const bool changed = directory_.merge_announcement(record, now);
    if (changed) {
        log_info("endpoint_changed")
            .with("endpoint", record.id())
            .with("service", record.service())
            .with("address", record.address())
            .with("version", record.software_version())
            .with("leaving", record.leaving() ? 1 : 0)
            .with("gone", record.gone() ? 1 : 0)
            .with("sequence", record.sequence());
        note_version(record, "");
        confirm_versions();
        schedule_beacon_push();
    }
    const bool needs_majority = record.leaving() || record.gone();
    if (!needs_majority) {
        done(true);
        return;
    }
    pending_announcements_.push_back(
        {directory_.revision(), now + announcement_timeout, std::move(done)});
    push_news();
    respond_to_pending_announcements();
}

// An endpoint unknown to this keeper is recorded as gone too: earlier announcements may still be in
// transit from another keeper.
void service::remove_endpoint(const endpoint_id& endpoint, std::uint64_t incarnation,
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
    announce_endpoint(record, std::move(done));
}

void service::restore_endpoints() {
    const storage::result<std::string> content =
        storage::read_file(settings_.data_dir() + "/" + endpoints_file);
    if (!content)
        return;
    const std::size_t count = decode_endpoints(
        directory_, content.value(), monotonic_now(),
        [this](const schema::endpoint_record& record) { versions_.restore(record); });
    saved_changes_ = directory_.changes();
    log_info("endpoints_restored").with("endpoints", count);
}

// The file only makes endpoints known sooner after a restart, so a failed write is not fatal.
void service::save_endpoints() {
    if (saving_endpoints_ || directory_.changes() == saved_changes_)
        return;
    saving_endpoints_ = true;
    saved_changes_ = directory_.changes();
    std::string content = encode_endpoints(directory_, monotonic_now(), versions_);
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

// Once it is acknowledged that an endpoint leaves or is gone, every gateway must learn of it even
// if this keeper dies right afterwards. So a majority of the control group must have it first.
void service::respond_to_pending_announcements() {
    const instant now = monotonic_now();
    const std::size_t members =
        hosts_control() ? replicas_.at(control_group)->raft().log().members().size() : 0;
    std::vector<pending_announcement> still_pending;
    std::vector<std::pair<std::function<void(bool)>, bool>> responses;
    for (pending_announcement& announcement : pending_announcements_) {
        std::size_t acknowledged = 1;
        for (const std::pair<const std::string, known_keeper>& keeper : keepers_) {
            const schema::keeper_hello& heartbeat = keeper.second.heartbeat;
            if (heartbeat.control() && heartbeat.directory_epoch() == directory_epoch_ &&
                heartbeat.directory_revision() >= announcement.revision)
                ++acknowledged;
        }
        const bool majority_has_it = acknowledged >= members / 2 + 1;
        if (majority_has_it || now >= announcement.deadline)
            responses.emplace_back(std::move(announcement.done), majority_has_it);
        else
            still_pending.push_back(std::move(announcement));
    }
    pending_announcements_ = std::move(still_pending);
    for (const std::pair<std::function<void(bool)>, bool>& response : responses)
        response.first(response.second);
}

void service::apply_settings(const schema::keeper_settings& changed) {
    *settings_.mutable_cluster()->mutable_seed() = changed.cluster().seed();
}

bool service::is_serving(const known_gateway& gateway, instant now) const {
    return now - gateway.last_seen < gateway_serving_timeout && !gateway.heartbeat.draining();
}

std::vector<const schema::entry_hello*> service::serving_gateways() const {
    std::vector<const schema::entry_hello*> serving;
    const instant now = monotonic_now();
    for (const std::pair<const std::string, known_gateway>& gateway : gateways_) {
        if (is_serving(gateway.second, now))
            serving.push_back(&gateway.second.heartbeat);
    }
    return serving;
}

// A dead gateway logs nothing itself. These events show while callers were directed to it in vain.
void service::log_serving_changes() {
    const instant now = monotonic_now();
    for (std::pair<const std::string, known_gateway>& gateway : gateways_) {
        const bool serving = is_serving(gateway.second, now);
        if (serving == gateway.second.serving)
            continue;
        gateway.second.serving = serving;
        log_info(serving ? "entry_heard" : "entry_silent")
            .with("entry", gateway.first)
            .with("incarnation", gateway.second.heartbeat.incarnation())
            .with("draining", gateway.second.heartbeat.draining() ? 1 : 0)
            .with("age_ms",
                  std::chrono::duration_cast<milliseconds>(now - gateway.second.last_seen).count());
    }
}

} // namespace cassia::keeper
