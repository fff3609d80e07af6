#include "cassia/state/control_state.h"

#include "cassia/base/digest.h"
#include "cassia/schema/messages.pb.h"

#include <algorithm>

namespace cassia::state {

namespace {
// The plans and allowances of a version are large, and only those of recent versions are ever sent.
// Change ids and digests are kept for many more versions, so that an operator who resends a change
// after days still gets the original reply.
constexpr std::size_t max_versions_with_documents = 8;
constexpr std::size_t max_versions = 50000;
} // namespace

control_state::control_state()
    : routes_(std::make_unique<schema::route_table>()),
      work_founders_(std::make_unique<schema::group_members>()) {}
control_state::~control_state() = default;
control_state::control_state(control_state&&) noexcept = default;
control_state& control_state::operator=(control_state&&) noexcept = default;

std::uint64_t control_state::version() const {
    return changes_.empty() ? 0 : changes_.back().version();
}

const schema::change_record* control_state::current() const {
    return changes_.empty() ? nullptr : &changes_.back();
}

static std::string content_digest(const schema::change_command& change) {
    return sha256_hex(sha256_hex(change.plans()) + sha256_hex(change.allowances()));
}

schema::control_reply control_state::apply(const schema::control_command& command) {
    if (command.has_change())
        return apply_change(command.change());
    if (command.has_routes())
        return apply_routes(command.routes());
    if (command.has_found_work())
        return apply_founding(command.found_work().founders());
    if (command.has_retire())
        return apply_retire(command.retire());
    schema::control_reply reply;
    reply.set_version(version());
    if (command.has_fence())
        reply.set_fence(++fence_);
    return reply;
}

schema::control_reply control_state::apply_change(const schema::change_command& change) {
    schema::control_reply reply;
    const std::string digest = content_digest(change);
    auto previous = versions_by_change_id_.find(change.change_id());
    if (previous != versions_by_change_id_.end()) {
        const std::uint64_t first_version = changes_.front().version();
        const schema::change_record& record = changes_[previous->second - first_version];
        const bool same_content = record.digest() == digest;
        reply.set_result(same_content ? schema::control_reply::replayed
                                      : schema::control_reply::change_id_reused);
        reply.set_version(record.version());
        return reply;
    }
    if (change.base() != version()) {
        reply.set_result(schema::control_reply::conflict);
        reply.set_version(version());
        const bool base_in_history = !changes_.empty() &&
                                     change.base() + 1 >= changes_.front().version() &&
                                     change.base() < version();
        if (base_in_history)
            reply.set_winner(changes_[change.base() + 1 - changes_.front().version()].change_id());
        return reply;
    }
    schema::change_record record;
    record.set_version(version() + 1);
    record.set_change_id(change.change_id());
    record.set_plans(change.plans());
    record.set_allowances(change.allowances());
    record.set_at(change.at());
    record.set_digest(digest);
    versions_by_change_id_[change.change_id()] = record.version();
    changes_.push_back(std::move(record));
    trim_history();
    reply.set_result(schema::control_reply::accepted);
    reply.set_version(version());
    return reply;
}

// The table with the highest version wins, regardless of the order of arrival. A table whose
// version isn't higher is ignored without an error: a newer one was applied first, or this is a
// resend after a lost acknowledgement.
schema::control_reply control_state::apply_routes(const schema::route_table& table) {
    schema::control_reply reply;
    const bool higher = table.version() > routes_->version();
    if (higher)
        *routes_ = table;
    reply.set_result(higher ? schema::control_reply::accepted : schema::control_reply::replayed);
    reply.set_version(routes_->version());
    return reply;
}

// Only the first decision counts: a second one would create groups beside those that already hold
// jobs.
schema::control_reply control_state::apply_founding(const schema::group_members& founders) {
    schema::control_reply reply;
    const bool first = work_founders_->members_size() == 0;
    if (first)
        *work_founders_ = founders;
    reply.set_result(first ? schema::control_reply::accepted : schema::control_reply::replayed);
    return reply;
}

schema::control_reply control_state::apply_retire(const schema::retire_command& retire) {
    auto recorded = std::find_if(
        retiring_.begin(), retiring_.end(),
        [&retire](const schema::retire_command& one) { return one.disk() == retire.disk(); });
    const bool changes =
        recorded == retiring_.end() ? !retire.ended() : retire.ended() && !recorded->ended();
    if (changes && retire.ended())
        recorded->set_ended(true);
    else if (changes)
        retiring_.push_back(retire);
    schema::control_reply reply;
    reply.set_result(changes ? schema::control_reply::accepted : schema::control_reply::replayed);
    return reply;
}

// Each retirement is a change, and so is its end.
std::uint64_t control_state::retirements() const {
    const auto ended = std::count_if(retiring_.begin(), retiring_.end(),
                                     [](const schema::retire_command& one) { return one.ended(); });
    return retiring_.size() + static_cast<std::uint64_t>(ended);
}

void control_state::trim_history() {
    if (changes_.size() > max_versions_with_documents) {
        schema::change_record& record = changes_[changes_.size() - max_versions_with_documents - 1];
        record.clear_plans();
        record.clear_allowances();
    }
    if (changes_.size() > max_versions) {
        versions_by_change_id_.erase(changes_.front().change_id());
        changes_.erase(changes_.begin());
    }
}

std::string control_state::save() const {
    schema::control_state_image image;
    for (const schema::change_record& change : changes_)
        *image.add_changes() = change;
    image.set_fence(fence_);
    *image.mutable_routes() = *routes_;
    *image.mutable_work_founders() = *work_founders_;
    for (const schema::retire_command& retire : retiring_)
        *image.add_retiring() = retire;
    return image.SerializeAsString();
}

result<control_state> control_state::load(const std::string& serialized) {
    schema::control_state_image image;
    if (!image.ParseFromString(serialized))
        return failure(error{errc::bad_image, "can't parse the state image of the control group"});
    control_state loaded;
    for (const schema::change_record& change : image.changes()) {
        loaded.versions_by_change_id_[change.change_id()] = change.version();
        loaded.changes_.push_back(change);
    }
    loaded.fence_ = image.fence();
    *loaded.routes_ = image.routes();
    *loaded.work_founders_ = image.work_founders();
    loaded.retiring_.assign(image.retiring().begin(), image.retiring().end());
    return loaded;
}

} // namespace cassia::state
