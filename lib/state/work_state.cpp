#include "cassia/state/work_state.h"

#include "cassia/base/digest.h"
#include "cassia/schema/messages.pb.h"

#include <algorithm>

namespace cassia::state {

namespace {
constexpr std::uint64_t loading_patience_ms = 3600ULL * 1000;
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

void fill_job_view(const batch_job& job, schema::job_view& view) {
    view.set_job(job.id.str());
    view.set_team(job.team.str());
    view.set_status(job_status_name(job.status));
    view.set_deadline(job.deadline);
    view.set_created(job.created);
    view.set_ended(job.ended);
    schema::item_counts* counts = view.mutable_counts();
    counts->set_total(static_cast<std::uint32_t>(job.items.size()));
    counts->set_completed(job.counts.completed);
    counts->set_failed(job.counts.failed);
    counts->set_unknown(job.counts.unknown);
    counts->set_cancelled(job.counts.cancelled);
    counts->set_running(job.counts.running);
}

schema::work_reply work_state::apply(const schema::work_command& command,
                                     const storage::position& at) {
    switch (command.command_case()) {
    case schema::work_command::kBegin:
        return begin_job(command.begin());
    case schema::work_command::kItems:
        return add_items(command.items(), at);
    case schema::work_command::kCommit:
        return commit_job(command.commit());
    case schema::work_command::kSubmit:
        return submit_job(command.submit(), at);
    case schema::work_command::kCancel:
        return cancel_job(command.cancel());
    case schema::work_command::kLease:
        return lease_items(command.lease());
    case schema::work_command::kEnds:
        return end_items(command.ends(), at);
    case schema::work_command::kLost:
        lose_holder_items(command.lost().holder(), command.lost().at());
        lose_holder_keys(command.lost().holder());
        break;
    case schema::work_command::kClaim:
        return claim_key(command.claim());
    case schema::work_command::kFinish:
        return finish_key(command.finish(), at);
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
        return job.created + loading_patience_ms < now;
    return job.ended != 0 && job.ended + job.retention_ms < now;
}

bool work_state::is_key_expired(const idempotency_key& key, std::uint64_t now) {
    return key.status != key_status::running && key.at + key.retention_ms < now;
}

void work_state::expire(std::uint64_t now) {
    for (auto one = jobs_.begin(); one != jobs_.end();)
        one = is_job_expired(one->second, now) ? jobs_.erase(one) : std::next(one);
    for (auto one = keys_.begin(); one != keys_.end();) {
        one = is_key_expired(one->second, now) ? keys_.erase(one) : std::next(one);
    }
}

bool work_state::has_expired(std::uint64_t now) const {
    const bool job = std::any_of(jobs_.begin(), jobs_.end(),
                                 [now](const std::pair<const job_id, batch_job>& one) {
                                     return is_job_expired(one.second, now);
                                 });
    return job || std::any_of(keys_.begin(), keys_.end(),
                              [now](const std::pair<const key_name, idempotency_key>& one) {
                                  return is_key_expired(one.second, now);
                              });
}

std::set<storage::position> work_state::referenced_positions() const {
    std::set<storage::position> places;
    for (const std::pair<const job_id, batch_job>& one : jobs_) {
        for (const batch_item& item : one.second.items) {
            places.insert(item.body);
            places.insert(item.result);
        }
    }
    for (const std::pair<const key_name, idempotency_key>& one : keys_)
        places.insert(one.second.answer);
    places.erase(storage::position());
    return places;
}

void work_state::remap_positions(const std::map<storage::position, storage::position>& places) {
    const auto move_to = [&places](storage::position& place) {
        auto found = places.find(place);
        if (found != places.end())
            place = found->second;
    };
    for (std::pair<const job_id, batch_job>& one : jobs_) {
        for (batch_item& item : one.second.items) {
            move_to(item.body);
            move_to(item.result);
        }
    }
    for (std::pair<const key_name, idempotency_key>& one : keys_)
        move_to(one.second.answer);
}

} // namespace cassia::state
