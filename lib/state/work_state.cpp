#include "cassia/state/work_state.h"

#include "cassia/base/digest.h"
#include "cassia/schema/messages.pb.h"

#include <algorithm>

namespace cassia::state {

namespace {
// A job whose submission isn't complete by then is removed.
constexpr std::uint64_t loading_timeout_ms = 3600ULL * 1000;
} // namespace

work_state::work_state() = default;
work_state::~work_state() = default;
work_state::work_state(work_state&&) noexcept = default;
work_state& work_state::operator=(work_state&&) noexcept = default;

const char* job_status_name(job_status status) {
    switch (status) {
    case job_status::loading:
        return "loading";
    case job_status::queued:
        return "queued";
    case job_status::running:
        return "running";
    case job_status::cancelling:
        return "cancelling";
    case job_status::cancelled:
        return "cancelled";
    case job_status::completed:
        return "completed";
    case job_status::failed:
        return "failed";
    }
    return "failed";
}

job_sender read_job_sender(const schema::job_sender& sender) {
    return {team_id(sender.team()), sender.key_digest(), sender.teams_known()};
}

void write_job_sender(const job_sender& sender, schema::job_sender& out) {
    out.set_team(sender.team.str());
    out.set_key_digest(sender.key_digest);
    out.set_teams_known(sender.teams_known);
}

void fill_job_view(const batch_job& job, schema::job_view& view) {
    view.set_job(job.id.str());
    view.set_team(job.team.str());
    view.set_status(job_status_name(job.status));
    view.set_deadline(job.deadline);
    view.set_created(job.created);
    view.set_ended(job.ended);
    schema::job_owner* owner = view.mutable_owner();
    owner->set_team(job.team.str());
    owner->set_has_team(job.has_team);
    owner->set_host(job.host);
    write_job_sender(job.sender, *owner->mutable_sender());
    schema::item_counts* counts = view.mutable_counts();
    counts->set_total(static_cast<std::uint32_t>(job.items.size()));
    counts->set_completed(job.counts.completed);
    counts->set_failed(job.counts.failed);
    counts->set_unknown(job.counts.unknown);
    counts->set_cancelled(job.counts.cancelled);
    counts->set_running(job.counts.running);
}

schema::work_reply work_state::apply(const schema::work_command& command,
                                     const storage::position& position) {
    switch (command.command_case()) {
    case schema::work_command::kBegin:
        return begin_job(command.begin());
    case schema::work_command::kItems:
        return add_items(command.items(), position);
    case schema::work_command::kCommit:
        return commit_job(command.commit());
    case schema::work_command::kSubmit:
        return submit_job(command.submit(), position);
    case schema::work_command::kCancel:
        return cancel_job(command.cancel());
    case schema::work_command::kLease:
        return lease_items(command.lease());
    case schema::work_command::kEnds:
        return end_items(command.ends(), position);
    case schema::work_command::kLost:
        revoke_leases(command.lost().holder(), command.lost().at());
        revoke_claims(command.lost().holder());
        break;
    case schema::work_command::kClaim:
        return claim_key(command.claim());
    case schema::work_command::kFinish:
        return finish_key(command.finish(), position);
    case schema::work_command::kExpire:
        expire(command.expire().at());
        break;
    case schema::work_command::COMMAND_NOT_SET:
        break;
    }
    return {};
}

static bool is_job_expired(const batch_job& job, std::uint64_t now) {
    if (job.status == job_status::loading)
        return job.created + loading_timeout_ms < now;
    return job.ended != 0 && job.ended + job.retention_ms < now;
}

bool work_state::is_key_expired(const idempotency_key& key, std::uint64_t now) {
    return key.status != key_status::running && key.at + key.retention_ms < now;
}

void work_state::expire(std::uint64_t now) {
    for (auto job = jobs_.begin(); job != jobs_.end();)
        job = is_job_expired(job->second, now) ? jobs_.erase(job) : std::next(job);
    for (auto key = keys_.begin(); key != keys_.end();) {
        key = is_key_expired(key->second, now) ? keys_.erase(key) : std::next(key);
    }
}

bool work_state::has_expired(std::uint64_t now) const {
    const bool job_expired = std::any_of(jobs_.begin(), jobs_.end(),
                                         [now](const std::pair<const job_id, batch_job>& job) {
                                             return is_job_expired(job.second, now);
                                         });
    return job_expired || std::any_of(keys_.begin(), keys_.end(),
                                      [now](const std::pair<const key_name, idempotency_key>& key) {
                                          return is_key_expired(key.second, now);
                                      });
}

std::set<storage::position> work_state::referenced_positions() const {
    std::set<storage::position> referenced;
    for (const std::pair<const job_id, batch_job>& job : jobs_) {
        for (const batch_item& item : job.second.items) {
            referenced.insert(item.body);
            referenced.insert(item.result);
        }
    }
    for (const std::pair<const key_name, idempotency_key>& key : keys_)
        referenced.insert(key.second.response);
    referenced.erase(storage::position());
    return referenced;
}

void work_state::remap_positions(
    const std::map<storage::position, storage::position>& new_positions) {
    const auto remap = [&new_positions](storage::position& position) {
        auto found = new_positions.find(position);
        if (found != new_positions.end())
            position = found->second;
    };
    for (std::pair<const job_id, batch_job>& job : jobs_) {
        for (batch_item& item : job.second.items) {
            remap(item.body);
            remap(item.result);
        }
    }
    for (std::pair<const key_name, idempotency_key>& key : keys_)
        remap(key.second.response);
}

} // namespace cassia::state
